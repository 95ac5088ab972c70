package org.chivetally.queue.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivetally.queue.ManualTimers;
import org.junit.jupiter.api.Test;

/** Tests which stalls make a {@link StallDetector} treat requests as stale. */
class StallDetectorTest {
    private final ManualTimers timers = new ManualTimers();
    private final StallDetector detector = new StallDetector(timers);

    /**
     * After a power failure, a small entry takes 1.7 s to start its event loop. It must not count as stalled and refuse
     * its callers for two more seconds: no request can have reached it before.
     */
    @Test
    void acceptsRequestsAfterASlowStart() {
        timers.stall(Duration.ofMillis(1_700));
        detector.markListening();

        assertThat(detector.check(), is(false));
    }

    /**
     * The process is stalled shortly after it started to listen. A caller can have lost its connection and be about to
     * retry elsewhere, so requests that are read afterwards count as stale even in a new process.
     */
    @Test
    void detectsAStallShortlyAfterTheProcessStartedListening() {
        detector.markListening();
        timers.stall(Duration.ofMillis(800));

        assertThat(detector.check(), is(true));
    }

    /** Regular checks without a stall must not count as one, and a stall after them must be detected. */
    @Test
    void detectsAStallAfterLongOperation() {
        detector.markListening();
        for (int number = 0; number < 20; number++) {
            timers.advance(Duration.ofMillis(250));
            assertThat(detector.check(), is(false));
        }
        timers.stall(Duration.ofMillis(800));

        assertThat(detector.check(), is(true));
    }
}
