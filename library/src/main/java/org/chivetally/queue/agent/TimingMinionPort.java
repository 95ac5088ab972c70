package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.speed.LearnedStretch;
import org.chivetally.queue.speed.RunStretch;
import org.chivetally.time.Timers;

/**
 * Times the runs of a minion by the calls that pass to it, from the answer to a start until the end is listed, and
 * learns from runs that end done how long they last compared with their estimates. Changes no call.
 *
 * <p>Left out are runs whose duration says nothing of the worker: those that resume another, that were stopped, that an
 * agent before this one started, and all whose start or end can't be dated.
 */
final class TimingMinionPort implements MinionPort {
    /**
     * Time after which the answer to a start no longer dates it. Answers take a millisecond; where one was lost, the
     * repeated call is answered tens of milliseconds later, which would make the shortest runs look a third faster.
     */
    static final Duration LATEST_ANSWER = Duration.ofMillis(20);

    /** Runs that are timed at once. A worker holds fewer; those that vanished without an end are dropped at this. */
    private static final int MOST_RUNS = 1_000;

    private final MinionPort port;
    private final Timers timers;
    private final Map<RunKey, TimedRun> runs = new HashMap<>();
    private final RunStretch stretch = new RunStretch();
    private String timedBoot = "";
    private boolean endsDated = true;

    TimingMinionPort(MinionPort port, Timers timers) {
        this.port = port;
        this.timers = timers;
    }

    /** Returns how long the minion's runs last compared with their estimates, as far as learned. */
    LearnedStretch stretch() {
        return stretch.at(timers.nanos());
    }

    /**
     * Names the estimate of a run that may be started.
     *
     * @param estimatedMillis in milliseconds; 0 for none
     */
    void expect(RunKey run, int estimatedMillis) {
        if (estimatedMillis <= 0) {
            return;
        }
        if (runs.size() >= MOST_RUNS) {
            runs.clear();
        }
        runs.put(run, new TimedRun(estimatedMillis));
    }

    /** Forgets a run that was not started. */
    void forget(RunKey run) {
        runs.remove(run);
    }

    @Override
    public void start(String boot, StartOrder order, Consumer<StartAnswer> answer) {
        lookAtBoot(boot);
        RunKey run = order.run();
        if (!order.checkpoint().isEmpty()) {
            // It does only the rest of the work, of which there is no estimate.
            runs.remove(run);
        }
        long sentAtNanos = timers.nanos();
        port.start(boot, order, answered -> {
            long now = timers.nanos();
            boolean dated = answered instanceof StartAnswer.Started && now - sentAtNanos <= LATEST_ANSWER.toNanos();
            TimedRun timed = runs.get(run);
            if (timed != null && dated) {
                timed.startedAtNanos = now;
                timed.dated = true;
            } else {
                runs.remove(run);
            }
            answer.accept(answered);
        });
    }

    @Override
    public void stop(String boot, RunKey run, long token, Consumer<Boolean> answer) {
        runs.remove(run);
        port.stop(boot, run, token, answer);
    }

    @Override
    public void look(String boot, LookOrder order, Consumer<LookAnswer> answer) {
        lookAtBoot(boot);
        port.look(boot, order, answered -> {
            if (boot.equals(timedBoot)) {
                looked(answered);
            }
            answer.accept(answered);
        });
    }

    private void looked(LookAnswer answer) {
        if (answer instanceof LookAnswer.Lists lists) {
            for (ListedEnd end : lists.ends()) {
                TimedRun run = runs.remove(end.run());
                if (run != null && run.dated && endsDated && end.outcome() == RunOutcome.DONE) {
                    long now = timers.nanos();
                    stretch.recordRun(now - run.startedAtNanos, run.estimatedMillis, now);
                }
            }
            endsDated = true;
        } else {
            // What the next look lists may have ended long before.
            endsDated = false;
        }
    }

    /** Forgets everything when another minion is called: it may be of another kind. */
    private void lookAtBoot(String boot) {
        if (!boot.equals(timedBoot)) {
            if (!timedBoot.isEmpty()) {
                runs.clear();
                stretch.clear();
            }
            timedBoot = boot;
            endsDated = true;
        }
    }

    /** A run with what is known of its time. */
    private static final class TimedRun {
        private final int estimatedMillis;
        private long startedAtNanos;
        private boolean dated;

        private TimedRun(int estimatedMillis) {
            this.estimatedMillis = estimatedMillis;
        }
    }
}
