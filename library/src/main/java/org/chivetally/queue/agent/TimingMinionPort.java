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
    static final Duration MAXIMUM_ANSWER_TIME = Duration.ofMillis(20);

    /** Runs that are timed at once. A worker holds fewer; those that vanished without an end are dropped at this. */
    private static final int MAXIMUM_RUNS = 1_000;

    private final MinionPort port;
    private final Timers timers;
    private final Map<RunKey, TimedRun> runs = new HashMap<>();
    private final RunStretch stretch = new RunStretch();
    private String timedMinionId = "";
    private boolean endTimesKnown = true;

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
        if (runs.size() >= MAXIMUM_RUNS) {
            runs.clear();
        }
        runs.put(run, new TimedRun(estimatedMillis));
    }

    /** Forgets a run that was not started. */
    void discard(RunKey run) {
        runs.remove(run);
    }

    @Override
    public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
        resetForNewMinion(minionId);
        RunKey run = request.run();
        if (!request.checkpoint().isEmpty()) {
            // It does only the rest of the work, of which there is no estimate.
            runs.remove(run);
        }
        long sentAtNanos = timers.nanos();
        port.start(minionId, request, result -> {
            long now = timers.nanos();
            boolean startKnown =
                    result instanceof StartResult.Started && now - sentAtNanos <= MAXIMUM_ANSWER_TIME.toNanos();
            TimedRun timed = runs.get(run);
            if (timed != null && startKnown) {
                timed.startedAtNanos = now;
                timed.startTimeKnown = true;
            } else {
                runs.remove(run);
            }
            callback.accept(result);
        });
    }

    @Override
    public void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback) {
        runs.remove(run);
        port.stop(minionId, run, token, callback);
    }

    @Override
    public void poll(String minionId, PollRequest request, Consumer<PollResult> callback) {
        resetForNewMinion(minionId);
        port.poll(minionId, request, result -> {
            if (minionId.equals(timedMinionId)) {
                recordEnds(result);
            }
            callback.accept(result);
        });
    }

    private void recordEnds(PollResult result) {
        if (result instanceof PollResult.Lists lists) {
            for (ListedEnd end : lists.ends()) {
                TimedRun run = runs.remove(end.run());
                if (run != null && run.startTimeKnown && endTimesKnown && end.outcome() == RunOutcome.DONE) {
                    long now = timers.nanos();
                    stretch.recordRun(now - run.startedAtNanos, run.estimatedMillis, now);
                }
            }
            endTimesKnown = true;
        } else {
            // What the next look lists may have ended long before.
            endTimesKnown = false;
        }
    }

    /** Forgets everything when another minion is called: it may be of another kind. */
    private void resetForNewMinion(String minionId) {
        if (!minionId.equals(timedMinionId)) {
            if (!timedMinionId.isEmpty()) {
                runs.clear();
                stretch.clear();
            }
            timedMinionId = minionId;
            endTimesKnown = true;
        }
    }

    /** A run with what is known of its time. */
    private static final class TimedRun {
        private final int estimatedMillis;
        private long startedAtNanos;
        private boolean startTimeKnown;

        private TimedRun(int estimatedMillis) {
            this.estimatedMillis = estimatedMillis;
        }
    }
}
