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
 * from new ones, so for a moment all that comes is doubtful; what waited has been read by then.
 */
public final class StallDetector {
    /**
     * Least time between two looks that counts. Looks come every 250 ms; a caller whose connection broke comes again
     * after 1.3 s, and a start is refused by its agent 0.6 s after the entry last heard it.
     */
    static final Duration STALL = Duration.ofMillis(700);

    /** How long requests are doubtful afterwards: the sockets are read many times over in it. */
    static final Duration DOUBT = Duration.ofMillis(250);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private long lookedAtNanos;
    private long doubtfulUntilNanos;

    /** Creates a detector that compares from now on. */
    public StallDetector(Timers timers) {
        this.timers = timers;
        this.lookedAtNanos = timers.nanos();
        this.doubtfulUntilNanos = timers.nanos();
    }

    /** Tells whether what is read now may be old; to be called regularly, and before anything new is taken on. */
    public boolean look() {
        long now = timers.nanos();
        long gap = now - lookedAtNanos;
        lookedAtNanos = now;
        if (gap > STALL.toNanos()) {
            LOGGER.atWarning().log("%s", EventLine.of("stood-still").with("gap_ms", gap / 1_000_000));
            doubt();
        }
        return now - doubtfulUntilNanos < 0;
    }

    /** Makes what is read doubtful, as somebody else has noticed that the process stood still. */
    public void doubt() {
        doubtfulUntilNanos = timers.nanos() + DOUBT.toNanos();
    }
}
