package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.Random;
import java.util.function.Consumer;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.RunKey;

/** Calls of which a share gets no answer and is carried out seconds later, as a minion in trouble does. */
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

    private boolean isLost(Runnable late) {
        calls++;
        boolean lost = random.nextDouble() < lostShare;
        if (lost) {
            timers.after(Duration.ofMillis(2_000 + random.nextInt(10_000)), late);
        }
        return lost;
    }

    @Override
    public void start(String boot, StartRequest order, Consumer<StartResult> answer) {
        if (isLost(() -> minion.start(boot, order, late -> {}))) {
            timers.after(TIMEOUT, () -> answer.accept(new StartResult.Unknown("no answer in time")));
        } else {
            timers.after(Duration.ofMillis(1), () -> minion.start(boot, order, answer));
        }
    }

    @Override
    public void stop(String boot, RunKey run, long token, Consumer<Boolean> answer) {
        if (isLost(() -> minion.stop(boot, run, token, late -> {}))) {
            timers.after(TIMEOUT, () -> answer.accept(false));
        } else {
            timers.after(Duration.ofMillis(1), () -> minion.stop(boot, run, token, answer));
        }
    }

    @Override
    public void poll(String boot, PollRequest order, Consumer<PollResult> answer) {
        if (isLost(() -> minion.poll(boot, order, late -> {}))) {
            timers.after(
                    order.maximumWait().plus(TIMEOUT),
                    () -> answer.accept(new PollResult.Unknown("no answer in time")));
        } else {
            minion.poll(boot, order, answer);
        }
    }
}
