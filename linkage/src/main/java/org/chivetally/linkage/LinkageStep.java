package org.chivetally.linkage;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Enumeration;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;

/**
 * Replaces call sites in the classes of jars and class directories, in place. A class that can't be linked stays
 * unchanged and is reported as a failure.
 */
public final class LinkageStep {
    private static final String CLASS_SUFFIX = ".class";

    private final ClassLinker linker;
    private final List<String> failures = new ArrayList<>();
    private int linkedClasses;
    private int replacedCallSites;

    /**
     * Creates a step.
     *
     * @param classLoader loads the classes that linked classes refer to
     */
    public LinkageStep(ClassLoader classLoader) {
        linker = new ClassLinker(classLoader);
    }

    /**
     * Links jars and class directories, and prints the failures and a summary.
     *
     * @param arguments paths of the jars and directories; their classes have to be on the class path, too
     */
    public static void main(String[] arguments) {
        LinkageStep step = new LinkageStep(ClassLoader.getSystemClassLoader());
        Arrays.stream(arguments).map(Path::of).forEach(step::link);
        step.failures.forEach(System.err::println);
        System.out.println("event=linked classes=" + step.linkedClasses + " call_sites=" + step.replacedCallSites
                + " failures=" + step.failures.size());
    }

    /** Returns a log line for each class that could not be linked. */
    public List<String> failures() {
        return List.copyOf(failures);
    }

    /** Returns the number of call sites replaced so far. */
    public int replacedCallSites() {
        return replacedCallSites;
    }

    /** Links the classes of a jar or a class directory. */
    public void link(Path target) {
        try {
            if (Files.isDirectory(target)) {
                linkDirectory(target);
            } else {
                linkJar(target);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot link " + target, e);
        }
    }

    private void linkDirectory(Path directory) throws IOException {
        List<Path> files;
        try (Stream<Path> paths = Files.walk(directory)) {
            files = paths.filter(file -> file.toString().endsWith(CLASS_SUFFIX)).toList();
        }
        for (Path file : files) {
            byte[] bytes = Files.readAllBytes(file);
            byte[] linked = linkClass(directory.relativize(file).toString(), bytes);
            if (linked != bytes) {
                Files.write(file, linked);
            }
        }
    }

    private void linkJar(Path jar) throws IOException {
        // Files.createTempFile would create a file that only its owner may read, and the jar would stay like that.
        Path result = jar.resolveSibling(jar.getFileName() + ".linked");
        try (ZipFile source = new ZipFile(jar.toFile());
                ZipOutputStream target = new ZipOutputStream(Files.newOutputStream(result))) {
            Enumeration<? extends ZipEntry> entries = source.entries();
            while (entries.hasMoreElements()) {
                ZipEntry entry = entries.nextElement();
                ZipEntry copy = new ZipEntry(entry.getName());
                copy.setLastModifiedTime(entry.getLastModifiedTime());
                target.putNextEntry(copy);
                target.write(linkedContent(source, entry));
                target.closeEntry();
            }
        }
        Files.move(result, jar, StandardCopyOption.REPLACE_EXISTING);
    }

    private byte[] linkedContent(ZipFile source, ZipEntry entry) throws IOException {
        try (InputStream stream = source.getInputStream(entry)) {
            byte[] bytes = stream.readAllBytes();
            return entry.getName().endsWith(CLASS_SUFFIX) ? linkClass(entry.getName(), bytes) : bytes;
        }
    }

    private byte[] linkClass(String name, byte[] bytes) {
        try {
            ClassLinker.LinkedClass linked = linker.link(bytes);
            linkedClasses += linked.replacedCallSites() > 0 ? 1 : 0;
            replacedCallSites += linked.replacedCallSites();
            return linked.bytes();
        } catch (IllegalArgumentException | UnsupportedCallSiteException e) {
            failures.add("event=class-not-linked class=" + name + " reason=\"" + e.getMessage() + '"');
            return bytes;
        }
    }
}
