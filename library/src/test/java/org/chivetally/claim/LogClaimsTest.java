package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks claims, leases, takeovers and recovery of several processes on one log with faults. */
class LogClaimsTest {
    private static final SubmissionKey KEY = ClaimSamples.KEY;
    private static final String BODY = ClaimSamples.BODY;
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration DETECTION_TIME = STEP;
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(2);
    private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(20);
    private static final ClaimSettings SETTINGS = settings();
    private static final Duration LAPSE = SETTINGS.lease().plus(SETTINGS.longestTicketAge());

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final ManualTime time = ManualTime.get(kit.system());
    private final ManualClock clock = new ManualClock();
    private final ScriptedLog log = ScriptedLog.create();
    private final List<LogClaims> started = new ArrayList<>();

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    /** A repeated submission must attach to the first job, and one with a different body must be refused. */
    @Test
    void claimOfFreeKeyIsWonAndLaterOnesAttach() {
        LogClaims claims = start("a", log);
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        assertThat(claim(claims, "job-1"), is(new ClaimDecision.Won(claim)));
        assertThat(claim(claims, "job-2"), is(new ClaimDecision.Attached(claim)));
        ClaimDecision reused = join(claims.claim(KEY, ClaimSamples.OTHER_BODY, new JobId("job-3")));
        assertThat(reused, is(new ClaimDecision.KeyReused(claim)));
    }

    /*
     * Two callers submit one key at two entries at once: one wins, the other attaches. Both entries append before
     * either reads the other's record; the order in the log decides, in the same way for both.
     */
    @Test
    void twoEntriesRaceOnOneKey() {
        ScriptedLog viewOfB = log.view();
        LogClaims a = start("a", log);
        LogClaims b = start("b", viewOfB);
        log.setHoldAppends(true);
        viewOfB.setHoldAppends(true);
        CompletionStage<ClaimDecision> first = a.claim(KEY, BODY, new JobId("job-a"));
        CompletionStage<ClaimDecision> second = b.claim(KEY, BODY, new JobId("job-b"));
        processMessages();
        viewOfB.deliver(viewOfB.heldAppends().getFirst());
        log.deliver(log.heldAppends().getFirst());
        Claim winner = ClaimSamples.claim("job-b", "b", 1);
        assertThat(join(second), is(new ClaimDecision.Won(winner)));
        assertThat(join(first), is(new ClaimDecision.Attached(winner)));
    }

    /*
     * The log's answer to an append is lost after the write. The entry reads its own record back and accepts the job as
     * usual, without a second append.
     */
    @Test
    void claimIsWonWhenAppendAnswerIsLost() {
        LogClaims claims = start("a", log);
        int before = log.appends();
        log.loseAnswers(1);
        assertThat(claim(claims, "job-1"), is(new ClaimDecision.Won(ClaimSamples.claim("job-1", "a", 1))));
        advance(Duration.ofSeconds(1));
        assertThat(log.appends(), is(before + 1));
    }

    /*
     * A claim is written three times but accepted once. The append is neither answered nor written; it is sent again
     * with the same record ids and written; then the first one is written late, twice. All readers drop records whose
     * ids they have already applied.
     */
    @Test
    void retriedAppendIsWrittenLateAndTwice() {
        LogClaims a = start("a", log);
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> decision = a.claim(KEY, BODY, new JobId("job-1"));
        processMessages();
        ScriptedLog.HeldAppend original = log.heldAppends().getFirst();
        original.answer().complete(new AppendOutcome.Unknown("lost"));
        log.setHoldAppends(false);
        advance(SETTINGS.commit().settleTime().plus(STEP));
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        assertThat(join(decision), is(new ClaimDecision.Won(claim)));
        log.deliver(original);
        log.deliver(original);
        assertThat(recordsOf(original.records().getFirst().id()), hasSize(3));
        LogClaims b = start("b", log.view());
        assertThat(join(b.find(KEY)), is(Optional.of(claim)));
        assertThat(claim(b, "job-2"), is(new ClaimDecision.Attached(claim)));
    }

