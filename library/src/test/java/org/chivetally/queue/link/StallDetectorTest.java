package org.chivetally.queue.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivetally.queue.ManualTimers;
import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private final ManualTimers timers = new ManualTimers();
    private final StallDetector detector = new StallDetector(timers);

    /**
     * All power is back, and a small entry needs 1.7 s until its event loop turns for the first time. Its callers were
     * refused for two more seconds, as if they might have been served elsewhere meanwhile; but none of them could have
     * reached it before.
     */
    @Test
    void acceptsRequestsAfterASlowStart() {
        timers.stall(Duration.ofMillis(1_700));
        detector.markListening();

        assertThat(detector.check(), is(false));
    }

    /**
     * The process listens and then stands still for longer than it may. A caller can have lost its connection meanwhile
     * and be about to come again elsewhere, so what is read then is doubtful, however young the process is.
     */
    @Test
    void detectsAStallShortlyAfterTheProcessStartedListening() {
        detector.markListening();
        timers.stall(Duration.ofMillis(800));

        assertThat(detector.check(), is(true));
    }

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
