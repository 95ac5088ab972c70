package org.chivetally.queue.warmup;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.MinionPort;
import org.chivetally.time.Timers;

/** Minion on which every run takes the same short time. */
final class SimulatedMinion implements MinionPort {
    private static final Duration RESPONSE_DELAY = Duration.ofMillis(1);
    private static final Duration RUN_DURATION = Duration.ofMillis(5);

    private final Timers timers;
    private final Set<RunKey> running = new LinkedHashSet<>();
    private final TreeMap<Long, ListedEnd> ends = new TreeMap<>();
    private long sequence;

    SimulatedMinion(Timers timers) {
        this.timers = timers;
    }

    long clockMillis() {
        return timers.epochMillis();
    }

    @Override
    public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
        running.add(request.run());
        timers.after(RUN_DURATION, () -> finishRun(request.run()));
        timers.after(RESPONSE_DELAY, () -> callback.accept(new StartResult.Started(clockMillis())));
    }

    private void finishRun(RunKey run) {
        if (running.remove(run)) {
            sequence++;
            ends.put(sequence, new ListedEnd(sequence, run, RunOutcome.DONE, ""));
        }
    }

    @Override
    public void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback) {
        running.remove(run);
        timers.after(RESPONSE_DELAY, () -> callback.accept(true));
    }

    @Override
    public void poll(String minionId, PollRequest request, Consumer<PollResult> callback) {
        ends.headMap(request.acknowledgedThrough(), true).clear();
        Duration wait = request.maximumWait().isZero() ? RESPONSE_DELAY : RUN_DURATION;
        timers.after(
                wait,
                () -> callback.accept(
                        new PollResult.Lists(clockMillis(), List.copyOf(running), List.copyOf(ends.values()))));
    }
}
