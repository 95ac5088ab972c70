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

/** Replays of a temporary shortage of capacity with fair shares and without, in virtual time. */
class ContentionReplayTest {
    /** Differences up to this size come from the order in which callers happen to arrive. */
    private static final double TOLERANCE = 0.01;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int WHOLE_FLEET = 21;
    private static final int SHORT_OF_WORKERS = 18;
    private static final List<String> QUEUES = List.of("short", "usual", "long");

    /**
     * A seventh of the workers is away beside the bursts, so that a part of the jobs can't be served. Without shares
     * the queue of the widest jobs is served worst, as other queues' late jobs and its own take the room of those
     * begun.
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

    /** With all workers there is room for nearly all: shares must then cost nothing that shows. */
    @Test
    void fairSharesServeNoFewerJobsWithAllWorkers() {
        List<ContentionReplay> plain = replay(SchedulingSettings.NONE, WHOLE_FLEET, 1);
        List<ContentionReplay> fair = replay(Cluster.FAIR_SHARES, WHOLE_FLEET, 1);
        assertThat(served(fair, QUEUES), greaterThan(served(plain, QUEUES) - TOLERANCE));
        assertThat(
                part(fair, QUEUES, Result.IN_TIME), greaterThan(part(plain, QUEUES, Result.IN_TIME) - 2 * TOLERANCE));
        assertThat(servedOfWorst(fair), greaterThan(0.95));
    }

    /** One queue with jobs of two and of eight tasks: those that have begun go first, so wide ones must not starve. */
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
        double all = 0;
        for (ContentionReplay replay : replays) {
            for (String queue : queues) {
                counted += replay.count(queue, result);
                all += replay.all(queue);
            }
        }
        return counted / all;
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
