package org.chivetally.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Measures processor time and memory of the processes whose IDs are in a folder, by role. The role is the process name
 * without its number.
 */
final class ProcessUsage {
    private static final String PROCESS_ID_FILES = "*.pid";
    private static final String RESIDENT_SIZE_KEY = "VmRSS:";
    private static final long BYTES_PER_KIBIBYTE = 1024;

    private final Path folder;
    private final Map<String, Sample> samplesAtBegin;

    private ProcessUsage(Path folder, Map<String, Sample> samplesAtBegin) {
        this.folder = folder;
        this.samplesAtBegin = samplesAtBegin;
    }

    /** Takes the first sample of all processes at the beginning of a run. */
    static ProcessUsage begin(Path folder) {
        return new ProcessUsage(folder, read(folder));
    }

    /**
     * Samples the processes again and returns the usage by role. Processes that were replaced during the run are left
     * out.
     */
    Map<String, RoleUsage> end() {
        Map<String, RoleUsage> usageByRole = new TreeMap<>();
        read(folder).forEach((name, atEnd) -> {
            Sample atBegin = samplesAtBegin.get(name);
            if (atBegin != null && atBegin.processId == atEnd.processId) {
                RoleUsage usage =
                        new RoleUsage(1, atEnd.processorTime.minus(atBegin.processorTime), atEnd.residentBytes);
                usageByRole.merge(name.replaceAll("-\\d+$", ""), usage, RoleUsage::plus);
            }
        });
        return usageByRole;
    }

    private static Map<String, Sample> read(Path folder) {
        Map<String, Sample> samples = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PROCESS_ID_FILES)) {
            for (Path file : files) {
                String name = file.getFileName().toString().replaceAll("\\.pid$", "");
                long id = Long.parseLong(Files.readString(file).trim());
                read(id).ifPresent(sample -> samples.put(name, sample));
            }
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
        return samples;
    }

    private static Optional<Sample> read(long id) throws IOException {
        Optional<Duration> processorTime =
                ProcessHandle.of(id).flatMap(process -> process.info().totalCpuDuration());
        Path status = Path.of("/proc", Long.toString(id), "status");
        if (processorTime.isEmpty() || !Files.exists(status)) {
            return Optional.empty();
        }
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith(RESIDENT_SIZE_KEY)) {
                long kibibytes = Long.parseLong(line.replaceAll("\\D", ""));
                return Optional.of(new Sample(id, processorTime.get(), kibibytes * BYTES_PER_KIBIBYTE));
            }
        }
        return Optional.empty();
    }

    private record Sample(long processId, Duration processorTime, long residentBytes) {}
}