    /*
     * While the log is unavailable, callers are answered "not run" immediately instead of after a timeout; when it is
     * available again, claims are accepted. No time passes between the claim and its refusal, as the failed read is
     * already known.
     */
    @Test
    void claimsAreRefusedAtOnceWhileTheLogIsDown() {
        LogClaims claims = start("a", log);
        log.setDown(true);
        processMessages();
        assertThat(claim(claims, "job-1"), instanceOf(ClaimDecision.LogUnavailable.class));
        assertThat(join(claims.find(KEY)), is(Optional.empty()));
        log.setDown(false);
        advance(DETECTION_TIME);
        assertThat(claim(claims, "job-2"), is(new ClaimDecision.Won(ClaimSamples.claim("job-2", "a", 1))));
    }

    /*
     * An entry that was paused past the end of its lease must start nothing, even before any of its timers has run. The
     * clock jumps while the process is paused: the lease has ended immediately, the listener is called at the first
     * tick, and a renewal regains the lease.
     */
    @Test
    void pausedProcessLosesExpiredLease() {
        List<Boolean> changes = Collections.synchronizedList(new ArrayList<>());
        LogClaims claims = start("a", log);
        claims.onLeaseChange(changes::add);
        assertThat(claims.holdsLease(), is(true));
        clock.advance(SETTINGS.lease());
        assertThat(claims.holdsLease(), is(false));
        advance(DETECTION_TIME.multipliedBy(2));
        assertThat(changes, contains(true, false, true));
        assertThat(claims.holdsLease(), is(true));
    }

    /*
     * A job's coordinator dies and the caller resubmits at two other entries: exactly one continues the job. Before the
     * lease has lapsed, both attach to the dead coordinator. Afterwards both append a takeover to generation 2; the
     * first in the log wins, and the other attaches to it.
     */
    @Test
    void twoEntriesRaceToTakeOver() {
        LogClaims stopped = start("a", log.view());
        LogClaims b = start("b", log);
        LogClaims c = start("c", log.view());
        claim(stopped, "job-1");
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        stopped.stop();
        advance(Duration.ofSeconds(1));
        assertThat(join(b.takeOver(claim)), is(new ClaimDecision.Attached(claim)));
        advance(LAPSE.plus(SETTINGS.renewalInterval()));
        assertThat(b.hasLapsed(claim.coordinator()), is(true));
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> takeover = b.takeOver(claim);
        CompletionStage<ClaimDecision> duplicate = b.takeOver(claim);
        processMessages();
        Claim winner = ClaimSamples.claim("job-1", "c", 2);
        assertThat(join(c.takeOver(claim)), is(new ClaimDecision.Won(winner)));
        log.deliver(log.heldAppends().getFirst());
        assertThat(join(takeover), is(new ClaimDecision.Attached(winner)));
        assertThat(join(duplicate), is(new ClaimDecision.Attached(winner)));
    }

    /*
     * An entry was disconnected, lost its lease, and its job was taken over: after reconnecting it is notified of the
     * successor, so that it drops the job, which agents would refuse to start for its outdated generation. The
     * notification precedes that of the regained lease, so that it starts nothing of the job in between.
     */
    @Test
    void replacedCoordinatorIsNotified() {
        List<Object> notifications = Collections.synchronizedList(new ArrayList<>());
        ScriptedLog viewOfA = log.view();
        LogClaims a = start("a", viewOfA);
        LogClaims b = start("b", log);
        claim(a, "job-1");
        viewOfA.setDown(true);
        advance(LAPSE.plus(SETTINGS.renewalInterval()));
        join(b.takeOver(ClaimSamples.claim("job-1", "a", 1)));
        assertThat(a.holdsLease(), is(false));
        a.onReplaced(notifications::add);
        a.onLeaseExtended(until -> notifications.add(until > clock.nanos()));
        processMessages();
        assertThat(notifications, contains(false));
        viewOfA.setDown(false);
        advance(DETECTION_TIME);
        assertThat(notifications, contains(false, ClaimSamples.claim("job-1", "b", 2), true));
    }

