package org.chivetally.command.losses;

import java.time.Instant;
import java.util.Optional;

/** What the log of one entry tells of one job. */
final class JobHistory {
    /** A job's end is worth nothing after this many objectives; entries log the time that is left until then. */
    private static final int DEADLINE_IN_OBJECTIVES = 3;

    /** Share of the objective that tasks may wait before the wait is what made the job late. */
    private static final double LONG_WAIT_SHARE = 0.25;

    private final Instant acceptedAt;
    private final long objectiveMillis;
    private long longestWaitMillis;
    private boolean taskFailed;
    private boolean runLost;
    private Optional<Loss> loss = Optional.empty();

    /** Begins with the line by which an entry took the job on. */
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

    /** Returns what became of the job as far as the log goes. */
    Loss loss() {
        return loss.orElse(Loss.ENTRY_LOST);
    }
}
