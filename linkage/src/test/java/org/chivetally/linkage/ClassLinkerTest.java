package org.chivetally.linkage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.classfile.ClassFile;
import java.lang.classfile.CodeElement;
import java.lang.classfile.MethodModel;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ClassLinkerTest {
    private final ClassLinker linker = new ClassLinker(ClassLinkerTest.class.getClassLoader());

    /** Links the samples before it defines them; all other classes come from the parent class loader. */
    private final ClassLoader linkingLoader = new ClassLoader(ClassLinkerTest.class.getClassLoader()) {
        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith(Samples.class.getName())) {
                return super.loadClass(name, resolve);
            }
            Class<?> known = findLoadedClass(name);
            if (known != null) {
                return known;
            }
            byte[] bytes = linker.link(bytes(name)).bytes();
            return defineClass(name, bytes, 0, bytes.length);
        }
    };

    private static byte[] bytes(String name) {
        try (var stream = ClassLinkerTest.class.getResourceAsStream('/' + name.replace('.', '/') + ".class")) {
            return stream.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a record method or a pattern switch that returns another result after linking. */
    @Test
    void linkedClassesReturnTheSameResults() throws ReflectiveOperationException {
        Method results = linkingLoader.loadClass(Samples.class.getName()).getDeclaredMethod("results");
        results.setAccessible(true);
        assertThat(results.invoke(null), equalTo(Samples.results()));
    }

    /** Guards against a call site that is left in a linked class and makes the JVM generate a class. */
    @Test
    void replacesAllCallSites() {
        ClassLinker.LinkedClass linked = linker.link(bytes(Samples.class.getName()));
        assertThat(linked.replacedCallSites(), greaterThan(4));
        assertThat(bootstraps(linked.bytes()), not(contains(containsString("java.lang.runtime"))));
        assertThat(linker.link(linked.bytes()).replacedCallSites(), is(0));
    }

    private static List<String> bootstraps(byte[] bytes) {
        List<String> owners = new ArrayList<>();
        for (MethodModel method : ClassFile.of().parse(bytes).methods()) {
            for (CodeElement element :
                    method.code().map(code -> code.elementList()).orElse(List.of())) {
                if (element instanceof InvokeDynamicInstruction call) {
                    owners.add(call.bootstrapMethod().owner().descriptorString().replace('/', '.'));
                }
            }
        }
        return owners;
    }

    /** Guards against an ignored restart index: the switch would evaluate the same failing guard in an endless loop. */
    @Test
    void searchesFromTheRestartIndex() throws ReflectiveOperationException {
        Method typeSwitch = typeSwitchMethod();
        assertThat(typeSwitch.invoke(null, null, 0), is(-1));
        assertThat(typeSwitch.invoke(null, 1, 0), is(1));
        assertThat(typeSwitch.invoke(null, 1, 2), is(2));
        assertThat(typeSwitch.invoke(null, 1, 3), is(6));
        assertThat(typeSwitch.invoke(null, 1, 6), is(6));
    }

    /** Guards against an out-of-range restart index that is handled as "no label matches". */
    @Test
    void rejectsARestartIndexOutOfRange() throws ReflectiveOperationException {
        Method typeSwitch = typeSwitchMethod();
        for (int index : new int[] {-1, 7}) {
            InvocationTargetException thrown =
                    assertThrows(InvocationTargetException.class, () -> typeSwitch.invoke(null, "text", index));
            assertThat(thrown.getCause(), instanceOf(IndexOutOfBoundsException.class));
        }
    }

    /** Returns the method that replaces the first pattern switch of the samples, which has six labels. */
    private Method typeSwitchMethod() throws ReflectiveOperationException {
        Class<?> samples = linkingLoader.loadClass(Samples.class.getName());
        for (Method method : samples.getDeclaredMethods()) {
            if (method.getName().startsWith("linked$typeSwitch$0")) {
                method.setAccessible(true);
                return method;
            }
        }
        throw new AssertionError("no method linked$typeSwitch$0");
    }

    /** Guards against a failed build, or a partly changed class, because of one unsupported call site. */
    @Test
    void leavesAClassWithAnUnsupportedCallSiteUnchanged(@TempDir Path folder) throws IOException {
        byte[] unsupported = bytes(UnsupportedSwitch.class.getName());
        Path file = folder.resolve("UnsupportedSwitch.class");
        Files.write(file, unsupported);
        Path supported = folder.resolve("Pair.class");
        Files.write(supported, bytes(Samples.Pair.class.getName()));
        LinkageStep step = new LinkageStep(ClassLinkerTest.class.getClassLoader());
        step.link(folder);
        assertThat(step.failures(), contains(containsString("class=UnsupportedSwitch.class")));
        assertThat(step.replacedCallSites(), is(3));
        assertThat(Files.readAllBytes(file), is(unsupported));
    }

    /** Guards against a lost entry, and against a manifest that is no longer the first entry of the jar. */
    @Test
    void keepsAllEntriesOfAJarInOrder(@TempDir Path folder) throws IOException {
        Path jar = folder.resolve("samples.jar");
        try (ZipOutputStream zip = new ZipOutputStream(Files.newOutputStream(jar))) {
            zip.putNextEntry(new ZipEntry("META-INF/MANIFEST.MF"));
            zip.write("Manifest-Version: 1.0\n".getBytes());
            zip.putNextEntry(new ZipEntry("Pair.class"));
            zip.write(bytes(Samples.Pair.class.getName()));
        }
        LinkageStep step = new LinkageStep(ClassLinkerTest.class.getClassLoader());
        step.link(jar);
        try (ZipFile linked = new ZipFile(jar.toFile())) {
            List<String> names = linked.stream().map(entry -> entry.getName()).toList();
            assertThat(names, contains("META-INF/MANIFEST.MF", "Pair.class"));
            byte[] pair = linked.getInputStream(linked.getEntry("Pair.class")).readAllBytes();
            assertThat(bootstraps(pair), is(List.of()));
        }
    }
}
