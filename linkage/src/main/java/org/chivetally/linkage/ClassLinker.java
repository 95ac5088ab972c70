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
 * Replaces the call sites of {@code SwitchBootstraps} and {@code ObjectMethods} in a class by calls of static methods
 * that it adds to the class. The JVM would generate a hidden class for each of these call sites at its first call.
 */
final class ClassLinker {
    private static final int METHOD_FLAGS = ClassFile.ACC_PRIVATE | ClassFile.ACC_STATIC | ClassFile.ACC_SYNTHETIC;

    private final ClassFile classFile;

    /**
     * Creates a linker.
     *
     * @param classLoader loads the classes that linked classes refer to; they are needed to compute stack maps
     */
    ClassLinker(ClassLoader classLoader) {
        // The same classes are looked up again and again, so results are cached.
        ClassHierarchyResolver hierarchy = ClassHierarchyResolver.ofResourceParsing(classLoader)
                .orElse(ClassHierarchyResolver.defaultResolver())
                .cached();
        this.classFile = ClassFile.of(ClassFile.ClassHierarchyResolverOption.of(hierarchy));
    }

    /**
     * A linked class.
     *
     * @param bytes class file
     * @param replacedCallSites number of call sites that were replaced
     */
    record LinkedClass(byte[] bytes, int replacedCallSites) {}

    /**
     * Replaces the call sites of a class. Returns the same array when there are none.
     *
     * @param bytes class file
     * @throws IllegalArgumentException when the result doesn't pass verification
     * @throws UnsupportedCallSiteException when a call site isn't supported
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

    /** Returns the simple name of a class as {@link Class#getSimpleName} does. */
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
