package org.chivetally.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs an announcer against a log whose answers the test controls, on a manual clock. */
@Timeout(60)
class MemberAnnouncerTest {
    private static final Duration INTERVAL = Duration.ofSeconds(30);
    private static final AppendOutcome WRITTEN = new AppendOutcome.Appended(1);
    private static final AppendOutcome LOST = new AppendOutcome.Unknown("no answer");
    private static final Member MEMBER = Member.of(AgentFixture.settings(AgentFixture.LIMITS), "incarnation-1", 4_000);

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final ManualTime time = ManualTime.get(kit.system());
    private final ManualLog log = new ManualLog();
    private final MemberAnnouncer announcer = new MemberAnnouncer(kit.system(), log, MEMBER, INTERVAL);

    @AfterEach
    void shutDown() {
        kit.shutdownTestKit();
    }

    /** Guards against a member that disappears when the log's retention removes its only announcement. */
    @Test
    void announcesOnStartAndEveryInterval() throws InterruptedException {
        PendingAppend first = log.next();
        assertThat(first.content(), is(Optional.of(new MemberRecord.Announced(MEMBER))));
        first.answer(WRITTEN);
        PendingAppend second = advanceUntilNext(INTERVAL);
        assertThat(second.content(), is(first.content()));
        assertThat(second.record().id(), is(not(first.record().id())));
    }

    /**
     * Guards against duplicate announcements when the answer to an append is lost although the record was written. The
     * announcer retries after half a second, then one second, with the same record id, by which readers drop
     * duplicates.
     */
    @Test
    void repeatsALostAppendUnderTheSameId() throws InterruptedException {
        PendingAppend first = log.next();
        first.answer(LOST);
        PendingAppend second = advanceUntilNext(Duration.ofMillis(500));
        second.answer(new AppendOutcome.Refused("log is down"));
        PendingAppend third = advanceUntilNext(Duration.ofSeconds(1));
        assertThat(
                List.of(second.record().id(), third.record().id()),
                is(List.of(first.record().id(), first.record().id())));
    }

    /**
     * Guards against a leave that precedes an announcement still in flight, after which the member would seem alive.
     */
    @Test
    void appendsTheLeaveAfterTheAnnounceInFlight() throws InterruptedException {
        PendingAppend announce = log.next();
        CompletionStage<Void> left = announcer.leave();
        assertThat(log.pending, empty());
        announce.answer(WRITTEN);
        PendingAppend leave = log.next();
        assertThat(leave.content(), is(Optional.of(new MemberRecord.Left("agent-1", "incarnation-1"))));
        leave.answer(WRITTEN);
        left.toCompletableFuture().join();
    }

    /**
     * Guards against a running agent that stays declared gone. It receives that declaration while a regular
     * announcement is in flight, which may be ordered before the declaration in the log; so it must announce itself
     * again.
     */
    @Test
    void announcesAgainWhenRequestedDuringAnAppend() throws InterruptedException {
        PendingAppend first = log.next();
        announcer.announceNow();
        first.answer(WRITTEN);
        PendingAppend second = log.next();
        assertThat(second.record().id(), is(not(first.record().id())));
        second.answer(WRITTEN);
        announcer.announceNow();
        assertThat(log.next().content(), is(first.content()));
    }

    /** Guards against a process that can't stop while the log is unavailable. */
    @Test
    void leaveTimesOutWhileTheLogIsDown() throws InterruptedException {
        log.next();
        CompletableFuture<Void> left = announcer.leave().toCompletableFuture();
        while (!left.isDone()) {
            time.timePasses(Duration.ofSeconds(1));
            Thread.onSpinWait();
        }
        left.join();
    }

    /**
     * Guards against fields lost in JSON, and against records of newer releases or malformed ones that fail a reader.
     */
    @Test
    void readsMembersBackFromJson() {
        Member entry = Member.entry("entry-1", "2", "10.0.0.1", 7_000, "south");
        MemberRecord announced = new MemberRecord.Announced(entry);
        assertThat(MemberRecord.fromJson(announced.toJson()), is(Optional.of(announced)));
        byte[] unknown = "{\"type\":\"later\"}".getBytes(StandardCharsets.UTF_8);
        assertThat(MemberRecord.fromJson(unknown), is(Optional.empty()));
        assertThat(MemberRecord.fromJson(new byte[] {1, 2}), is(Optional.empty()));
    }

    /**
     * Advances the clock until the next append. The announcer receives answers on another thread, so its timer may be
     * set only after the first advance.
     */
    private PendingAppend advanceUntilNext(Duration step) throws InterruptedException {
        PendingAppend next = null;
        while (next == null) {
            time.timePasses(step);
            next = log.pending.poll(50, TimeUnit.MILLISECONDS);
        }
        return next;
    }

    /** A log whose answers are given by the test. */
    private static final class ManualLog implements PlatformLog {
        private final BlockingQueue<PendingAppend> pending = new LinkedBlockingQueue<>();

        @Override
        public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
            PendingAppend pendingAppend = new PendingAppend(stream, records.getFirst(), new CompletableFuture<>());
            pending.add(pendingAppend);
            return pendingAppend.outcome();
        }

        @Override
        public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
            throw new UnsupportedOperationException("announcers don't read");
        }

        PendingAppend next() throws InterruptedException {
            return pending.take();
        }
    }

    private record PendingAppend(String stream, NewRecord record, CompletableFuture<AppendOutcome> outcome) {
        Optional<MemberRecord> content() {
            return MemberRecord.fromJson(record.payload());
        }

        void answer(AppendOutcome given) {
            outcome.complete(given);
        }
    }
}