    /*
     * A takeover relies on a job's age when agents answer that they don't know the job, so the age must not be
     * underestimated. A job that another entry claimed while this one was disconnected may be as old as the last read
     * before the disconnection. For a job claimed before an entry started, the age is unknown.
     */
    @Test
    void claimAgeIsNeverUnderestimated() {
        ScriptedLog viewOfB = log.view();
        LogClaims a = start("a", log);
        LogClaims b = start("b", viewOfB);
        viewOfB.setDown(true);
        advance(STEP);
        long disconnectedNanos = clock.nanos();
        claim(a, "job-1");
        advance(LAPSE);
        viewOfB.setDown(false);
        advance(DETECTION_TIME);
        assertThat(join(b.find(KEY)).isPresent(), is(true));
        JobId job = new JobId("job-1");
        assertThat(join(b.claimedAfter(job)).orElseThrow(), lessThanOrEqualTo(disconnectedNanos));
        assertThat(join(a.claimedAfter(job)).orElseThrow(), greaterThan(disconnectedNanos - LAPSE.toNanos()));
        assertThat(join(start("c", log.view()).claimedAfter(job)), is(OptionalLong.empty()));
    }

    /*
     * An entry was disconnected for longer than its lease, then renews the lease and continues its job. Meanwhile
     * another entry counted the lease as lapsed and sent a takeover, which is written only after the renewal. If it
     * won, a process that holds its lease, and answers "not run" for what it did not start, would have lost the job.
     * All readers refuse it, as it specifies an earlier renewal as the last one read.
     */
    @Test
    void takeoverWrittenAfterUnreadRenewalLoses() {
        List<Claim> replaced = Collections.synchronizedList(new ArrayList<>());
        ScriptedLog viewOfA = log.view();
        LogClaims a = start("a", viewOfA);
        LogClaims b = start("b", log);
        a.onReplaced(replaced::add);
        claim(a, "job-1");
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        viewOfA.setDown(true);
        advance(LAPSE.plus(SETTINGS.renewalInterval()));
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> takeOver = b.takeOver(claim);
        processMessages();
        viewOfA.setDown(false);
        advance(DETECTION_TIME);
        assertThat(a.holdsLease(), is(true));
        log.deliver(log.heldAppends().getLast());
        assertThat(join(takeOver), is(new ClaimDecision.Attached(claim)));
        assertThat(join(a.find(KEY)), is(Optional.of(claim)));
        assertThat(replaced, is(empty()));
    }

    /*
     * The caller is answered "not run", the claim is then written and wins, and a resubmission is accepted. The entry
     * abandoned the claim at its timeout and will never act on it, so it releases it as soon as it reads it. Otherwise
     * the key would belong, for the whole window, to a live process that doesn't know the job. The resubmission does
     * not attach to the abandoned claim but follows its release.
     */
    @Test
    void abandonedClaimIsReleasedWhenItAppears() {
        LogClaims a = start("a", log);
        LogClaims b = start("b", log.view());
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> decision = a.claim(KEY, BODY, new JobId("job-1"));
        advance(SETTINGS.claimTimeout().plus(STEP));
        assertThat(join(decision), instanceOf(ClaimDecision.LogUnavailable.class));
        log.setHoldAppends(false);
        log.deliver(log.heldAppends().getFirst());
        processMessages();
        assertThat(join(b.find(KEY)), is(Optional.of(ClaimSamples.claim("job-1", "a", 1))));
        CompletionStage<ClaimDecision> second = a.claim(KEY, BODY, new JobId("job-2"));
        advance(RECOVERY_TIME);
        Claim claim = ClaimSamples.claim("job-2", "a", 1);
        assertThat(join(second), is(new ClaimDecision.Won(claim)));
        assertThat(claim(b, "job-3"), is(new ClaimDecision.Attached(claim)));
    }

    /*
     * The caller resubmits at the same entry before the release of its abandoned claim is in the log. The new claim
     * must not attach to the abandoned one, which no process works on; it follows the release and wins.
     */
    @Test
    void resubmissionWaitsForTheRelease() {
        LogClaims a = start("a", log);
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> abandoned = a.claim(KEY, BODY, new JobId("job-1"));
        advance(SETTINGS.claimTimeout().minus(STEP));
        CompletionStage<ClaimDecision> second = a.claim(KEY, BODY, new JobId("job-2"));
        advance(STEP);
        assertThat(join(abandoned), instanceOf(ClaimDecision.LogUnavailable.class));
        log.heldAppends().forEach(held -> held.answer().complete(new AppendOutcome.Unknown("lost")));
        log.setHoldAppends(false);
        log.deliver(log.heldAppends().getFirst());
        advance(SETTINGS.commit().settleTime().plus(STEP));
        assertThat(join(second), is(new ClaimDecision.Won(ClaimSamples.claim("job-2", "a", 1))));
    }

