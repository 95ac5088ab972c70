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
 * {@code equals}, {@code hashCode} or {@code toString} of a record, as {@code ObjectMethods} specifies them: components
 * in their order, references by {@code Objects}, numbers by the methods of their wrappers.
 *
 * @param stem which of the three methods
 * @param type the record, and for {@code equals} the other object, to the result
 * @param simpleName of the record's class
 * @param components fields of the record
 */
record RecordMethodSite(String stem, MethodTypeDesc type, String simpleName, List<Component> components)
        implements CallSite {
    private static final ClassDesc OBJECTS = ClassDesc.of("java.util.Objects");
    private static final ClassDesc BUILDER = ClassDesc.of("java.lang.StringBuilder");
    private static final int SELF = 0;
    private static final int OTHER = 1;
    private static final int HASH_FACTOR = 31;

    /** A component: its name and the type of the field that holds it. */
    record Component(String name, ClassDesc type) {}

    static RecordMethodSite of(InvokeDynamicInstruction instruction, String simpleName) {
        List<ConstantDesc> arguments = instruction.bootstrapArgs();
        List<Component> components = new ArrayList<>();
        for (ConstantDesc getter : arguments.subList(2, arguments.size())) {
            if (!(getter instanceof DirectMethodHandleDesc field)
                    || field.kind() != DirectMethodHandleDesc.Kind.GETTER
                    || !field.owner().equals(arguments.getFirst())) {
                throw new UnsupportedCallSiteException("component " + getter);
            }
            components.add(
                    new Component(field.methodName(), field.invocationType().returnType()));
        }
        String stem = instruction.name().stringValue();
        if (!List.of("equals", "hashCode", "toString").contains(stem)) {
            throw new UnsupportedCallSiteException("record method " + stem);
        }
        return new RecordMethodSite(stem, instruction.typeSymbol(), simpleName, List.copyOf(components));
    }

    private ClassDesc owner() {
        return type.parameterType(SELF);
    }

    @Override
    public void write(CodeBuilder code) {
        switch (stem) {
            case "equals" -> writeEquals(code);
            case "hashCode" -> writeHashCode(code);
            default -> writeToString(code);
        }
    }

    private void load(CodeBuilder code, Component component) {
        code.aload(SELF).getfield(owner(), component.name(), component.type());
    }

    private void loadOfOther(CodeBuilder code, Component component) {
        code.aload(OTHER).checkcast(owner()).getfield(owner(), component.name(), component.type());
    }

    private void writeEquals(CodeBuilder code) {
        Label different = code.newLabel();
        Label another = code.newLabel();
        code.aload(SELF).aload(OTHER).if_acmpne(another).iconst_1().ireturn().labelBinding(another);
        code.aload(OTHER).instanceOf(owner()).ifeq(different);
        for (Component component : components) {
            load(code, component);
            loadOfOther(code, component);
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
                code.invokestatic(wrapper(type), "compare", MethodTypeDesc.of(ConstantDescs.CD_int, type, type))
                        .ifne(different);
            default -> code.if_icmpne(different);
        }
    }

    private void writeHashCode(CodeBuilder code) {
        code.iconst_0();
        for (Component component : components) {
            code.loadConstant(HASH_FACTOR).imul();
            load(code, component);
            if (component.type().isPrimitive()) {
                code.invokestatic(
                        wrapper(component.type()),
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
        code.new_(BUILDER)
                .dup()
                .invokespecial(BUILDER, ConstantDescs.INIT_NAME, MethodTypeDesc.of(ConstantDescs.CD_void));
        String before = simpleName + '[';
        for (Component component : components) {
            append(code.loadConstant(before + component.name() + '='), ConstantDescs.CD_String);
            load(code, component);
            append(code, shown(component.type()));
            before = ", ";
        }
        append(code.loadConstant(components.isEmpty() ? before + ']' : "]"), ConstantDescs.CD_String);
        code.invokevirtual(BUILDER, "toString", MethodTypeDesc.of(ConstantDescs.CD_String))
                .areturn();
    }

    private static void append(CodeBuilder code, ClassDesc type) {
        code.invokevirtual(BUILDER, "append", MethodTypeDesc.of(BUILDER, type));
    }

    /** Returns the parameter of the method of {@link StringBuilder} that appends a value as {@code String.valueOf}. */
    private static ClassDesc shown(ClassDesc type) {
        if (!type.isPrimitive()) {
            return ConstantDescs.CD_Object;
        }
        boolean small = type.equals(ConstantDescs.CD_byte) || type.equals(ConstantDescs.CD_short);
        return small ? ConstantDescs.CD_int : type;
    }

    private static ClassDesc wrapper(ClassDesc primitive) {
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
