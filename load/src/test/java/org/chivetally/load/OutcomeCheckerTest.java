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

/**
 * Guards against violated guarantees that go unnoticed and against false reports. Each violation is constructed in the
 * resources {@code callers.txt} (requests) and {@code starts.jsonl} (start records).
 */
class OutcomeCheckerTest {
    private static final Duration ATTEMPT_LEASE = Duration.ofNanos(8000);
    /** The drain begins at 300 ns, so starts up to 3 s and 300 ns are within the propagation limit. */
    private static final DrainingMinion DRAINING = new DrainingMinion("minion-1", 300, 4_000_000_000L);

    private static final GracefulStop STOP = new GracefulStop("entry-1", 100, 200);

    private OutcomeChecker checker;
    private CheckResult result;

    @BeforeEach
    void check() throws IOException {
        List<RequestRecord> requests = new ArrayList<>();
        for (String line : resource("callers.txt").split("\n")) {
            if (!line.startsWith("#")) {
                requests.add(parse(line.split(" ")));
            }
        }
        List<StartRecord> starts = StartRecordReader.parseLines(resource("starts.jsonl")).stream()
                .flatMap(line -> StartRecordReader.parseStart("minion-1", line).stream())
                .toList();
        checker = new OutcomeChecker(new Tokens("r1"), requests, starts, 0);
        result = checker.check(List.of(STOP), List.of(DRAINING));
    }

    /** One start record belongs to run r0, and one has no token because another client submitted its task. */
    @Test
    void startsOfOtherRunsAreIgnored() {
        assertThat(checker.startCount(), is(18));
        assertThat(checker.startedTaskCount(), is(14));
    }

    /**
     * Task r1/2/0 is not idempotent but was restarted after a failure, which is forbidden. Task r1/6/0 is idempotent
     * but was restarted while its first attempt was running. The restarts of r1/1/0 after a failure and of r1/7/0 after
     * the end of its lease are allowed.
     */
    @Test
    void forbiddenSecondStartsAreDuplicates() {
        assertThat(result.duplicateStarts(), contains("r1/2/0", "r1/6/0"));
    }

    /** Submission 3 has two tasks, but its complete answer contains only the first one. */
    @Test
    void completeAnswerWithMissingTasksIsPartial() {
        assertThat(result.partialAnswers(), contains("r1/3"));
    }

    /**
     * Submission 4 was refused as not run while its task was running. A repeat of 13 was sent and refused after its
     * task had started. A repeat of 5 ended with an unknown outcome, so the start may belong to that request. No task
     * of 11 started.
     */
    @Test
    void refusalAfterStartIsFalse() {
        assertThat(result.falseRefusals(), contains("r1/4", "r1/13"));
    }

    /** Submission 12 was refused by one entry after another entry had already started its task. */
    @Test
    void refusalIsContradictedByStartForOtherRequest() {
        assertThat(result.contradictedRefusals(), contains("r1/12"));
    }

    /** The drain began at 300 ns; starts within the 3 s after it are allowed. */
    @Test
    void startAtDrainedMinionIsReported() {
        assertThat(result.startsAfterLeaving(), contains("r1/14/0"));
    }

    /**
     * Submission 15 returned a complete answer to one request and a failure to another. Outcomes are final, so one of
     * them is wrong.
     */
    @Test
    void answerAndFailureForOneKeyConflict() {
        assertThat(result.conflictingOutcomes(), contains("r1/15"));
    }

    /** The connection of submission 8 closed during the stop of its entry, and that of submission 9 after it. */
    @Test
    void connectionsClosedDuringGracefulStopAreCut() {
        assertThat(result.cutRequests(), contains("r1/8"));
    }

    /** Submission 10 returned an answer for a task that no minion recorded. */
    @Test
    void answerWithoutRecordedStartIsReported() {
        assertThat(result.unrecordedAnswers(), contains("r1/10/0"));
    }

    private static RequestRecord parse(String[] fields) {
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
        Reply reply = parse(Arrays.asList(fields).subList(7, fields.length));
        return new RequestRecord(job, Integer.parseInt(fields[3]), 0, fields[4], 0, sent, ended, reply);
    }

    private static Reply parse(List<String> fields) {
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
