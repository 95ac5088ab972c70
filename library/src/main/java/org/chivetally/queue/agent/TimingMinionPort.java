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
 * Measures the runs of a minion by its calls, from the answer to a start until a poll lists the end. From successful
 * runs it learns the ratio of their duration to their estimate. Calls are passed on unchanged.
 *
 * <p>Excluded are runs whose duration doesn't depend on the worker's speed alone: those that resume from a checkpoint,
 * were stopped or were started by the agent's predecessor, and all without a known time of start or end.
 */
final class TimingMinionPort implements MinionPort {
    /**
     * Longest answer to a start that still dates the start. Answers take a millisecond. If one is lost, the retry is
     * answered tens of milliseconds later, which would make the shortest runs look a third faster.
     */
    static final Duration MAXIMUM_ANSWER_TIME = Duration.ofMillis(20);

    /**
     * Maximum number of runs that are measured at once. A worker holds fewer; runs that vanished without an end are
     * dropped when this number is reached.
     */
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

    /** Returns the learned ratio of the durations of the minion's runs to their estimates. */
    LearnedStretch stretch() {
        return stretch.at(timers.nanos());
    }

    /**
     * Sets the estimate of a run that is about to be started.
     *
     * @param estimatedMillis estimated duration, in milliseconds; 0 for none
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

    /** Discards a run that was not started. */
    void discard(RunKey run) {
        runs.remove(run);
    }

    @Override
    public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
        resetForNewMinion(minionId);
        RunKey run = request.run();
        if (!request.checkpoint().isEmpty()) {
            // It does only the rest of the work, for which there is no estimate.
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
            // Ends in the next lists may have occurred long before.
            endTimesKnown = false;
        }
    }

    /** Discards what was learned if the calls go to another minion, as its speed may differ. */
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

    /** A run with its estimate and its measured start. */
    private static final class TimedRun {
        private final int estimatedMillis;
        private long startedAtNanos;
        private boolean startTimeKnown;

        private TimedRun(int estimatedMillis) {
            this.estimatedMillis = estimatedMillis;
        }
    }
}
