package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import org.chivetally.job.JobOutcome.Certainty;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OutcomeCheckerTest {
    private static final Duration ATTEMPT_LEASE = Duration.ofNanos(8000);
    /** What starts at 300 or later is within the grace; beyond it lies what starts after 3 s and 300 ns. */
    private static final DrainingMinion DRAINING = new DrainingMinion("minion-1", 300, 4_000_000_000L);

    private static final GracefulStop STOP = new GracefulStop("entry-1", 100, 200);

    private OutcomeChecker checker;
    private CheckResult result;

    @BeforeEach
    void check() throws IOException {
        List<RequestRecord> requests = new ArrayList<>();
        for (String line : resource("callers.txt").split("\n")) {
            if (!line.startsWith("#")) {
                requests.add(parseRequest(line.split(" ")));
            }
        }
        List<StartRecord> starts = StartRecordReader.parseLines(resource("starts.jsonl")).stream()
                .flatMap(line -> StartRecordReader.parseStart("minion-1", line).stream())
                .toList();
        checker = new OutcomeChecker(new Tokens("r1"), requests, starts, 0);
        result = checker.check(List.of(STOP), List.of(DRAINING));
    }

    @Test
    void startsOfOtherRunsAreIgnored() {
        assertThat(checker.startCount(), is(18));
        assertThat(checker.startedTaskCount(), is(14));
    }

    /**
     * Task 2/0 must run once and ran again after it had failed. Task 6/0 may run again, but did so while its first
     * attempt ran. Task 1/0 ran again after a failure, and 7/0 after the lease of its first attempt: both may.
     */
    @Test
    void forbiddenSecondStartsAreDuplicates() {
        assertThat(result.duplicateStarts(), contains("r1/2/0", "r1/6/0"));
    }

    @Test
    void completeAnswerWithMissingTasksIsPartial() {
        assertThat(result.partialAnswers(), contains("r1/3"));
    }

    /**
     * Submission 4 was told not-run while its task runs; a repeat of 13 was sent and told not-run after its task had
     * started. Of 5 a repeat was told unknown, so its start may belong to that; of 11 nothing started.
     */
    @Test
    void refusalAfterStartIsFalse() {
        assertThat(result.falseRefusals(), contains("r1/4", "r1/13"));
    }

    /** Submission 12 was told not-run at one entry after another had already started its task. */
    @Test
    void refusalIsContradictedByStartForOtherRequest() {
        assertThat(result.contradictedRefusals(), contains("r1/12"));
    }

    /** The minion began to leave at 300 ns; what started before 3 s had passed since may go on. */
    @Test
    void startAtDrainedMinionIsReported() {
        assertThat(result.startsAfterLeaving(), contains("r1/14/0"));
    }

    /** Two callers of submission 15 were told a whole answer and a failure of the work: one of them is wrong. */
    @Test
    void answerAndFailureForOneKeyConflict() {
        assertThat(result.conflictingOutcomes(), contains("r1/15"));
    }

    @Test
    void connectionsClosedDuringGracefulStopAreCut() {
        assertThat(result.cutRequests(), contains("r1/8"));
    }

    @Test
    void answerWithoutRecordedStartIsReported() {
        assertThat(result.unrecordedAnswers(), contains("r1/10/0"));
    }

    private static RequestRecord parseRequest(String[] fields) {
        boolean idempotent = fields[2].equals("again");
        ScheduledJob job = new ScheduledJob(
                Integer.parseInt(fields[0]),
                0,
                new Workload.ServiceShare(fields[2], idempotent, ATTEMPT_LEASE, 1),
                "team",
                Collections.nCopies(Integer.parseInt(fields[1]), 100),
                List.of(),
                OptionalLong.empty());
        long sent = Long.parseLong(fields[5]);
        long ended = Long.parseLong(fields[6]);
        Reply reply = reply(Arrays.asList(fields).subList(7, fields.length));
        return new RequestRecord(job, Integer.parseInt(fields[3]), 0, fields[4], 0, sent, ended, reply);
    }

    private static Reply reply(List<String> fields) {
        return switch (fields.getFirst()) {
            case "complete" -> new Reply.Complete("job", fields.subList(1, fields.size()));
            case "closed" -> new Reply.Closed("closed");
            case "not-run" -> new Reply.Problem(503, "log-unavailable", Certainty.NOT_RUN, "", 0);
            case "failed" -> new Reply.Problem(502, "task-failed", Certainty.FAILED, "", 0);
            default -> new Reply.Problem(502, "outcome-unknown", Certainty.UNKNOWN, "", 0);
        };
    }

    private static String resource(String name) throws IOException {
        try (InputStream stream = OutcomeCheckerTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
