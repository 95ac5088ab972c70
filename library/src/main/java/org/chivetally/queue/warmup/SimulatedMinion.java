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

/** A minion that does every run in the same short time. */
final class SimulatedMinion implements MinionPort {
    private static final Duration ANSWER_DELAY = Duration.ofMillis(1);
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
    public void start(String boot, StartOrder order, Consumer<StartAnswer> callback) {
        running.add(order.run());
        timers.after(RUN_DURATION, () -> finishRun(order.run()));
        timers.after(ANSWER_DELAY, () -> callback.accept(new StartAnswer.Started(clockMillis())));
    }

    private void finishRun(RunKey run) {
        if (running.remove(run)) {
            sequence++;
            ends.put(sequence, new ListedEnd(sequence, run, RunOutcome.DONE, ""));
        }
    }

    @Override
    public void stop(String boot, RunKey run, long token, Consumer<Boolean> callback) {
        running.remove(run);
        timers.after(ANSWER_DELAY, () -> callback.accept(true));
    }

    @Override
    public void look(String boot, LookOrder order, Consumer<LookAnswer> callback) {
        ends.headMap(order.keptThrough(), true).clear();
        Duration wait = order.longestWait().isZero() ? ANSWER_DELAY : RUN_DURATION;
        timers.after(
                wait,
                () -> callback.accept(
                        new LookAnswer.Lists(clockMillis(), List.copyOf(running), List.copyOf(ends.values()))));
    }
}
