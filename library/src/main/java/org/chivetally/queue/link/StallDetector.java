package org.chivetally.queue.link;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * Tells whether the process has stood still so long that requests which it reads now may be old.
 *
 * <p>While it stands still, requests wait in its sockets, and their callers give up and send them again elsewhere. Read
 * after that, such a request looks new, and its tasks would run beside those of the second one. Nothing tells old ones
 * from new ones, so all that comes is doubtful until the process keeps up again; what waited has been read by then.
 */
public final class StallDetector {
    /**
     * Least time between two looks that counts. Looks come every 250 ms; a caller whose connection broke comes again
     * after 1.3 s, and a start is refused by its agent 0.6 s after the entry last kept up.
     */
    static final Duration STALL_THRESHOLD = Duration.ofMillis(700);

    /**
     * Interval in which the process shows that it keeps up. While it reads what has waited, its timers fire late: a
     * request that had waited for three seconds was read 0.4 s after the process went on, and the end of its caller's
     * connection 0.6 s later still.
     */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(50);

    /** Lateness of a timer up to which the process keeps up: a few requests are read in between. */
    static final Duration PROBE_LATENESS_LIMIT = Duration.ofMillis(20);

    /** Timers in a row that must be punctual, so that requests are doubtful for a quarter of a second at least. */
    static final int REQUIRED_PUNCTUAL_PROBES = 5;

    /**
     * Time between two looks up to which the process kept up in between: the interval of looks, and some lateness of a
     * small machine.
     */
    static final Duration RESPONSIVE_GAP = Duration.ofMillis(400);

    /** Time from a late look in which what has waited in the sockets is read. */
    static final Duration CATCH_UP_TIME = Duration.ofMillis(200);

    /** Longest time for which requests are doubtful: a machine that stays slow must serve again. */
    static final Duration LONGEST_STALE_PERIOD = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private long lastCheckNanos;
    private long staleUntilNanos;
    private long lastResponsiveNanos;
    private long caughtUpAtNanos;
    private int punctualProbes = REQUIRED_PUNCTUAL_PROBES;

    /** Creates a detector that compares from now on. */
    public StallDetector(Timers timers) {
        this.timers = timers;
        this.lastCheckNanos = timers.nanos();
        this.staleUntilNanos = timers.nanos();
        this.lastResponsiveNanos = timers.nanos();
        this.caughtUpAtNanos = timers.nanos();
    }

    /**
     * Notes that callers can reach the process from now on, so that nothing which is read can be older. A small entry
     * takes more than a second from its start to here, and would refuse everybody for two more.
     */
    public void markListening() {
        lastCheckNanos = timers.nanos();
    }

    /** Tells whether what is read now may be old; to be called regularly, and before anything new is taken on. */
    public boolean check() {
        long now = timers.nanos();
        long gap = now - lastCheckNanos;
        lastCheckNanos = now;
        if (gap > RESPONSIVE_GAP.toNanos()) {
            caughtUpAtNanos = now + CATCH_UP_TIME.toNanos();
        }
        if (now - caughtUpAtNanos >= 0) {
            lastResponsiveNanos = now;
        }
        if (gap > STALL_THRESHOLD.toNanos()) {
            EventLine.of("stood-still").with("gap_ms", gap / 1_000_000).log(LOGGER.atWarning());
            markStalled();
        }
        return punctualProbes < REQUIRED_PUNCTUAL_PROBES && now - staleUntilNanos < 0;
    }

    /**
     * Returns the last look at which the process kept up. What it does now may be due to something that it should have
     * read soon after that look.
     */
    public long lastResponsiveNanos() {
        return lastResponsiveNanos;
    }

    /** Makes what is read doubtful, as somebody else has noticed that the process stood still. */
    public void markStalled() {
        boolean probing = punctualProbes < REQUIRED_PUNCTUAL_PROBES;
        punctualProbes = 0;
        staleUntilNanos = timers.nanos() + LONGEST_STALE_PERIOD.toNanos();
        if (!probing) {
            scheduleProbe();
        }
    }

    private void scheduleProbe() {
        long due = timers.nanos() + PROBE_INTERVAL.toNanos();
        timers.after(PROBE_INTERVAL, () -> {
            boolean punctual = timers.nanos() - due <= PROBE_LATENESS_LIMIT.toNanos();
            punctualProbes = punctual ? punctualProbes + 1 : 0;
            if (punctualProbes < REQUIRED_PUNCTUAL_PROBES && timers.nanos() - staleUntilNanos < 0) {
                scheduleProbe();
            } else {
                punctualProbes = REQUIRED_PUNCTUAL_PROBES;
            }
        });
    }
}
