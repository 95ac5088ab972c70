package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.agent.MinionPort.StartAnswer;
import org.chivetally.queue.agent.MinionPort.StartOrder;
import org.chivetally.time.Timers;

/** Starts and stops of single runs at the minion, until it is certain what became of each. */
final class RunCalls {
    /**
     * Time without an answer after which a start is doubted. Answers take a millisecond, and the tasks of callers who
     * wait last 85 ms and more: any later, the job would miss its objective by the doubt alone.
     */
    static final Duration START_DOUBT = Duration.ofMillis(100);

    /** How long a doubtful start may show up in a look before it is stopped; the next look comes within it. */
    static final Duration DOUBT_PAUSE = Duration.ofMillis(60);

    /** Pause before a stop without an answer is sent again, so that a minion that is down isn't called in a loop. */
    static final Duration STOP_RETRY = Duration.ofMillis(100);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final FencingToken token;
    private final MinionLease lease;
    private final Supervision supervision;

    RunCalls(Timers timers, MinionPort port, FencingToken token, MinionLease lease, Supervision supervision) {
        this.timers = timers;
        this.port = port;
        this.token = token;
        this.lease = lease;
        this.supervision = supervision;
    }

    /** What the calls ask of and tell to the supervisor of the minion. */
    interface Supervision {
        /** Tells whether a run is still held at the incarnation to which a call about it was sent. */
        boolean isHeld(Incarnation at, HeldRun run);

        /** The run isn't there and never will be. */
        void neverStarted(Incarnation at, HeldRun run);

        /** Nobody listens at the minion's address. */
        void unreachable();

        /** The minion is to be looked at soon. */
        void check();
    }

    /** Sends a start. */
    void start(Incarnation at, HeldRun run, StartOrder order) {
        port.start(at.id(), order, answer -> startAnswered(at, run, answer));
        timers.after(START_DOUBT, () -> doubt(at, run, "no answer yet"));
    }

    private void startAnswered(Incarnation at, HeldRun run, StartAnswer answer) {
        if (!supervision.isHeld(at, run)) {
            return;
        }
        switch (answer) {
            case StartAnswer.Started started -> {
                lease.observe(started.clockMillis(), timers.nanos());
                run.become(HeldRun.Stage.RUNNING, timers.nanos());
                if (run.isStopWanted()) {
                    stop(at, run);
                }
                supervision.check();
            }
            case StartAnswer.Rejected rejected -> {
                logRejected(at, run, rejected.reason());
                if (rejected.fenced()) {
                    token.raise();
                }
                supervision.neverStarted(at, run);
            }
            case StartAnswer.Unreachable unreachable -> {
                logRejected(at, run, unreachable.reason());
                supervision.unreachable();
                supervision.neverStarted(at, run);
                supervision.check();
            }
            case StartAnswer.Unknown unknown -> doubt(at, run, unknown.reason());
        }
    }

    private static void logRejected(Incarnation at, HeldRun run, String reason) {
        EventLine.of("run-rejected")
                .with("run", run.key())
                .with("minion", at.name())
                .with("reason", reason)
                .log(LOGGER.atInfo());
    }

    private void doubt(Incarnation at, HeldRun run, String reason) {
        if (!supervision.isHeld(at, run) || run.stage() != HeldRun.Stage.STARTING) {
            return;
        }
        EventLine.of("run-doubtful")
                .with("run", run.key())
                .with("minion", at.name())
                .with("reason", reason)
                .log(LOGGER.atWarning());
        run.become(HeldRun.Stage.DOUBTFUL, timers.nanos());
        timers.after(DOUBT_PAUSE, () -> resolve(at, run));
        supervision.check();
    }

    /**
     * Rules a doubtful start out. A stop that was answered keeps the minion from ever taking this run, so the room is
     * free from the next look that does not list it; without that, a start carried out late would overfill the worker.
     */
    private void resolve(Incarnation at, HeldRun run) {
        boolean isOpen = supervision.isHeld(at, run) && run.stage() == HeldRun.Stage.DOUBTFUL;
        if (isOpen && !run.isStopAnswered()) {
            stop(at, run);
        }
    }

    /** Sends a stop, and again until it is answered. */
    void stop(Incarnation at, HeldRun run) {
        port.stop(at.id(), run.key(), token.value(), taken -> stopAnswered(at, run, taken));
    }

    private void stopAnswered(Incarnation at, HeldRun run, boolean taken) {
        if (!supervision.isHeld(at, run)) {
            return;
        }
        if (taken) {
            run.stopAnswered(timers.nanos());
            supervision.check();
            return;
        }
        timers.after(STOP_RETRY, () -> {
            if (supervision.isHeld(at, run) && !run.isStopAnswered()) {
                stop(at, run);
            }
        });
    }

    /** Sends stops to runs that nobody here knows. */
    void stopUnknown(Incarnation at, UnknownRuns unknownRuns) {
        for (RunKey run : unknownRuns.dueForStop(timers.nanos())) {
            EventLine.of("run-unknown")
                    .with("run", run)
                    .with("minion", at.name())
                    .log(LOGGER.atWarning());
            port.stop(at.id(), run, token.value(), taken -> supervision.check());
        }
    }
}
