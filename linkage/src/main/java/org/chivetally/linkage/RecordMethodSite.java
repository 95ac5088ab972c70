package org.chivetally.linkage;

import java.lang.classfile.CodeBuilder;
import java.lang.classfile.Label;
import java.lang.classfile.TypeKind;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDesc;
import java.lang.constant.ConstantDescs;
import java.lang.constant.DirectMethodHandleDesc;
import java.lang.constant.MethodTypeDesc;
import java.util.ArrayList;
import java.util.List;

/**
 * The generated {@code equals}, {@code hashCode} or {@code toString} of a record, as {@code ObjectMethods} specifies
 * them: components in declaration order, references through {@code Objects}, primitives through their wrapper classes.
 *
 * @param operation name of the method: {@code equals}, {@code hashCode} or {@code toString}
 * @param type method type; the first parameter is the record, the second one of {@code equals} the other object
 * @param simpleName simple name of the record
 * @param components components of the record in declaration order
 */
record RecordMethodSite(String operation, MethodTypeDesc type, String simpleName, List<Component> components)
        implements CallSite {
    private static final ClassDesc OBJECTS = ClassDesc.of("java.util.Objects");
    private static final ClassDesc STRING_BUILDER = ClassDesc.of("java.lang.StringBuilder");
    private static final int THIS_SLOT = 0;
    private static final int OTHER_SLOT = 1;
    private static final int HASH_MULTIPLIER = 31;

    /** A record component, with the name and the type of its field. */
    record Component(String name, ClassDesc type) {}

    static RecordMethodSite of(InvokeDynamicInstruction instruction, String simpleName) {
        List<ConstantDesc> arguments = instruction.bootstrapArgs();
        List<Component> components = new ArrayList<>();
        for (ConstantDesc argument : arguments.subList(2, arguments.size())) {
            if (!(argument instanceof DirectMethodHandleDesc field)
                    || field.kind() != DirectMethodHandleDesc.Kind.GETTER
                    || !field.owner().equals(arguments.getFirst())) {
                throw new UnsupportedCallSiteException("unsupported record component " + argument);
            }
            components.add(
                    new Component(field.methodName(), field.invocationType().returnType()));
        }
        String operation = instruction.name().stringValue();
        if (!List.of("equals", "hashCode", "toString").contains(operation)) {
            throw new UnsupportedCallSiteException("unsupported record method " + operation);
        }
        return new RecordMethodSite(operation, instruction.typeSymbol(), simpleName, List.copyOf(components));
    }

    private ClassDesc owner() {
        return type.parameterType(THIS_SLOT);
    }

    @Override
    public void write(CodeBuilder code) {
        switch (operation) {
            case "equals" -> writeEquals(code);
            case "hashCode" -> writeHashCode(code);
            default -> writeToString(code);
        }
    }

    private void loadThis(CodeBuilder code, Component component) {
        code.aload(THIS_SLOT).getfield(owner(), component.name(), component.type());
    }

    private void loadOther(CodeBuilder code, Component component) {
        code.aload(OTHER_SLOT).checkcast(owner()).getfield(owner(), component.name(), component.type());
    }

    private void writeEquals(CodeBuilder code) {
        Label different = code.newLabel();
        Label notSame = code.newLabel();
        code.aload(THIS_SLOT)
                .aload(OTHER_SLOT)
                .if_acmpne(notSame)
                .iconst_1()
                .ireturn()
                .labelBinding(notSame);
        code.aload(OTHER_SLOT).instanceOf(owner()).ifeq(different);
        for (Component component : components) {
            loadThis(code, component);
            loadOther(code, component);
            writeComparison(code, component.type(), different);
        }
        code.iconst_1().ireturn();
        code.labelBinding(different).iconst_0().ireturn();
    }

    private static void writeComparison(CodeBuilder code, ClassDesc type, Label different) {
        switch (TypeKind.from(type)) {
            case REFERENCE ->
                code.invokestatic(
                                OBJECTS,
                                "equals",
                                MethodTypeDesc.of(
                                        ConstantDescs.CD_boolean, ConstantDescs.CD_Object, ConstantDescs.CD_Object))
                        .ifeq(different);
            case LONG -> code.lcmp().ifne(different);
            case FLOAT, DOUBLE ->
                code.invokestatic(wrapperOf(type), "compare", MethodTypeDesc.of(ConstantDescs.CD_int, type, type))
                        .ifne(different);
            default -> code.if_icmpne(different);
        }
    }

    private void writeHashCode(CodeBuilder code) {
        code.iconst_0();
        for (Component component : components) {
            code.loadConstant(HASH_MULTIPLIER).imul();
            loadThis(code, component);
            if (component.type().isPrimitive()) {
                code.invokestatic(
                        wrapperOf(component.type()),
                        "hashCode",
                        MethodTypeDesc.of(ConstantDescs.CD_int, component.type()));
            } else {
                code.invokestatic(
                        OBJECTS, "hashCode", MethodTypeDesc.of(ConstantDescs.CD_int, ConstantDescs.CD_Object));
            }
            code.iadd();
        }
        code.ireturn();
    }

    private void writeToString(CodeBuilder code) {
        code.new_(STRING_BUILDER)
                .dup()
                .invokespecial(STRING_BUILDER, ConstantDescs.INIT_NAME, MethodTypeDesc.of(ConstantDescs.CD_void));
        String separator = simpleName + '[';
        for (Component component : components) {
            append(code.loadConstant(separator + component.name() + '='), ConstantDescs.CD_String);
            loadThis(code, component);
            append(code, appendType(component.type()));
            separator = ", ";
        }
        append(code.loadConstant(components.isEmpty() ? separator + ']' : "]"), ConstantDescs.CD_String);
        code.invokevirtual(STRING_BUILDER, "toString", MethodTypeDesc.of(ConstantDescs.CD_String))
                .areturn();
    }

    private static void append(CodeBuilder code, ClassDesc type) {
        code.invokevirtual(STRING_BUILDER, "append", MethodTypeDesc.of(STRING_BUILDER, type));
    }

    /** Returns the parameter type of the {@code StringBuilder.append} overload for a component of a type. */
    private static ClassDesc appendType(ClassDesc type) {
        if (!type.isPrimitive()) {
            return ConstantDescs.CD_Object;
        }
        boolean narrow = type.equals(ConstantDescs.CD_byte) || type.equals(ConstantDescs.CD_short);
        return narrow ? ConstantDescs.CD_int : type;
    }

    private static ClassDesc wrapperOf(ClassDesc primitive) {
        return switch (primitive.descriptorString()) {
            case "I" -> ConstantDescs.CD_Integer;
            case "J" -> ConstantDescs.CD_Long;
            case "S" -> ConstantDescs.CD_Short;
            case "B" -> ConstantDescs.CD_Byte;
            case "C" -> ConstantDescs.CD_Character;
            case "F" -> ConstantDescs.CD_Float;
            case "D" -> ConstantDescs.CD_Double;
            default -> ConstantDescs.CD_Boolean;
        };
    }
}
