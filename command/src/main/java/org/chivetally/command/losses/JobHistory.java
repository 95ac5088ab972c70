package org.chivetally.command.losses;

import java.time.Instant;
import java.util.Optional;

/** Events of one job in the log of an entry, by which its loss is classified. */
final class JobHistory {
    /**
     * Deadline of a job as a multiple of its latency objective. A result after it is worth nothing; entries log the
     * time left until it.
     */
    private static final int DEADLINE_IN_OBJECTIVES = 3;

    /** Share of the objective above which the longest wait of a task counts as the cause of a late job. */
    private static final double LONG_WAIT_SHARE = 0.25;

    private final Instant acceptedAt;
    private final long objectiveMillis;
    private long longestWaitMillis;
    private boolean taskFailed;
    private boolean runLost;
    private Optional<Loss> loss = Optional.empty();

    /** Starts a history with the log line of the job's acceptance by an entry. */
    JobHistory(LogLine accepted) {
        this.acceptedAt = accepted.time();
        this.objectiveMillis = accepted.wholeNumber("left_ms") / DEADLINE_IN_OBJECTIVES;
    }

    Instant acceptedAt() {
        return acceptedAt;
    }

    void placed(LogLine line) {
        if (line.wholeNumber("run") == 1) {
            longestWaitMillis = Math.max(longestWaitMillis, line.wholeNumber("waited_ms"));
        }
    }

    void runEnded(LogLine line) {
        switch (line.text("outcome")) {
            case "FAILED" -> taskFailed = true;
            case "NEVER_STARTED", "LOST", "LAPSED", "STOPPED" -> runLost = true;
            default -> {}
        }
    }

    void ended(LogLine line) {
        loss = Optional.of(
                switch (line.text("phase")) {
                    case "COMPLETED" -> line.wholeNumber("age_ms") <= objectiveMillis ? Loss.NONE : lateCause();
                    case "FAILED" -> Loss.FAILED;
                    default -> cancellationCause(line.text("reason"));
                });
    }

    private Loss lateCause() {
        if (taskFailed) {
            return Loss.FAILED_TASK;
        }
        if (runLost) {
            return Loss.LOST_RUN;
        }
        return longestWaitMillis > LONG_WAIT_SHARE * objectiveMillis ? Loss.WAITED : Loss.SLOW_TASK;
    }

    private static Loss cancellationCause(String reason) {
        return switch (reason) {
            case "overtaken" -> Loss.REFUSED;
            case "not started in time" -> Loss.NOT_STARTED;
            default -> Loss.GIVEN_UP;
        };
    }

    /** Returns the classification of the job; {@link Loss#ENTRY_LOST} if its end was not logged. */
    Loss loss() {
        return loss.orElse(Loss.ENTRY_LOST);
    }
}
