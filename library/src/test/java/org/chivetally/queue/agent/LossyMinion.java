package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.Random;
import java.util.function.Consumer;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.RunKey;

/** A port that leaves a share of its calls unanswered and executes them seconds later, as a faulty minion does. */
final class LossyMinion implements MinionPort {
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    private final ManualTimers timers;
    private final MinionPort minion;
    private final double lostShare;
    private final Random random;
    int calls;

    LossyMinion(ManualTimers timers, MinionPort minion, double lostShare, long seed) {
        this.timers = timers;
        this.minion = minion;
        this.lostShare = lostShare;
        this.random = new Random(seed);
    }

    private boolean isLost(Runnable lateCall) {
        calls++;
        boolean lost = random.nextDouble() < lostShare;
        if (lost) {
            timers.after(Duration.ofMillis(2_000 + random.nextInt(10_000)), lateCall);
        }
        return lost;
    }

    @Override
    public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
        if (isLost(() -> minion.start(minionId, request, lateCall -> {}))) {
            timers.after(TIMEOUT, () -> callback.accept(new StartResult.Unknown("no answer in time")));
        } else {
            timers.after(Duration.ofMillis(1), () -> minion.start(minionId, request, callback));
        }
    }

    @Override
    public void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback) {
        if (isLost(() -> minion.stop(minionId, run, token, lateCall -> {}))) {
            timers.after(TIMEOUT, () -> callback.accept(false));
        } else {
            timers.after(Duration.ofMillis(1), () -> minion.stop(minionId, run, token, callback));
        }
    }

    @Override
    public void poll(String minionId, PollRequest request, Consumer<PollResult> callback) {
        if (isLost(() -> minion.poll(minionId, request, lateCall -> {}))) {
            timers.after(
                    request.maximumWait().plus(TIMEOUT),
                    () -> callback.accept(new PollResult.Unknown("no answer in time")));
        } else {
            minion.poll(minionId, request, callback);
        }
    }
}
