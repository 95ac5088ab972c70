package org.chivetally.load;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * Files and folders that a run shares with scripts.
 *
 * @param faults folder shared with the script that carries out faults of processes
 * @param processes folder with the ids of the processes, whose processor time and memory are then measured
 * @param requests file that takes every request, one JSON object a line
 */
public record RunFolders(Optional<Path> faults, Optional<Path> processes, Optional<Path> requests) {
    /** A run without scripts. */
    public static final RunFolders NONE = new RunFolders(Optional.empty(), Optional.empty(), Optional.empty());

    /** Refuses missing parts. */
    public RunFolders {
        Objects.requireNonNull(faults, "faults");
        Objects.requireNonNull(processes, "processes");
        Objects.requireNonNull(requests, "requests");
    }
}
