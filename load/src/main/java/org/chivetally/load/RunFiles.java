package org.chivetally.load;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * Files and folders that a run shares with scripts.
 *
 * @param faultsFolder folder shared with the script that carries out faults of processes
 * @param processesFolder folder with the ids of the processes, whose processor time and memory are then measured
 * @param requestsFile file that takes every request, one JSON object a line
 */
public record RunFiles(Optional<Path> faultsFolder, Optional<Path> processesFolder, Optional<Path> requestsFile) {
    /** A run without scripts. */
    public static final RunFiles NONE = new RunFiles(Optional.empty(), Optional.empty(), Optional.empty());

    /** Refuses missing parts. */
    public RunFiles {
        Objects.requireNonNull(faultsFolder, "faults");
        Objects.requireNonNull(processesFolder, "processes");
        Objects.requireNonNull(requestsFile, "requests");
    }
}