    /*
     * The caller is answered "not run", and the append of the claim is written much later. By then a later record of
     * the same process precedes it, and a record that follows a later one of its writer is ignored by all readers.
     */
    @Test
    void abandonedClaimWrittenAfterLaterRecordsIsIgnored() {
        LogClaims a = start("a", log);
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> decision = a.claim(KEY, BODY, new JobId("job-1"));
        advance(SETTINGS.claimTimeout().plus(STEP));
        assertThat(join(decision), instanceOf(ClaimDecision.LogUnavailable.class));
        log.setHoldAppends(false);
        advance(RECOVERY_TIME);
        log.deliver(log.heldAppends().getFirst());
        processMessages();
        assertThat(join(a.find(KEY)), is(Optional.empty()));
        assertThat(join(start("b", log.view()).find(KEY)), is(Optional.empty()));
    }

    /*
     * An abandoned takeover is written and wins. Its release must not free the key, as the first coordinator may have
     * started tasks. The claim stays without a coordinator, so that the next resubmission can take it over immediately
     * and inquire at the agents first.
     */
    @Test
    void abandonedTakeoverLeavesClaimWithoutCoordinator() {
        LogClaims stopped = start("a", log.view());
        LogClaims b = start("b", log);
        LogClaims c = start("c", log.view());
        claim(stopped, "job-1");
        stopped.stop();
        advance(LAPSE.plus(SETTINGS.renewalInterval()));
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> takeOver = b.takeOver(ClaimSamples.claim("job-1", "a", 1));
        advance(SETTINGS.claimTimeout().plus(STEP));
        assertThat(join(takeOver), instanceOf(ClaimDecision.LogUnavailable.class));
        log.setHoldAppends(false);
        log.deliver(log.heldAppends().getFirst());
        advance(RECOVERY_TIME);
        Claim abandoned = join(c.find(KEY)).orElseThrow();
        assertThat(abandoned, is(new Claim(KEY, BODY, new JobId("job-1"), Coordinator.NONE, 2, false)));
        assertThat(c.hasLapsed(abandoned.coordinator()), is(true));
        assertThat(join(c.takeOver(abandoned)), is(new ClaimDecision.Won(ClaimSamples.claim("job-1", "c", 3))));
    }

    /*
     * A takeover is abandoned and requested again, and then both records are written. The first one wins and is
     * released by its sender as soon as it reads it; if the second one were reported as won, the sender would continue
     * a job that it leaves without a coordinator, beside the next process that takes it over.
     */
    @Test
    void repeatedTakeoverDoesNotWinAbandonedClaim() {
        LogClaims stopped = start("a", log.view());
        LogClaims b = start("b", log);
        claim(stopped, "job-1");
        stopped.stop();
        advance(LAPSE.plus(SETTINGS.renewalInterval()));
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        log.setHoldAppends(true);
        CompletionStage<ClaimDecision> first = b.takeOver(claim);
        advance(SETTINGS.claimTimeout().plus(STEP));
        assertThat(join(first), instanceOf(ClaimDecision.LogUnavailable.class));
        CompletionStage<ClaimDecision> second = b.takeOver(claim);
        processMessages();
        log.heldAppends().getLast().answer().complete(new AppendOutcome.Unknown("lost"));
        advance(SETTINGS.commit().settleTime().plus(STEP));
        log.setHoldAppends(false);
        log.heldAppends().forEach(log::deliver);
        advance(RECOVERY_TIME);
        assertThat(join(second), not(instanceOf(ClaimDecision.Won.class)));
    }

