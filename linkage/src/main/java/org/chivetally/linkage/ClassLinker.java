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
    private static final int FLAGS = ClassFile.ACC_PRIVATE | ClassFile.ACC_STATIC | ClassFile.ACC_SYNTHETIC;

    private final ClassFile classFile;

    /**
     * Creates a linker.
     *
     * @param classes finds the classes that the linked ones refer to, for their stack maps
     */
    ClassLinker(ClassLoader classes) {
        // A class file that was read once may be asked for again, so the answers are kept.
        ClassHierarchyResolver hierarchy = ClassHierarchyResolver.ofResourceParsing(classes)
                .orElse(ClassHierarchyResolver.defaultResolver())
                .cached();
        this.classFile = ClassFile.of(ClassFile.ClassHierarchyResolverOption.of(hierarchy));
    }

    /** A class after the step; the number of call sites that were replaced in it. */
    record Linked(byte[] bytes, int replaced) {}

    /**
     * Returns the class without such call sites.
     *
     * @throws IllegalArgumentException when the result would not be a valid class
     * @throws UnsupportedCallSiteException when a call site has a form that isn't known
     */
    Linked link(byte[] bytes) {
        ClassModel model = classFile.parse(bytes);
        List<CallSite> sites = new ArrayList<>();
        String simpleName = simpleName(model);
        CodeTransform calls = (code, element) -> {
            Optional<CallSite> site = siteOf(element, simpleName);
            if (site.isEmpty()) {
                code.with(element);
                return;
            }
            CallSite found = site.get();
            code.invokestatic(
                    model.thisClass().asSymbol(),
                    methodName(found, sites.size()),
                    found.type(),
                    model.flags().has(AccessFlag.INTERFACE));
            sites.add(found);
        };
        if (!containsSites(model, simpleName)) {
            return new Linked(bytes, 0);
        }
        ClassTransform methods = ClassTransform.transformingMethodBodies(calls)
                .andThen(ClassTransform.endHandler(added -> {
                    for (int number = 0; number < sites.size(); number++) {
                        CallSite site = sites.get(number);
                        added.withMethodBody(methodName(site, number), site.type(), FLAGS, site::write);
                    }
                }));
        byte[] linked = classFile.transformClass(model, methods);
        List<VerifyError> errors = classFile.verify(linked);
        if (!errors.isEmpty()) {
            throw new IllegalArgumentException(errors.getFirst().getMessage());
        }
        return new Linked(linked, sites.size());
    }

    private static boolean containsSites(ClassModel model, String simpleName) {
        for (MethodModel method : model.methods()) {
            if (method.code().isPresent()) {
                for (CodeElement element : method.code().get()) {
                    if (siteOf(element, simpleName).isPresent()) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private static Optional<CallSite> siteOf(CodeElement element, String simpleName) {
        return element instanceof InvokeDynamicInstruction call ? CallSite.of(call, simpleName) : Optional.empty();
    }

    private static String methodName(CallSite site, int number) {
        return "linked$" + site.stem() + '$' + number;
    }

    /** Returns the name as {@link Class#getSimpleName} gives it. */
    private static String simpleName(ClassModel model) {
        ClassDesc self = model.thisClass().asSymbol();
        return model.findAttribute(Attributes.innerClasses()).stream()
                .flatMap(attribute -> attribute.classes().stream())
                .filter(inner -> inner.innerClass().asSymbol().equals(self))
                .findFirst()
                .map(ClassLinker::innerName)
                .orElseGet(self::displayName);
    }

    private static String innerName(InnerClassInfo inner) {
        return inner.innerName().map(name -> name.stringValue()).orElse("");
    }
}
