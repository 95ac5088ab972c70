package org.chivetally.load;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * Files and folders that a run shares with scripts.
 *
 * @param faultsFolder folder shared with the script that injects process faults
 * @param processesFolder folder with the IDs of the processes whose processor time and memory are measured
 * @param requestsFile file to which all requests are written as JSON lines
 */
public record RunFiles(Optional<Path> faultsFolder, Optional<Path> processesFolder, Optional<Path> requestsFile) {
    /** No shared files. */
    public static final RunFiles NONE = new RunFiles(Optional.empty(), Optional.empty(), Optional.empty());

    /** Rejects null components. */
    public RunFiles {
        Objects.requireNonNull(faultsFolder, "faults");
        Objects.requireNonNull(processesFolder, "processes");
        Objects.requireNonNull(requestsFile, "requests");
    }
}
