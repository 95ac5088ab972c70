package org.chivetally.command.losses;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that a lost or late job is counted once, under its actual cause and in the window of its acceptance. */
class LossTableTest {
    private final LossTable table = new LossTable(Duration.ofSeconds(2));

    private void addLine(double second, String rest) {
        table.add("12.5 entry-1 time=2026-01-01T00:00:%06.3fZ level=INFO event=%s".formatted(second, rest));
    }

    private void accepted(double second, String job) {
        addLine(second, "job-accepted job=" + job + " queue=q reason=unkept age_ms=0 left_ms=600");
    }

    private void ended(double second, String job, String phase, String reason, int ageMillis) {
        addLine(second, "job-ended job=%s phase=%s reason=%s age_ms=%d".formatted(job, phase, reason, ageMillis));
    }

    /** Returns the counts in the only row of the table, in the order of its columns. */
    private List<Integer> onlyRow() {
        List<String> lines = table.lines();
        assertThat(lines, hasSize(2));
        return Arrays.stream(lines.getLast().trim().split("\\s+"))
                .skip(1)
                .map(Integer::valueOf)
                .toList();
    }

    /** Returns the counts of a row with a single job, which had the given loss. */
    private List<Integer> singleCount(Loss loss) {
        Integer[] counts = new Integer[1 + Loss.values().length];
        Arrays.fill(counts, 0);
        counts[1 + loss.ordinal()] = 1;
        return List.of(counts);
    }

    @Test
    void countsAJobThatEndedWithinItsObjective() {
        accepted(1, "a");
        addLine(1.01, "run-placed task=a.0.0.0 run=1 waited_ms=3");
        ended(1.2, "a", "COMPLETED", "done", 200);
        assertThat(onlyRow(), is(singleCount(Loss.NONE)));
    }

    @Test
    void attributesALateJobToItsLongWait() {
        accepted(1, "a");
        addLine(1.1, "run-placed task=a.0.0.0 run=1 waited_ms=60");
        ended(1.21, "a", "COMPLETED", "done", 210);
        assertThat(onlyRow(), is(singleCount(Loss.WAITED)));
    }

    @Test
    void attributesALateJobToASlowTaskWithoutAnotherCause() {
        accepted(1, "a");
        addLine(1.1, "run-placed task=a.0.0.0 run=1 waited_ms=5");
        ended(1.21, "a", "COMPLETED", "done", 210);
        assertThat(onlyRow(), is(singleCount(Loss.SLOW_TASK)));
    }

    @Test
    void attributesALateJobToItsFailedTask() {
        accepted(1, "a");
        addLine(1.1, "run-ended task=a.0.0.0 run=1 outcome=FAILED");
        ended(1.4, "a", "COMPLETED", "done", 400);
        assertThat(onlyRow(), is(singleCount(Loss.FAILED_TASK)));
    }

    @Test
    void attributesALateJobToItsLostRun() {
        accepted(1, "a");
        addLine(1.1, "run-ended task=a.0.0.0 run=1 outcome=NEVER_STARTED");
        ended(1.4, "a", "COMPLETED", "done", 400);
        assertThat(onlyRow(), is(singleCount(Loss.LOST_RUN)));
    }

    @Test
    void countsARefusedJobApartFromAJobNotStarted() {
        addLine(0.5, "job-refused job=b queue=q reason=backlog");
        accepted(1, "a");
        ended(1.3, "a", "CANCELLED", "\"not started in time\"", 300);
        assertThat(onlyRow().get(1 + Loss.REFUSED.ordinal()), is(1));
    }

    /**
     * An entry loses power while a job is in progress, and the caller resubmits the job to another entry, which
     * completes it in time. The first acceptance must count as lost, the second as in time.
     */
    @Test
    void aResubmittedJobWithoutAnEndCountsAsLostWithItsEntry() {
        accepted(0.1, "a");
        addLine(1.1, "started role=entry");
        accepted(1.4, "a");
        ended(1.5, "a", "COMPLETED", "done", 100);
        assertThat(onlyRow(), contains(1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 1));
    }

    @Test
    void countsJobsInTheWindowOfTheirAcceptance() {
        accepted(1.9, "a");
        accepted(2.1, "b");
        ended(2.2, "a", "COMPLETED", "done", 100);
        ended(2.3, "b", "COMPLETED", "done", 100);
        assertThat(table.lines(), hasSize(3));
    }

    @Test
    void reportsTheNumberOfSkippedLines() {
        table.add("no line of ours");
        table.add("time=soon event=started");
        assertThat(table.lines().getLast(), containsString("2 lines passed over"));
    }
}
