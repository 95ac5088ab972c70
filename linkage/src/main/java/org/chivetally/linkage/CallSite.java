package org.chivetally.linkage;

import java.lang.classfile.CodeBuilder;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.MethodTypeDesc;
import java.util.Optional;

/** A call site that can be replaced by a call of a static method with the same parameters and result. */
sealed interface CallSite permits TypeSwitchSite, RecordMethodSite {
    /** Returns the stem of the method's name. */
    String operation();

    /** Returns the method's parameters and result. */
    MethodTypeDesc type();

    /** Writes the method's body. */
    void write(CodeBuilder code);

    /**
     * Returns the call site behind an instruction, or empty when it isn't one of those that are replaced.
     *
     * @param simpleName of the class that contains the instruction
     * @throws UnsupportedCallSiteException when it would be one but has a form that this step doesn't know
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
