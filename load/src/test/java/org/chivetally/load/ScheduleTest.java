package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against schedules that are not reproducible, or that offer another load than the plan declares. */
class ScheduleTest {
    private static final Duration DURATION = Duration.ofSeconds(1000);

    /** Runs can be compared and repeated only if the seed determines the whole schedule. */
    @Test
    void scheduleIsDeterminedBySeed() {
        assertThat(schedule(7), equalTo(schedule(7)));
        assertThat(schedule(7), not(equalTo(schedule(8))));
    }

    /** The plan offers half of all slots, and three times as much in its phase from 500 s to 750 s. */
    @Test
    void offeredLoadMatchesPlanInsideAndOutsidePhases() {
        Schedule schedule = schedule(7);
        assertThat(load(schedule, 0, 500), closeTo(0.5, 0.025));
        assertThat(load(schedule, 500, 750), closeTo(1.5, 0.075));
        assertThat(load(schedule, 750, 1000), closeTo(0.5, 0.05));
    }

    /** The plan repeats 20% of the jobs and cancels 10%. */
    @Test
    void sharesOfRepeatsAndCancellationsMatchPlan() {
        Schedule schedule = schedule(7);
        double jobs = schedule.jobs().size();
        long repeated = schedule.jobs().stream()
                .filter(job -> !job.resubmitNanos().isEmpty())
                .count();
        long cancelled = schedule.jobs().stream()
                .filter(job -> job.cancelNanos().isPresent())
                .count();
        assertThat(repeated / jobs, closeTo(0.2, 0.01));
        assertThat(cancelled / jobs, closeTo(0.1, 0.01));
    }

    /** Four tasks of 100 ms run in parallel on 8 slots, and in two rounds on 2 slots. */
    @Test
    void idealTimeIsLongestTaskOrWorkDividedBySlots() {
        ScheduledJob job = schedule(7).jobs().getFirst();
        ScheduledJob wide = new ScheduledJob(
                0, 0, job.service(), "team", List.of(100, 100, 100, 100), job.resubmitNanos(), job.cancelNanos());
        assertThat(wide.idealNanos(8), is(Duration.ofMillis(100).toNanos()));
        assertThat(wide.idealNanos(2), is(Duration.ofMillis(200).toNanos()));
    }

    private static Schedule schedule(long seed) {
        return Schedule.of(LoadPlans.small(seed, DURATION, List.of(URI.create("http://localhost:1")), List.of()));
    }

    private static double load(Schedule schedule, long fromSecond, long untilSecond) {
        double work = 0;
        for (ScheduledJob job : schedule.jobs()) {
            double second = job.dueNanos() / 1e9;
            if (second >= fromSecond && second < untilSecond) {
                work += job.workNanos() / 1e9;
            }
        }
        return work / (8 * (untilSecond - fromSecond));
    }
}
