package org.chivetally.linkage;

import java.lang.classfile.Attributes;
import java.lang.classfile.ClassFile;
import java.lang.classfile.ClassHierarchyResolver;
import java.lang.classfile.ClassModel;
import java.lang.classfile.ClassTransform;
import java.lang.classfile.CodeElement;
import java.lang.classfile.CodeTransform;
import java.lang.classfile.MethodModel;
import java.lang.classfile.attribute.InnerClassInfo;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.reflect.AccessFlag;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Replaces call sites of {@code SwitchBootstraps} and {@code ObjectMethods} in one class by calls of static methods
 * that it adds to the class. The JVM would generate a hidden class for each of them at its first call.
 */
final class ClassLinker {
    private static final int METHOD_FLAGS = ClassFile.ACC_PRIVATE | ClassFile.ACC_STATIC | ClassFile.ACC_SYNTHETIC;

    private final ClassFile classFile;

    /**
     * Creates a linker.
     *
     * @param classes finds the classes that the linked ones refer to, for their stack maps
     */
    ClassLinker(ClassLoader classLoader) {
        // A class file that was read once may be asked for again, so the answers are kept.
        ClassHierarchyResolver hierarchy = ClassHierarchyResolver.ofResourceParsing(classLoader)
                .orElse(ClassHierarchyResolver.defaultResolver())
                .cached();
        this.classFile = ClassFile.of(ClassFile.ClassHierarchyResolverOption.of(hierarchy));
    }

    /** A class after the step; the number of call sites that were replaced in it. */
    record LinkedClass(byte[] bytes, int replacedCallSites) {}

    /**
     * Returns the class without such call sites.
     *
     * @throws IllegalArgumentException when the result would not be a valid class
     * @throws UnsupportedCallSiteException when a call site has a form that isn't known
     */
    LinkedClass link(byte[] bytes) {
        ClassModel model = classFile.parse(bytes);
        List<CallSite> sites = new ArrayList<>();
        String simpleName = simpleName(model);
        CodeTransform replaceCalls = (code, element) -> {
            Optional<CallSite> site = callSiteOf(element, simpleName);
            if (site.isEmpty()) {
                code.with(element);
                return;
            }
            CallSite callSite = site.get();
            code.invokestatic(
                    model.thisClass().asSymbol(),
                    methodName(callSite, sites.size()),
                    callSite.type(),
                    model.flags().has(AccessFlag.INTERFACE));
            sites.add(callSite);
        };
        if (!containsCallSites(model, simpleName)) {
            return new LinkedClass(bytes, 0);
        }
        ClassTransform transform = ClassTransform.transformingMethodBodies(replaceCalls)
                .andThen(ClassTransform.endHandler(builder -> {
                    for (int number = 0; number < sites.size(); number++) {
                        CallSite site = sites.get(number);
                        builder.withMethodBody(methodName(site, number), site.type(), METHOD_FLAGS, site::write);
                    }
                }));
        byte[] linked = classFile.transformClass(model, transform);
        List<VerifyError> errors = classFile.verify(linked);
        if (!errors.isEmpty()) {
            throw new IllegalArgumentException(errors.getFirst().getMessage());
        }
        return new LinkedClass(linked, sites.size());
    }

    private static boolean containsCallSites(ClassModel model, String simpleName) {
        for (MethodModel method : model.methods()) {
            if (method.code().isPresent()) {
                for (CodeElement element : method.code().get()) {
                    if (callSiteOf(element, simpleName).isPresent()) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private static Optional<CallSite> callSiteOf(CodeElement element, String simpleName) {
        return element instanceof InvokeDynamicInstruction call ? CallSite.of(call, simpleName) : Optional.empty();
    }

    private static String methodName(CallSite site, int number) {
        return "linked$" + site.operation() + '$' + number;
    }

    /** Returns the name as {@link Class#getSimpleName} gives it. */
    private static String simpleName(ClassModel model) {
        ClassDesc thisClass = model.thisClass().asSymbol();
        return model.findAttribute(Attributes.innerClasses()).stream()
                .flatMap(attribute -> attribute.classes().stream())
                .filter(inner -> inner.innerClass().asSymbol().equals(thisClass))
                .findFirst()
                .map(ClassLinker::innerName)
                .orElseGet(thisClass::displayName);
    }

    private static String innerName(InnerClassInfo inner) {
        return inner.innerName().map(name -> name.stringValue()).orElse("");
    }
}
