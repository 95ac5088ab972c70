package org.chivetally.linkage;

import java.lang.classfile.CodeBuilder;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.MethodTypeDesc;
import java.util.Optional;

/** An {@code invokedynamic} call site that can be replaced by a call of a static method with the same type. */
sealed interface CallSite permits TypeSwitchSite, RecordMethodSite {
    /** Returns the operation of the call site, which becomes a part of the static method's name. */
    String operation();

    /** Returns the parameter types and the result type of the static method. */
    MethodTypeDesc type();

    /** Generates the body of the static method. */
    void write(CodeBuilder code);

    /**
     * Returns the call site of an instruction, or empty when its bootstrap method isn't one of those replaced.
     *
     * @param simpleName simple name of the class that contains the instruction
     * @throws UnsupportedCallSiteException when the bootstrap method is replaced but its arguments aren't supported
     */
    static Optional<CallSite> of(InvokeDynamicInstruction instruction, String simpleName) {
        String bootstrap = instruction.bootstrapMethod().owner().descriptorString();
        return switch (bootstrap) {
            case "Ljava/lang/runtime/SwitchBootstraps;" -> Optional.of(TypeSwitchSite.of(instruction));
            case "Ljava/lang/runtime/ObjectMethods;" -> Optional.of(RecordMethodSite.of(instruction, simpleName));
            default -> Optional.empty();
        };
    }
}
