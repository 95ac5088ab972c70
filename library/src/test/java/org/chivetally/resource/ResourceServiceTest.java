package org.chivetally.resource;

import static org.chivetally.resource.TableRecords.put;
import static org.chivetally.resource.TableRecords.team;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.chivetally.errors.ErrorCode;
import org.chivetally.log.NewRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ResourceServiceTest {
    private static final Duration STEP = Duration.ofMillis(500);
    private static final int MOST_STEPS = 200;
    private static final int ROUNDS_BEFORE_TIME_PASSES = 50;

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final ManualTime time = ManualTime.get(kit.system());
    private final AtomicLong nanos = new AtomicLong();
    private final ScriptedLog log =
            new ScriptedLog(kit.system().scheduler(), kit.system().executionContext());
    private final List<ResourceService> services = new ArrayList<>();

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    @Test
    void givesOneWinnerToRacingWriters() {
        ResourceService one = start("one");
        ResourceService two = start("two");
        CompletionStage<WriteOutcome> first = one.write("write-a", List.of(put("t", 0, 1)), "ann");
        CompletionStage<WriteOutcome> second = two.write("write-b", List.of(put("t", 0, 2)), "bob");
        List<WriteOutcome> outcomes = List.of(get(first), get(second));
        String winner = log.records(WriteRecord.STREAM).getFirst().id();
        String winnerName = winner.equals("write-a") ? "ann" : "bob";
        for (WriteOutcome outcome : outcomes) {
            assertThat(
                    outcome,
                    is(
                            outcome.id().equals(winner)
                                    ? new WriteOutcome.Applied(winner, 1)
                                    : new WriteOutcome.Conflicting(
                                            outcome.id(), List.of(new Conflict(team("t"), 0, 1, false, winnerName)))));
        }
        until(() -> two.version() == 2 && one.version() == 2);
        assertThat(one.get(team("t")), is(two.get(team("t"))));
    }

    @Test
    void findsAWriteWhoseAnswerWasLost() {
        // The log writes the record and its answer is lost. The service reads its own record back and tells the caller
        // what became of it; it must not send it again.
        log.script(ScriptedLog.Appends.LOSE_ANSWER);
        ResourceService service = start("one");
        assertThat(
                get(service.write("write-a", List.of(put("t", 0, 1)), "ann")),
                is(new WriteOutcome.Applied("write-a", 1)));
        assertThat(log.appendCalls(), is(1));
    }

    @Test
    void sendsALostWriteAgainAndTakesItOnceWhenBothArrive() {
        // The first copy hangs on the way without an answer. After reading the log forward the service sends the record
        // again, which is taken. Then the first copy arrives as well: it is dropped by its id, or a forced write
        // would take the state back to an older one.
        ResourceService service = start("one");
        log.script(ScriptedLog.Appends.HOLD);
        CompletionStage<WriteOutcome> written =
                service.write("write-a", List.of(put("t", 0, 1).forced()), "ann");
        until(() -> log.appendCalls() == 1);
        log.script(ScriptedLog.Appends.WORK);
        assertThat(get(written), is(new WriteOutcome.Applied("write-a", 1)));
        get(service.write("write-b", List.of(put("t", 1, 2)), "bob"));
        log.deliverHeld();
        until(() -> service.version() == 3);
        assertThat(service.get(team("t")).orElseThrow().version(), is(2L));
        assertThat(service.get(team("t")).orElseThrow().changedBy(), is("bob"));
    }

    @Test
    void saysThatAWriteMayStillTakeEffectAndTellsItsEndLater() {
        // The log takes the record but neither answers nor can be read, so nobody can know the write's fate. The caller
        // is told so after the longest wait. When the log is back, the write's id tells that it took effect.
        ResourceService service = start("one");
        log.script(ScriptedLog.Appends.LOSE_ANSWER);
        log.readable(false);
        assertThat(
                get(service.write("write-a", List.of(put("t", 0, 1)), "ann")), instanceOf(WriteOutcome.InDoubt.class));
        assertThat(get(service.writeStatus("write-a")), instanceOf(WriteStatus.NotSeen.class));
        log.readable(true);
        until(() -> service.version() == 1);
        assertThat(get(service.writeStatus("write-a")), is(new WriteStatus.Decided(new RecordOutcome(1, List.of()))));
    }

    @Test
    void saysThatNothingWasWrittenOnlyWhenEveryAppendWasRefused() {
        ResourceService service = start("one");
        log.script(ScriptedLog.Appends.REFUSE);
        WriteOutcome refused = get(service.write("write-a", List.of(put("t", 0, 1)), "ann"));
        assertThat(refused, is(new WriteOutcome.NotWritten("write-a", ErrorCode.LOG_UNAVAILABLE, "full")));
        int calls = log.appendCalls();
        assertThat(calls, greaterThan(1));
        log.script(ScriptedLog.Appends.LOSE_REQUEST);
        assertThat(
                get(service.write("write-b", List.of(put("t", 0, 1)), "ann")), instanceOf(WriteOutcome.InDoubt.class));
        // Sent again only now and then: each time after the log's end was read once more.
        assertThat(log.appendCalls() - calls, lessThan(12));
    }

    @Test
    void answersARepeatedWriteLikeTheFirst() {
        ResourceService service = start("one");
        WriteOutcome first = get(service.write("write-a", List.of(put("t", 0, 1)), "ann"));
        assertThat(get(service.write("write-a", List.of(put("t", 0, 1)), "ann")), is(first));
        assertThat(log.records(WriteRecord.STREAM), hasSize(1));
    }

    @Test
    void startsFromASnapshotAfterTheRecordsExpired() {
        // Two writes, then a snapshot is due; all records before it expire. A process that starts now has the newest
        // state,
        // and the older snapshot and the half one that stand in the log as well do not take it back.
        ResourceService service = start("one");
        get(service.write("write-a", List.of(put("t", 0, 1)), "ann"));
        byte[] old = service.snapshot(0).orElseThrow();
        get(service.write("write-b", List.of(put("t", 1, 2)), "ann"));
        pass(Duration.ofMinutes(5));
        until(() -> !log.records(ResourceActor.SNAPSHOTS).isEmpty());
        log.write(ResourceActor.SNAPSHOTS, new NewRecord("old", old));
        log.write(ResourceActor.SNAPSHOTS, new NewRecord("half", Arrays.copyOf(old, old.length / 2)));
        log.expire(WriteRecord.STREAM, 2);
        ResourceService late = start("late");
        until(() -> late.version() == 2);
        assertThat(late.table().state().resources(), is(service.table().state().resources()));
        get(late.write("write-c", List.of(put("t", 2, 3)), "bob"));
        until(() -> service.version() == 3);
        assertThat(service.service("x").idempotent(), is(false));
        assertThat(service.team("t").weight(), is(3));
    }

    @Test
    void agreesOnOneStateWhenRecordsExpiredThatNoSnapshotCovers() {
        // One process read a write, then the log was out of reach for it until the next records had expired, and no
        // snapshot was ever written. It waits, then writes its own state as a snapshot that goes on at the earliest
        // record.
        // A process that starts with nothing must end in the same state, though it sees the same hole.
        ResourceService old = start("one");
        get(old.write("write-a", List.of(put("kept", 0, 1)), "ann"));
        log.readable(false);
        log.write(WriteRecord.STREAM, new NewRecord("lost", new byte[0]));
        log.write(WriteRecord.STREAM, new NewRecord("lost too", new byte[0]));
        log.expire(WriteRecord.STREAM, 3);
        log.readable(true);
        ResourceService blank = start("blank");
        get(old.write("write-b", List.of(put("t", 0, 1)), "ann"));
        until(() -> old.version() == 4 && blank.version() == 4);
        assertThat(blank.table().state(), is(old.table().state()));
        assertThat(blank.get(team("kept")).isPresent(), is(true));
    }

    @Test
    void servesFromAPeersStateWhenItStartsInAnOutage() {
        // The log is down when a process starts. A peer's snapshot is taken, an older one after it is not; when the log
        // is
        // back it reads on from there.
        ResourceService peer = start("peer");
        get(peer.write("write-a", List.of(put("t", 0, 1)), "ann"));
        byte[] older = peer.snapshot(0).orElseThrow();
        get(peer.write("write-b", List.of(put("t", 1, 2)), "ann"));
        log.readable(false);
        ResourceService late = start("late");
        assertThat(late.isUsable(), is(false));
        assertThat(get(late.offerSnapshot(2, peer.snapshot(0).orElseThrow())), is(true));
        assertThat(get(late.offerSnapshot(1, older)), is(false));
        assertThat(get(late.offerSnapshot(9, new byte[] {1, 2, 3})), is(false));
        assertThat(late.team("t").weight(), is(2));
        assertThat(late.isUsable(), is(true));
        log.readable(true);
        get(late.write("write-c", List.of(put("t", 2, 3)), "bob"));
        until(() -> peer.team("t").weight() == 3);
    }

    @Test
    void givesAgentsWhatTheyUseAndNeverOlderOverNewer() {
        ResourceService service = start("one");
        Change.Content content = Change.Content.of(Map.of(), "{\"attempts\":5}");
        ResourceKey key = new ResourceKey(ResourceKind.SERVICE, "reports");
        get(service.put(key, 0, content, "ann"));
        get(service.write(List.of(put("t", 0, 1)), "ann"));
        ConfigurationSnapshot older = service.agentSnapshot("reports", "minion-1");
        get(service.put(key, 1, Change.Content.of(Map.of(), "{\"attempts\":6}"), "ann"));
        ConfigurationSnapshot newer = service.agentSnapshot("reports", "minion-1");
        ReceivedConfiguration agent = new ReceivedConfiguration(nanos::get);
        assertThat(agent.offerSnapshot(newer.version(), newer.content()), is(true));
        assertThat(agent.offerSnapshot(older.version(), older.content()), is(false));
        assertThat(agent.service("reports").maximumAttempts(), is(6));
        assertThat(agent.version(), is(3L));
        assertThat(agent.team("t").weight(), is(1));
        // An entry that took the excerpt of an agent for the whole would serve without the teams.
        log.readable(false);
        ResourceService late = start("late");
        assertThat(get(late.offerSnapshot(newer.version(), newer.content())), is(false));
        assertThat(get(late.offerSnapshot(3, service.snapshot(0).orElseThrow())), is(true));
    }

    @Test
    void tellsEveryChangeOnceInOrder() {
        ResourceService service = start("one");
        get(service.write("write-a", List.of(put("x", 0, 1)), "ann"));
        SinkQueueWithCancel<WatchEvent> events = watch(service, OptionalLong.of(0));
        get(service.write("write-b", List.of(put("x", 1, 2), put("y", 0, 1)), "ann"));
        List<String> told = new ArrayList<>();
        while (told.size() < 3) {
            if (get(events.pull()).orElseThrow() instanceof WatchEvent.Changed changed) {
                told.add(changed.type() + " " + changed.resource().key().name() + " "
                        + changed.resource().version());
            }
        }
        assertThat(told, contains("ADDED x 1", "CHANGED x 2", "ADDED y 2"));
        CompletionStage<Optional<WatchEvent>> bookmark = events.pull();
        assertThat(get(bookmark), is(Optional.of(new WatchEvent.Bookmark(2))));
    }

    @Test
    void endsASlowWatchAndNoOther() {
        // One client stops reading its watch. Its queue fills up; it is ended with an error as the last event, which
        // tells
        // it where to go on, while writes and another watch go on as before.
        ResourceService service = start("one");
        SinkQueueWithCancel<WatchEvent> slow = watch(service, OptionalLong.of(0));
        SinkQueueWithCancel<WatchEvent> quick = watch(service, OptionalLong.of(0));
        get(slow.pull());
        int writes = 2 * (ResourceTable.REMEMBERED_CHANGES + 300);
        for (int batch = 0; batch * 50 < writes; batch++) {
            List<Change> changes = new ArrayList<>();
            for (int change = 0; change < 50; change++) {
                changes.add(put("t" + change, 0, batch).forced());
            }
            get(service.write(changes, "ann"));
            int told = 0;
            while (told < 50) {
                told += get(quick.pull()).orElseThrow() instanceof WatchEvent.Changed ? 1 : 0;
            }
        }
        WatchEvent last = null;
        for (Optional<WatchEvent> next = get(slow.pull()); next.isPresent(); next = get(slow.pull())) {
            last = next.get();
        }
        assertThat(last, instanceOf(WatchEvent.Ended.class));
        assertThat(((WatchEvent.Ended) last).detail(), startsWith("the watch is too slow"));
        WatchAnswer again = service.watch(Optional.empty(), OptionalLong.of(0));
        assertThat(((WatchAnswer.Refused) again).code(), is(ErrorCode.VERSION_TOO_OLD));
    }

    private ResourceService start(String name) {
        ResourceService service = ResourceService.start(kit.system(), log, ResourceSettings.defaults(name), nanos::get);
        services.add(service);
        return service;
    }

    private SinkQueueWithCancel<WatchEvent> watch(ResourceService service, OptionalLong from) {
        WatchAnswer.Started started = (WatchAnswer.Started) service.watch(Optional.empty(), from);
        return started.events().toMat(Sink.queue(), Keep.right()).run(kit.system());
    }

    private <T> T get(CompletionStage<T> stage) {
        until(() -> stage.toCompletableFuture().isDone());
        return stage.toCompletableFuture().join();
    }

    /** Lets time pass in steps, each after all services have taken what was sent to them, until something is so. */
    private void until(BooleanSupplier reached) {
        for (int step = 0; step < MOST_STEPS && !reached.getAsBoolean(); step++) {
            for (int round = 0; round < ROUNDS_BEFORE_TIME_PASSES && !reached.getAsBoolean(); round++) {
                settle();
            }
            if (!reached.getAsBoolean()) {
                pass(STEP);
            }
        }
        assertThat("reached within " + STEP.multipliedBy(MOST_STEPS), reached.getAsBoolean(), is(true));
    }

    private void pass(Duration duration) {
        nanos.addAndGet(duration.toNanos());
        time.timePasses(duration);
    }

    private void settle() {
        for (ResourceService service : services) {
            service.writeStatus("barrier").toCompletableFuture().join();
        }
    }
}