    /*
     * After a departure other entries may take jobs over without waiting for the lease, as soon as no start of the
     * departed process can be accepted any more.
     */
    @Test
    void departedCoordinatorLapsesAfterTheTicketAge() {
        LogClaims a = start("a", log.view());
        LogClaims b = start("b", log);
        join(a.depart());
        assertThat(a.holdsLease(), is(false));
        assertThat(claim(a, "job-1"), instanceOf(ClaimDecision.LogUnavailable.class));
        advance(SETTINGS.longestTicketAge());
        assertThat(b.hasLapsed(ClaimSamples.process("a")), is(false));
        advance(STEP);
        assertThat(b.hasLapsed(ClaimSamples.process("a")), is(true));
    }

    /*
     * With claims in memory, submissions are accepted while the log is unavailable; afterwards the claim is in the log,
     * so that other entries attach to it.
     */
    @Test
    void claimInMemoryIsAppendedAfterOutage() {
        ScriptedLog viewOfA = log.view();
        LogClaims a = start("a", viewOfA);
        LogClaims b = start("b", log);
        viewOfA.setDown(true);
        processMessages();
        Claim claim = ClaimSamples.claim("job-1", "a", 1);
        assertThat(claimInMemory(a, "job-1"), is(new ClaimDecision.Won(claim)));
        assertThat(claimInMemory(a, "job-2"), is(new ClaimDecision.Attached(claim)));
        viewOfA.setDown(false);
        advance(SETTINGS.renewalInterval().plus(DETECTION_TIME));
        assertThat(claim(b, "job-3"), is(new ClaimDecision.Attached(claim)));
    }

    /*
     * Two entries claim one key, one of them in memory during its outage: both jobs continue, as the service allows,
     * and from then on all resubmissions attach to the claim that is first in the log.
     */
    @Test
    void claimInMemoryLosesToAnEarlierOneInTheLog() {
        ScriptedLog viewOfA = log.view();
        LogClaims a = start("a", viewOfA);
        LogClaims b = start("b", log);
        viewOfA.setDown(true);
        processMessages();
        assertThat(claimInMemory(a, "job-a"), is(new ClaimDecision.Won(ClaimSamples.claim("job-a", "a", 1))));
        Claim first = ClaimSamples.claim("job-b", "b", 1);
        assertThat(claim(b, "job-b"), is(new ClaimDecision.Won(first)));
        viewOfA.setDown(false);
        advance(SETTINGS.renewalInterval().plus(DETECTION_TIME));
        assertThat(claimInMemory(a, "job-c"), is(new ClaimDecision.Attached(first)));
    }

    /*
     * A job is refused as not run for lack of capacity, and the caller submits it again at any entry when there is
     * capacity. The refusing entry releases its claim in the log, so the key becomes free for all entries, but not
     * before.
     */
    @Test
    void releasedClaimFreesItsKeyForAllEntries() {
        LogClaims a = start("a", log);
        LogClaims b = start("b", log.view());
        claim(a, "job-1");
        Claim released = ClaimSamples.claim("job-1", "a", 1);
        assertThat(claim(b, "job-2"), is(new ClaimDecision.Attached(released)));
        a.release(released);
        advance(DETECTION_TIME);
        assertThat(claim(b, "job-3"), is(new ClaimDecision.Won(ClaimSamples.claim("job-3", "b", 1))));
    }

    /*
     * The same while the log is unavailable, for a service whose claims are decided in memory: the key is free
     * immediately at this entry, and the record of the first claim, which is written later, must not take the key
     * again.
     */
    @Test
    void releasedClaimInMemoryFreesItsKeyDuringAndAfterOutage() {
        ScriptedLog viewOfA = log.view();
        LogClaims a = start("a", viewOfA);
        LogClaims b = start("b", log);
        viewOfA.setDown(true);
        processMessages();
        claimInMemory(a, "job-1");
        a.release(ClaimSamples.claim("job-1", "a", 1));
        assertThat(join(a.find(KEY)), is(Optional.empty()));
        viewOfA.setDown(false);
        advance(SETTINGS.renewalInterval().plus(DETECTION_TIME).plus(DETECTION_TIME));
        assertThat(claim(b, "job-2"), is(new ClaimDecision.Won(ClaimSamples.claim("job-2", "b", 1))));
    }

