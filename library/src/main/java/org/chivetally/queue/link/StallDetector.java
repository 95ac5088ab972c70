package org.chivetally.queue.link;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/**
 * Detects that the process has been stalled for so long that requests which it reads now may be stale.
 *
 * <p>During a stall, requests wait in socket buffers until their callers time out and retry elsewhere. Such a request
 * looks new when it is read after the stall, and its tasks would run in addition to those of the retry. As stale
 * requests can't be distinguished from new ones, all requests count as possibly stale until the process is responsive
 * again; by then it has read the buffered ones.
 */
public final class StallDetector {
    /**
     * Time between two checks above which the process counts as stalled. Checks run every 250 ms. A caller retries
     * after 1.3 s if its connection broke, and an agent refuses starts 0.6 s after the entry was last responsive.
     */
    static final Duration STALL_THRESHOLD = Duration.ofMillis(700);

    /**
     * Interval of the timers that probe whether the process is responsive. Timers fire late while the process reads
     * buffered requests: a request that had waited for three seconds was read 0.4 s after the process resumed, and the
     * end of its caller's connection 0.6 s after that.
     */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(50);

    /** Lateness of a probe up to which it counts as punctual: the time in which a few requests are read. */
    static final Duration PROBE_LATENESS_LIMIT = Duration.ofMillis(20);

    /** Number of consecutive punctual probes that end a stall, so that requests count as stale for at least 250 ms. */
    static final int REQUIRED_PUNCTUAL_PROBES = 5;

    /**
     * Time between two checks up to which the process counts as responsive: the interval of the checks, plus the usual
     * lateness on a small machine.
     */
    static final Duration RESPONSIVE_GAP = Duration.ofMillis(400);

    /** Time after a late check in which the process reads the requests in its socket buffers. */
    static final Duration CATCH_UP_TIME = Duration.ofMillis(200);

    /** Longest time for which requests count as stale, because a machine that stays slow has to serve again. */
    static final Duration LONGEST_STALE_PERIOD = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private long lastCheckNanos;
    private long staleUntilNanos;
    private long lastResponsiveNanos;
    private long caughtUpAtNanos;
    private int punctualProbes = REQUIRED_PUNCTUAL_PROBES;

    /**
     * Creates a detector that starts to measure now.
     *
     * @param timers timers of the event loop
     */
    public StallDetector(Timers timers) {
        this.timers = timers;
        this.lastCheckNanos = timers.nanos();
        this.staleUntilNanos = timers.nanos();
        this.lastResponsiveNanos = timers.nanos();
        this.caughtUpAtNanos = timers.nanos();
    }

    /**
     * Records that the process starts to accept connections, so that no request can be older than this call. Without
     * it, a small entry, whose start takes more than a second, would count as stalled and refuse all callers for two
     * more seconds.
     */
    public void markListening() {
        lastCheckNanos = timers.nanos();
    }

    /**
     * Returns whether requests that are read now may be stale. To be called regularly, and before accepting new work.
     */
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
     * Returns the time of the last check at which the process was responsive, in nanoseconds on the monotonic clock.
     * The input that it processes now may have arrived shortly after that check.
     */
    public long lastResponsiveNanos() {
        return lastResponsiveNanos;
    }

    /** Makes requests count as stale after a stall of the process was detected by other means. */
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
