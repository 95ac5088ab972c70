package org.chivetally.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentServer;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Entries, one agent and one minion, with only the log in memory. */
class WholePathTest {
    private static final int SLOTS = 8;
    private static final ClaimSettings SHORT_LEASE = shortLease();

    private final EntryFixture fixture = new EntryFixture();
    private final EchoMinion minion = new EchoMinion(fixture.kit.system());

    @BeforeEach
    void startAgent() {
        AgentSettings settings = new AgentSettings(
                "agent-1",
                "north",
                EntryFixture.LOOPBACK,
                0,
                EntryFixture.LOOPBACK,
                0,
                "routing",
                "minion-1",
                new MinionCapacity(SLOTS, 64, 0, 0, 0),
                minion.base(),
                new MinionStateSource.Native(),
                AgentLimits.forSlots(SLOTS));
        AgentServer agent = EntryFixture.join(AgentServer.start(
                fixture.kit.system(), settings, fixture.transport, fixture.meters, NanoClock.system()));
        new MemberAnnouncer(fixture.kit.system(), fixture.log, agent.member(), MemberAnnouncer.DEFAULT_INTERVAL);
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void aJobOf250TasksGetsItsWholeAnswerAndItsKeyNoSecondStart() {
        EntryServer entry = fixture.start("entry-1");
        fixture.awaitReady(entry);
        HttpResponse<String> first = fixture.submit(entry, "same-key", job(250));
        assertThat(first.body(), containsString(answers(250)));
        assertThat(fixture.submit(entry, "same-key", job(250)).body(), is(first.body()));
        assertEachStartedOnce(250);
    }

    // A handset submits a job at one entry, takes it for lost and submits it again at another while the first runs it.
    // The second entry finds the claim of the first, asks it for the outcome, and both callers get the same whole
    // answer.
    @Test
    void aKeySubmittedAtTwoEntriesRunsOnceAndBothCallersGetItsAnswer() {
        EntryServer first = fixture.start("entry-1");
        EntryServer second = fixture.start("entry-2");
        fixture.awaitReady(first);
        fixture.awaitReady(second);
        CompletableFuture<Void> hold = minion.hold();
        CompletableFuture<HttpResponse<String>> caller = fixture.submitting(first, "k", job(4));
        awaitStarts(4);
        CompletableFuture<HttpResponse<String>> again = fixture.submitting(second, "k", job(4));
        hold.complete(null);
        assertThat(caller.join().body(), containsString(answers(4)));
        assertThat(again.join().body(), is(caller.join().body()));
        assertEachStartedOnce(4);
        String name = EntryFixture.json(caller.join()).path("job").asString("");
        assertThat(
                fixture.get(second, "/v1/jobs/" + name + "/answer?wait=60").body(),
                is(caller.join().body()));
    }

    // The entry that coordinates a job dies while its tasks run, and the caller submits the job again at another
    // entry. That one waits until the dead entry's lease has lapsed, takes the claim over and asks the agent: the
    // tasks that ran meanwhile are used, none is started again, and the caller gets the whole answer.
    @Test
    void aJobOfADeadEntryIsTakenOverWithoutASecondStart() {
        ActorTestKit doomed = ActorTestKit.create("doomed");
        FrameTransport doomedTransport = new FrameTransport(new SimpleMeterRegistry());
        EntryServer first = fixture.start("entry-1", SHORT_LEASE, doomed.system(), doomedTransport);
        EntryServer second = fixture.start("entry-2", SHORT_LEASE, fixture.kit.system(), fixture.transport);
        fixture.awaitReady(first);
        fixture.awaitReady(second);
        CompletableFuture<Void> hold = minion.hold();
        CompletableFuture<HttpResponse<String>> lost = fixture.submitting(first, "k", job(4));
        awaitStarts(4);
        doomedTransport.close();
        doomed.shutdownTestKit();
        hold.complete(null);
        assertThat(fixture.submit(second, "k", job(4)).body(), containsString(answers(4)));
        assertEachStartedOnce(4);
        lost.cancel(true);
    }

    private void awaitStarts(int count) {
        while (minion.starts().size() < count) {
            Thread.onSpinWait();
        }
    }

    private void assertEachStartedOnce(int tasks) {
        assertThat(minion.starts(), aMapWithSize(tasks));
        assertThat(minion.starts().values(), everyItem(is(1)));
    }

    static String job(int tasks) {
        return IntStream.range(0, tasks)
                .mapToObj(task -> "{\"payload\":{\"n\":" + task + "}}")
                .collect(Collectors.joining(",", "{\"service\":\"routing\",\"team\":\"rangers\",\"tasks\":[", "]}"));
    }

    static String answers(int tasks) {
        return IntStream.range(0, tasks)
                .mapToObj(task -> "{\"n\":" + task + "}")
                .collect(Collectors.joining(",", "\"answers\":[", "]"));
    }

    private static ClaimSettings shortLease() {
        ClaimSettings usual = ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));
        return new ClaimSettings(
                usual.window(),
                usual.logRetention(),
                Duration.ofMillis(1_500),
                Duration.ofMillis(300),
                Duration.ofMillis(500),
                usual.claimTimeout(),
                usual.commit(),
                usual.tail(),
                usual.snapshots());
    }
}
