package org.chivetally.command.losses;

import java.time.Instant;
import java.util.Optional;

/** What the log of one entry tells of one job. */
final class JobCourse {
    /** A job's end is worth nothing after this many objectives; entries log the time that is left until then. */
    private static final int LIMIT_OBJECTIVES = 3;

    /** Share of the objective that tasks may wait before the wait is what made the job late. */
    private static final double LONG_WAIT = 0.25;

    private final Instant takenAt;
    private final long objectiveMillis;
    private long longestWaitMillis;
    private boolean failedTask;
    private boolean lostRun;
    private Optional<Loss> end = Optional.empty();

    /** Begins with the line by which an entry took the job on. */
    JobCourse(LogLine accepted) {
        this.takenAt = accepted.time();
        this.objectiveMillis = accepted.whole("left_ms") / LIMIT_OBJECTIVES;
    }

    Instant takenAt() {
        return takenAt;
    }

    void placed(LogLine line) {
        if (line.whole("run") == 1) {
            longestWaitMillis = Math.max(longestWaitMillis, line.whole("waited_ms"));
        }
    }

    void runEnded(LogLine line) {
        switch (line.text("outcome")) {
            case "FAILED" -> failedTask = true;
            case "NEVER_STARTED", "LOST", "LAPSED", "STOPPED" -> lostRun = true;
            default -> {}
        }
    }

    void ended(LogLine line) {
        end = Optional.of(
                switch (line.text("phase")) {
                    case "COMPLETED" -> line.whole("age_ms") <= objectiveMillis ? Loss.NONE : whyLate();
                    case "FAILED" -> Loss.FAILED;
                    default -> whyCancelled(line.text("reason"));
                });
    }

    private Loss whyLate() {
        if (failedTask) {
            return Loss.FAILED_TASK;
        }
        if (lostRun) {
            return Loss.LOST_RUN;
        }
        return longestWaitMillis > LONG_WAIT * objectiveMillis ? Loss.WAITED : Loss.SLOW_TASK;
    }

    private static Loss whyCancelled(String reason) {
        return switch (reason) {
            case "overtaken" -> Loss.REFUSED;
            case "not started in time" -> Loss.NOT_STARTED;
            default -> Loss.GIVEN_UP;
        };
    }

    /** Returns what became of the job as far as the log goes. */
    Loss loss() {
        return end.orElse(Loss.ENTRY_LOST);
    }
}
