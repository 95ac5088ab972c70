package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.entry.ContentionReplay.Result;
import org.chivetally.settings.SchedulingSettings;
import org.junit.jupiter.api.Test;

/** Compares scheduling with and without fair shares in replays of a temporary shortage of capacity. */
class ContentionReplayTest {
    /** Differences up to this size result from the random order of arrivals. */
    private static final double TOLERANCE = 0.01;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int WHOLE_FLEET = 21;
    private static final int SHORT_OF_WORKERS = 18;
    private static final List<String> QUEUES = List.of("short", "usual", "long");

    /**
     * A seventh of the workers is missing during the whole replay, so that not all jobs can be served. Without shares
     * the queue whose jobs have the most tasks is served worst, as late jobs, its own and those of other queues, take
     * the room that its started jobs need.
     */
    @Test
    void fairSharesServeTheWorstServedQueueBetterInAShortage() {
        List<ContentionReplay> plain = replay(SchedulingSettings.NONE, SHORT_OF_WORKERS, 2);
        List<ContentionReplay> fair = replay(Cluster.FAIR_SHARES, SHORT_OF_WORKERS, 2);
        assertThat(servedOfWorst(fair), greaterThan(servedOfWorst(plain)));
        assertThat(part(fair, QUEUES, Result.FAILED), lessThan(part(plain, QUEUES, Result.FAILED)));
        assertThat(served(fair, QUEUES), greaterThanOrEqualTo(served(plain, QUEUES)));
        assertThat(served(fair, QUEUES), greaterThan(0.85));
    }

    /**
     * With all workers there is room for nearly all jobs; fair shares must then not reduce the number of served jobs.
     */
    @Test
    void fairSharesServeNoFewerJobsWithAllWorkers() {
        List<ContentionReplay> plain = replay(SchedulingSettings.NONE, WHOLE_FLEET, 1);
        List<ContentionReplay> fair = replay(Cluster.FAIR_SHARES, WHOLE_FLEET, 1);
        assertThat(served(fair, QUEUES), greaterThan(served(plain, QUEUES) - TOLERANCE));
        assertThat(
                part(fair, QUEUES, Result.IN_TIME), greaterThan(part(plain, QUEUES, Result.IN_TIME) - 2 * TOLERANCE));
        assertThat(servedOfWorst(fair), greaterThan(0.95));
    }

    /**
     * One queue has jobs of two and of eight tasks. As started jobs take precedence, jobs of many tasks could starve.
     */
    @Test
    void wideJobsAreServedAboutAsOftenAsNarrowOnes() {
        ContentionReplay fair =
                new ContentionReplay(Cluster.FAIR_SHARES, ContentionReplay.TWO_WIDTHS, WHOLE_FLEET, 1).run();
        assertThat(fair.served("wide"), greaterThan(fair.served("narrow") - 0.05));
    }

    private static List<ContentionReplay> replay(SchedulingSettings scheduling, int workers, int seeds) {
        List<ContentionReplay> replays = new ArrayList<>();
        for (long seed = 1; seed <= seeds; seed++) {
            ContentionReplay replay =
                    new ContentionReplay(scheduling, ContentionReplay.THREE_QUEUES, workers, seed).run();
            EventLine.of("replayed")
                    .with("workers", workers)
                    .with("seed", seed)
                    .with("fair", scheduling.fairShares())
                    .with("results", replay)
                    .log(LOGGER.atInfo());
            replays.add(replay);
        }
        return replays;
    }

    private static double part(List<ContentionReplay> replays, List<String> queues, Result result) {
        double counted = 0;
        double total = 0;
        for (ContentionReplay replay : replays) {
            for (String queue : queues) {
                counted += replay.count(queue, result);
                total += replay.all(queue);
            }
        }
        return counted / total;
    }

    private static double served(List<ContentionReplay> replays, List<String> queues) {
        return part(replays, queues, Result.IN_TIME) + part(replays, queues, Result.LATE);
    }

    private static double servedOfWorst(List<ContentionReplay> replays) {
        double worst = 1;
        for (String queue : QUEUES) {
            worst = Math.min(worst, served(replays, List.of(queue)));
        }
        return worst;
    }
}
