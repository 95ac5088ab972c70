package org.chivetally.linkage;

import java.lang.classfile.CodeBuilder;
import java.lang.classfile.Label;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.classfile.instruction.SwitchCase;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDesc;
import java.lang.constant.ConstantDescs;
import java.lang.constant.MethodTypeDesc;
import java.util.ArrayList;
import java.util.List;

/**
 * The label selection of a pattern switch, as {@code SwitchBootstraps.typeSwitch} and {@code enumSwitch} specify it.
 * The result is -1 for null, the index of the first matching label from the restart index on, or the number of labels.
 *
 * @param operation name of the bootstrap method
 * @param type method type; the parameters are the selector and the restart index, the result is an index
 * @param labels classes, and for {@code enumSwitch} also names of enum constants
 */
record TypeSwitchSite(String operation, MethodTypeDesc type, List<ConstantDesc> labels) implements CallSite {
    private static final ClassDesc OBJECTS = ClassDesc.of("java.util.Objects");
    private static final MethodTypeDesc CHECK_INDEX =
            MethodTypeDesc.of(ConstantDescs.CD_int, ConstantDescs.CD_int, ConstantDescs.CD_int);
    private static final int SELECTOR_SLOT = 0;
    private static final int RESTART_SLOT = 1;

    static TypeSwitchSite of(InvokeDynamicInstruction instruction) {
        String method = instruction.bootstrapMethod().methodName();
        MethodTypeDesc type = instruction.typeSymbol();
        if (type.parameterCount() != 2 || type.parameterType(0).isPrimitive()) {
            throw new UnsupportedCallSiteException(method + " with unsupported type " + type.displayDescriptor());
        }
        boolean acceptsNames = method.equals("enumSwitch");
        for (ConstantDesc label : instruction.bootstrapArgs()) {
            boolean supported = label instanceof ClassDesc labelType && !labelType.isPrimitive()
                    || acceptsNames && label instanceof String;
            if (!supported) {
                throw new UnsupportedCallSiteException(method + " with unsupported label " + label);
            }
        }
        return new TypeSwitchSite(method, type, List.copyOf(instruction.bootstrapArgs()));
    }

    @Override
    public void write(CodeBuilder code) {
        code.iload(RESTART_SLOT)
                .loadConstant(labels.size() + 1)
                .invokestatic(OBJECTS, "checkIndex", CHECK_INDEX)
                .pop();
        Label nonNull = code.newLabel();
        code.aload(SELECTOR_SLOT).ifnonnull(nonNull).iconst_m1().ireturn().labelBinding(nonNull);
        List<SwitchCase> cases = new ArrayList<>();
        for (int index = 0; index < labels.size(); index++) {
            cases.add(SwitchCase.of(index, code.newLabel()));
        }
        Label noMatch = code.newLabel();
        if (!cases.isEmpty()) {
            code.iload(RESTART_SLOT).tableswitch(noMatch, cases);
        }
        for (int index = 0; index < labels.size(); index++) {
            code.labelBinding(cases.get(index).target());
            writeTest(code, index);
        }
        code.labelBinding(noMatch).loadConstant(labels.size()).ireturn();
    }

    /** Generates code that returns the index when its label matches and continues otherwise. */
    private void writeTest(CodeBuilder code, int index) {
        Label next = code.newLabel();
        if (labels.get(index) instanceof ClassDesc type) {
            code.aload(SELECTOR_SLOT).instanceOf(type);
        } else {
            code.loadConstant(labels.get(index))
                    .aload(SELECTOR_SLOT)
                    .invokevirtual(ConstantDescs.CD_Enum, "name", MethodTypeDesc.of(ConstantDescs.CD_String))
                    .invokevirtual(
                            ConstantDescs.CD_String,
                            "equals",
                            MethodTypeDesc.of(ConstantDescs.CD_boolean, ConstantDescs.CD_Object));
        }
        code.ifeq(next).loadConstant(index).ireturn().labelBinding(next);
    }
}
