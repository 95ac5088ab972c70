package org.chivetally.queue.warmup;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * Does rounds of an exercise while the process has nothing else to do.
 *
 * <p>The failure it prevents: the first callers after a start meet code that is interpreted, and hundreds of things
 * that are set up at their first use. On a small entry the jobs of the first second then wait for each other until most
 * are late. A process that has work from its start, as after a loss of power, gets its practice from that and does none
 * of this.
 */
public final class WarmUp {
    /** Time from the start in which links are made and partitions are opened. */
    static final Duration INITIAL_DELAY = Duration.ofSeconds(3);

    /**
     * Pause between rounds, in which heartbeats and leases get their turn: the first round takes 0.1 s of processor
     * time.
     */
    static final Duration ROUND_INTERVAL = Duration.ofMillis(200);

    /**
     * Rounds: methods are compiled after forty calls, and with four starts in a round most of what a start calls is by
     * then. More rounds hardly compile anything else, since what a round calls once is far from it.
     */
    static final int ROUNDS = 12;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final Supplier<Runnable> roundFactory;
    private final BooleanSupplier idle;
    private final Consumer<Runnable> logSuppressor;

    /**
     * Creates a warm-up.
     *
     * @param timers of the process, on whose loop the rounds are done
     * @param exercise makes what is run in each round; asked once, at the first one
     * @param idle whether nothing of anybody's is in progress; once it isn't, no more rounds are done
     * @param quietly runs an action whose log lines don't concern anybody
     */
    public WarmUp(
            Timers timers, Supplier<Runnable> roundFactory, BooleanSupplier idle, Consumer<Runnable> logSuppressor) {
        this.timers = timers;
        this.roundFactory = roundFactory;
        this.idle = idle;
        this.logSuppressor = logSuppressor;
    }

    /** Begins a while later. */
    public void start() {
        timers.after(INITIAL_DELAY, () -> {
            if (idle.getAsBoolean()) {
                logSuppressor.accept(() -> scheduleRound(roundFactory.get(), 1));
            }
        });
    }

    private void scheduleRound(Runnable round, int roundNumber) {
        timers.after(ROUND_INTERVAL, () -> {
            if (roundNumber > ROUNDS || !idle.getAsBoolean()) {
                EventLine.of("warmed-up").with("rounds", roundNumber - 1).log(LOGGER.atInfo());
                return;
            }
            logSuppressor.accept(round);
            scheduleRound(round, roundNumber + 1);
        });
    }
}
