package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Checks the estimate of the stream time. */
class StreamTimeTest {
    private static final int PROCESSES = 3;
    private static final long MAXIMUM_DELAY_MILLIS = 2_000;

    /** A lower stream time that is read later must not set the estimate back. */
    @Test
    void estimateGrowsWithTheClockFromTheHighestKnownTime() {
        StreamTime time = new StreamTime(nanos(0));
        time.advanceTo(500, nanos(100));
        time.advanceTo(400, nanos(100));
        assertThat(time.estimate(nanos(150)), is(550L));
    }

    /**
     * A key never becomes free before the end of its window, even if processes lag: between two records the stream time
     * grows by no more than the real time plus the delay of an append and the pause between two records. Each process
     * writes at random times and reads what is there; its records are written after a random delay.
     */
    @Property
    void streamTimeNeverRunsAhead(@ForAll @Size(max = 60) List<@IntRange(max = 100_000) Integer> choices) {
        List<StreamTime> processes = new ArrayList<>();
        for (int process = 0; process < PROCESSES; process++) {
            processes.add(new StreamTime(nanos(0)));
        }
        List<long[]> stream = new ArrayList<>();
        long now = 0;
        long streamMillis = 0;
        for (int choice : choices) {
            StreamTime writer = processes.get(choice % PROCESSES);
            long composed = writer.estimate(nanos(now));
            now += choice % MAXIMUM_DELAY_MILLIS;
            streamMillis = Math.max(streamMillis, composed);
            stream.add(new long[] {now, streamMillis});
            processes.get(choice / PROCESSES % PROCESSES).advanceTo(streamMillis, nanos(now));
        }
        for (long[] earlier : stream) {
            for (long[] later : stream.subList(stream.indexOf(earlier), stream.size())) {
                long elapsed = later[0] - earlier[0];
                assertThat(elapsed + MAXIMUM_DELAY_MILLIS, greaterThanOrEqualTo(later[1] - earlier[1]));
            }
        }
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