    /*
     * The records of claims have expired in the log, yet a new entry attaches resubmissions to them. It reads a
     * snapshot that was written before, and then the stream from the snapshot's offset.
     */
    @Test
    void freshProcessReadsSnapshotWhenRecordsExpired() {
        LogClaims a = start("a", log);
        claim(a, "job-1");
        CompletionStage<LogRecord> written = log.nextRecord(LogClaims.SNAPSHOT_STREAM);
        advance(SNAPSHOT_INTERVAL);
        join(written);
        log.expire(LogClaims.STREAM, log.records(LogClaims.STREAM).size());
        LogClaims b = start("b", log.view());
        assertThat(join(b.find(KEY)), is(Optional.of(ClaimSamples.claim("job-1", "a", 1))));
    }

    /*
     * An entry was disconnected for so long that the records it has to read next have expired: it continues from a
     * snapshot that includes claims made meanwhile.
     */
    @Test
    void processResumesFromSnapshotAfterLongDisconnection() {
        ScriptedLog viewOfA = log.view();
        LogClaims a = start("a", viewOfA);
        LogClaims b = start("b", log);
        claim(a, "job-1");
        viewOfA.setDown(true);
        Claim missed = new Claim(ClaimSamples.OTHER_KEY, BODY, new JobId("job-2"), ClaimSamples.process("b"), 1, false);
        join(b.claim(missed.key(), BODY, missed.job()));
        CompletionStage<LogRecord> written = log.nextRecord(LogClaims.SNAPSHOT_STREAM);
        advance(SNAPSHOT_INTERVAL);
        join(written);
        log.expire(LogClaims.STREAM, log.records(LogClaims.STREAM).size());
        viewOfA.setDown(false);
        CompletionStage<LogRecord> renewed = log.nextRecord(LogClaims.STREAM);
        advance(DETECTION_TIME);
        join(renewed);
        awaitCondition(() -> join(a.find(missed.key())).isPresent());
        assertThat(join(a.find(missed.key())), is(Optional.of(missed)));
        assertThat(join(a.find(KEY)), is(Optional.of(ClaimSamples.claim("job-1", "a", 1))));
    }

    private LogClaims start(String process, ScriptedLog view) {
        Coordinator self = ClaimSamples.process(process);
        LogClaims claims = LogClaims.start(kit.system(), view, SETTINGS, self, clock, new SimpleMeterRegistry());
        started.add(claims);
        awaitCondition(claims::caughtUp);
        advance(STEP);
        return claims;
    }

    private static ClaimSettings settings() {
        ClaimSettings defaults = ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));
        return new ClaimSettings(
                defaults.window(),
                defaults.logRetention(),
                defaults.lease(),
                defaults.renewalInterval(),
                defaults.longestTicketAge(),
                defaults.claimTimeout(),
                defaults.commit(),
                defaults.tail(),
                SnapshotSettings.every(SNAPSHOT_INTERVAL));
    }

    private ClaimDecision claim(LogClaims claims, String job) {
        return join(claims.claim(KEY, BODY, new JobId(job)));
    }

    private ClaimDecision claimInMemory(LogClaims claims, String job) {
        return join(claims.claim(KEY, BODY, new JobId(job), ClaimMode.MEMORY));
    }

    private List<LogRecord> recordsOf(String id) {
        return log.records(LogClaims.STREAM).stream()
                .filter(logRecord -> logRecord.id().equals(id))
                .toList();
    }

    /**
     * Advances time in steps. Before each step the log answers the reads that it holds back; after it all processes
     * handle their messages.
     */
    private void advance(Duration duration) {
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) < 0; passed = passed.plus(STEP)) {
            log.answerPolls();
            processMessages();
            clock.advance(STEP);
            time.timePasses(STEP);
            processMessages();
        }
    }

    /** Waits until every process has handled its messages and those that resulted from them. */
    private void processMessages() {
        for (int round = 0; round < 5; round++) {
            started.forEach(claims -> join(claims.find(KEY)));
        }
    }

    /**
     * Waits for a condition that depends on another thread: snapshots are read on one, and no message marks the end of
     * its work.
     */
    private void awaitCondition(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertThat("condition not met within 10 s", System.nanoTime() - start < TimeUnit.SECONDS.toNanos(10));
            processMessages();
        }
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(10, TimeUnit.SECONDS).join();
    }
}
