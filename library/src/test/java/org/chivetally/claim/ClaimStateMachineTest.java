package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;
import org.junit.jupiter.api.Test;

/** Checks orders of events that are rare in a running installation. */
class ClaimStateMachineTest {
    private static final Duration LAPSE = Duration.ofSeconds(1);
    private static final ClaimSettings SETTINGS = settingsWithLongClaimTimeout();

    private final ManualClock clock = new ManualClock();
    private final List<LogRecord> stream = new ArrayList<>();
    private final ClaimStateMachine stateMachine = new ClaimStateMachine(
            SETTINGS,
            ClaimSamples.process("b"),
            new LeaseTable(SETTINGS.lease(), SETTINGS.longestTicketAge()),
            new OwnLease(SETTINGS.lease()),
            clock);

    /*
     * A takeover waits for the log for so long that the lease is renewed and lapses again, and is then requested a
     * second time. The two requests specify different renewals; if both were written, the second one would be reported
     * as won although the first one had won.
     */
    @Test
    void takeoversToOneGenerationShareARecord() {
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        write(1, ClaimSamples.claimed(ClaimSamples.KEY, ClaimSamples.BODY, "job-1", "a"));
        takeOver(claim);
        write(2, new ClaimRecord.Renewed(ClaimSamples.process("a"), SETTINGS.lease()));
        takeOver(claim);
        List<GroupCommit.Outgoing> sent =
                stateMachine.nextAppend(clock.nanos()).orElseThrow().records();
        List<ClaimRecord> takeovers = sent.stream()
                .map(GroupCommit.Outgoing::content)
                .filter(ClaimRecord.TakenOver.class::isInstance)
                .toList();
        assertThat(takeovers, hasSize(1));
    }

    private void takeOver(Claim claim) {
        stateMachine.recordsRead(List.of(), stream.size(), clock.nanos(), clock.nanos());
        stateMachine.takeOver(claim, new CompletableFuture<>(), clock.nanos());
    }

    private void write(long sequence, ClaimRecord content) {
        NewRecord record = ClaimSamples.newRecord("a", sequence, content, 0);
        stream.add(new LogRecord(stream.size(), record.id(), record.payload()));
        stateMachine.recordsRead(List.of(stream.getLast()), stream.size(), clock.nanos(), clock.nanos());
        clock.advance(LAPSE);
    }

    private static ClaimSettings settingsWithLongClaimTimeout() {
        ClaimSettings defaults = ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));
        return new ClaimSettings(
                defaults.window(),
                defaults.logRetention(),
                Duration.ofMillis(600),
                Duration.ofMillis(200),
                Duration.ofMillis(300),
                LAPSE.multipliedBy(5),
                defaults.commit(),
                defaults.tail(),
                defaults.snapshots());
    }
}
