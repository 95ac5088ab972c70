package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.agent.MinionPort.StartRequest;
import org.chivetally.queue.agent.MinionPort.StartResult;
import org.chivetally.time.Timers;

/**
 * Starts and stops runs at the minion. A stop is retried until the minion accepts it, and a start whose result remains
 * unknown is followed by a stop.
 */
final class RunCommands {
    /**
     * Time after which an unanswered start counts as unconfirmed. Answers take a millisecond, and the tasks of waiting
     * callers take 85 ms or more; with a longer timeout, the job would miss its objective by this wait alone.
     */
    static final Duration START_TIMEOUT = Duration.ofMillis(100);

    /**
     * Time before an unconfirmed start is stopped, unless a poll lists the run before. The next poll is answered within
     * it.
     */
    static final Duration UNCONFIRMED_STOP_DELAY = Duration.ofMillis(60);

    /** Pause before an unanswered stop is sent again, so that an unavailable minion isn't called in a tight loop. */
    static final Duration STOP_RETRY_INTERVAL = Duration.ofMillis(100);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final FencingToken token;
    private final MinionLease lease;
    private final Callbacks callbacks;

    RunCommands(Timers timers, MinionPort port, FencingToken token, MinionLease lease, Callbacks callbacks) {
        this.timers = timers;
        this.port = port;
        this.token = token;
        this.lease = lease;
        this.callbacks = callbacks;
    }

    /** What the commands need from the supervisor of the minion. */
    interface Callbacks {
        /** Tells whether a run is still held at the incarnation to which the call about it was sent. */
        boolean isHeld(Incarnation incarnation, HeldRun run);

        /** Reports that the run wasn't started and never will be. */
        void reportNeverStarted(Incarnation incarnation, HeldRun run);

        /** Reports that no connection to the minion could be used. */
        void unreachable();

        /** Polls the minion soon. */
        void poll();
    }

    /** Sends a start. */
    void start(Incarnation incarnation, HeldRun run, StartRequest request) {
        port.start(incarnation.id(), request, result -> startAnswered(incarnation, run, result));
        timers.after(START_TIMEOUT, () -> markUnconfirmed(incarnation, run, "no answer yet"));
    }

    private void startAnswered(Incarnation incarnation, HeldRun run, StartResult result) {
        if (!callbacks.isHeld(incarnation, run)) {
            return;
        }
        switch (result) {
            case StartResult.Started started -> {
                lease.observe(started.clockMillis(), timers.nanos());
                run.enterStage(HeldRun.Stage.RUNNING, timers.nanos());
                if (run.isStopRequested()) {
                    stop(incarnation, run);
                }
                callbacks.poll();
            }
            case StartResult.Rejected rejected -> {
                logRejected(incarnation, run, rejected.reason());
                if (rejected.fenced()) {
                    token.raise();
                }
                callbacks.reportNeverStarted(incarnation, run);
            }
            case StartResult.NotSent notSent -> {
                logRejected(incarnation, run, notSent.reason());
                callbacks.unreachable();
                callbacks.reportNeverStarted(incarnation, run);
                callbacks.poll();
            }
            case StartResult.Unknown unknown -> markUnconfirmed(incarnation, run, unknown.reason());
        }
    }

    private static void logRejected(Incarnation incarnation, HeldRun run, String reason) {
        EventLine.of("run-rejected")
                .with("run", run.key())
                .with("minion", incarnation.name())
                .with("reason", reason)
                .log(LOGGER.atInfo());
    }

    private void markUnconfirmed(Incarnation incarnation, HeldRun run, String reason) {
        if (!callbacks.isHeld(incarnation, run) || run.stage() != HeldRun.Stage.STARTING) {
            return;
        }
        EventLine.of("run-doubtful")
                .with("run", run.key())
                .with("minion", incarnation.name())
                .with("reason", reason)
                .log(LOGGER.atWarning());
        run.enterStage(HeldRun.Stage.UNCONFIRMED, timers.nanos());
        timers.after(UNCONFIRMED_STOP_DELAY, () -> stopUnconfirmed(incarnation, run));
        callbacks.poll();
    }

    /**
     * Stops a run whose start is unconfirmed. Once the minion has accepted the stop it never starts the run, so the
     * resources are free when a later poll doesn't list it. Without the stop, a start that is executed late would
     * overcommit the worker.
     */
    private void stopUnconfirmed(Incarnation incarnation, HeldRun run) {
        boolean isUnconfirmed = callbacks.isHeld(incarnation, run) && run.stage() == HeldRun.Stage.UNCONFIRMED;
        if (isUnconfirmed && !run.isStopConfirmed()) {
            stop(incarnation, run);
        }
    }

    /** Sends a stop and retries it until the minion accepts it. */
    void stop(Incarnation incarnation, HeldRun run) {
        port.stop(incarnation.id(), run.key(), token.value(), accepted -> stopAnswered(incarnation, run, accepted));
    }

    private void stopAnswered(Incarnation incarnation, HeldRun run, boolean accepted) {
        if (!callbacks.isHeld(incarnation, run)) {
            return;
        }
        if (accepted) {
            run.confirmStop(timers.nanos());
            callbacks.poll();
            return;
        }
        timers.after(STOP_RETRY_INTERVAL, () -> {
            if (callbacks.isHeld(incarnation, run) && !run.isStopConfirmed()) {
                stop(incarnation, run);
            }
        });
    }

    /** Stops runs that the agent doesn't know. */
    void stopUnknownRuns(Incarnation incarnation, UnknownRuns unknownRuns) {
        for (RunKey run : unknownRuns.dueForStop(timers.nanos())) {
            EventLine.of("run-unknown")
                    .with("run", run)
                    .with("minion", incarnation.name())
                    .log(LOGGER.atWarning());
            port.stop(incarnation.id(), run, token.value(), accepted -> callbacks.poll());
        }
    }
}
