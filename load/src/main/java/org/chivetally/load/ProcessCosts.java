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

/** Processor time and memory of the processes whose ids stand in a folder, by the role their names begin with. */
final class ProcessCosts {
    private static final String ID_FILES = "*.pid";
    private static final String RESIDENT = "VmRSS:";
    private static final long BYTES_PER_KIBIBYTE = 1024;

    private final Path folder;
    private final Map<String, Reading> begin;

    private ProcessCosts(Path folder, Map<String, Reading> begin) {
        this.folder = folder;
        this.begin = begin;
    }

    /** Reads all processes at the beginning of a run. */
    static ProcessCosts begin(Path folder) {
        return new ProcessCosts(folder, read(folder));
    }

    /** Reads them again and returns the cost of each role; processes that were replaced meanwhile are left out. */
    Map<String, RoleCost> end() {
        Map<String, RoleCost> costs = new TreeMap<>();
        read(folder).forEach((name, now) -> {
            Reading before = begin.get(name);
            if (before != null && before.id == now.id) {
                RoleCost cost = new RoleCost(1, now.processor.minus(before.processor), now.residentBytes);
                costs.merge(name.replaceAll("-\\d+$", ""), cost, RoleCost::plus);
            }
        });
        return costs;
    }

    private static Map<String, Reading> read(Path folder) {
        Map<String, Reading> readings = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, ID_FILES)) {
            for (Path file : files) {
                String name = file.getFileName().toString().replaceAll("\\.pid$", "");
                long id = Long.parseLong(Files.readString(file).trim());
                read(id).ifPresent(reading -> readings.put(name, reading));
            }
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
        return readings;
    }

    private static Optional<Reading> read(long id) throws IOException {
        Optional<Duration> processor =
                ProcessHandle.of(id).flatMap(process -> process.info().totalCpuDuration());
        Path status = Path.of("/proc", Long.toString(id), "status");
        if (processor.isEmpty() || !Files.exists(status)) {
            return Optional.empty();
        }
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith(RESIDENT)) {
                long kibibytes = Long.parseLong(line.replaceAll("\\D", ""));
                return Optional.of(new Reading(id, processor.get(), kibibytes * BYTES_PER_KIBIBYTE));
            }
        }
        return Optional.empty();
    }

    private record Reading(long id, Duration processor, long residentBytes) {}
}
