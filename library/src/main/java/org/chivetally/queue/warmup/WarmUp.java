package org.chivetally.queue.warmup;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * Warms up the process: runs rounds of a synthetic load while the process is idle.
 *
 * <p>Without it, the first requests after a start run interpreted code and pay for hundreds of lazy initializations. On
 * a small entry, the jobs of the first second then queue up until most of them are late. A process that has work from
 * its start, as after a power failure, is warmed up by that work and runs no rounds.
 */
public final class WarmUp {
    /** Delay after the start, in which links and partitions are opened. */
    static final Duration INITIAL_DELAY = Duration.ofSeconds(3);

    /**
     * Interval between rounds, in which heartbeats are sent and leases renewed: the first round takes 0.1 s of
     * processor time.
     */
    static final Duration ROUND_INTERVAL = Duration.ofMillis(200);

    /**
     * Number of rounds. Methods are compiled after forty calls; with four starts per round, most methods on the path of
     * a start are compiled after this many rounds. Further rounds compile little else, because methods that are called
     * once per round are still far from forty calls.
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
     * @param timers timers of the process, on whose event loop the rounds run
     * @param roundFactory creates the action to run in each round; called once, before the first round
     * @param idle returns whether the process has no work; once it returns false, no more rounds are run
     * @param logSuppressor runs an action whose log lines are not written, as they concern no real work
     */
    public WarmUp(
            Timers timers, Supplier<Runnable> roundFactory, BooleanSupplier idle, Consumer<Runnable> logSuppressor) {
        this.timers = timers;
        this.roundFactory = roundFactory;
        this.idle = idle;
        this.logSuppressor = logSuppressor;
    }

    /** Schedules the warm-up. */
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
