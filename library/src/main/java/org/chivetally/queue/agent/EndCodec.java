package org.chivetally.queue.agent;

import java.util.Optional;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.wire.v1.RunEnd;

/** Converts ends of runs to protocol buffers and back. */
public final class EndCodec {
    private EndCodec() {}

    /** Converts an end to its message. */
    public static RunEnd encode(EndedRun end) {
        return RunEnd.newBuilder()
                .setMinion(end.incarnation())
                .setSequence(end.sequence())
                .setTask(end.run().task().toString())
                .setRun(end.run().run())
                .setOutcome(encode(end.outcome()))
                .setCrashSuspected(end.outcome() == RunOutcome.CRASH_SUSPECTED)
                .setCheckpoint(end.checkpoint())
                .build();
    }

    /** Converts a message to an end; empty if its task name is malformed or this release doesn't know its outcome. */
    public static Optional<EndedRun> decode(RunEnd end) {
        Optional<RunOutcome> outcome =
                end.getCrashSuspected() ? Optional.of(RunOutcome.CRASH_SUSPECTED) : decode(end.getOutcome());
        Optional<TaskKey> task = TaskKey.parse(end.getTask());
        if (outcome.isEmpty() || task.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new EndedRun(
                end.getMinion(),
                end.getSequence(),
                new RunKey(task.get(), end.getRun()),
                outcome.get(),
                end.getCheckpoint()));
    }

    private static org.chivetally.wire.v1.RunOutcome encode(RunOutcome outcome) {
        return switch (outcome) {
            case DONE -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_DONE;
            case FAILED -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_FAILED;
            case STOPPED -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_STOPPED;
            case LAPSED -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_LAPSED;
            case BROKEN -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_BROKEN;
            case ALONE -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_ALONE;
            // An entry of an earlier release takes a suspected crash for a loss.
            case LOST, CRASH_SUSPECTED -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_LOST;
            case NEVER_STARTED -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_NEVER_STARTED;
            case CRASHED -> org.chivetally.wire.v1.RunOutcome.RUN_OUTCOME_CRASHED;
        };
    }

    private static Optional<RunOutcome> decode(org.chivetally.wire.v1.RunOutcome outcome) {
        return switch (outcome) {
            case RUN_OUTCOME_DONE -> Optional.of(RunOutcome.DONE);
            case RUN_OUTCOME_FAILED -> Optional.of(RunOutcome.FAILED);
            case RUN_OUTCOME_STOPPED -> Optional.of(RunOutcome.STOPPED);
            case RUN_OUTCOME_LAPSED -> Optional.of(RunOutcome.LAPSED);
            case RUN_OUTCOME_BROKEN -> Optional.of(RunOutcome.BROKEN);
            case RUN_OUTCOME_ALONE -> Optional.of(RunOutcome.ALONE);
            case RUN_OUTCOME_LOST -> Optional.of(RunOutcome.LOST);
            case RUN_OUTCOME_NEVER_STARTED -> Optional.of(RunOutcome.NEVER_STARTED);
            case RUN_OUTCOME_CRASHED -> Optional.of(RunOutcome.CRASHED);
            case RUN_OUTCOME_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
        };
    }
}
