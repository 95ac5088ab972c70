package org.chivetally.entry;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.log.PlatformLog;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;

/** An entry with short leases, and an actor system and a transport of its own, so that it can be stopped abruptly. */
final class RunningEntry {
    /** Age from which agents refuse tickets, for agents beside these entries. */
    static final Duration TICKET_AGE = Duration.ofMillis(300);

    private static final Duration LEASE = Duration.ofMillis(600);

    private final ActorTestKit kit = ActorTestKit.create();
    private final FrameTransport transport = new FrameTransport(new SimpleMeterRegistry());
    private final EntryServer server;

    RunningEntry(String name, PlatformLog log) {
        this.server = EntryFixture.join(EntryServer.start(
                kit.system(),
                EntryFixture.settings(name, claims(), dispatch()),
                log,
                transport,
                new SimpleMeterRegistry(),
                NanoClock.system()));
    }

    EntryServer server() {
        return server;
    }

    /** Ends it without a word to anyone; requests in progress get no answer. */
    void kill() {
        transport.close();
        kit.shutdownTestKit();
    }

    private static ClaimSettings claims() {
        ClaimSettings usual = ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));
        return new ClaimSettings(
                usual.window(),
                usual.logRetention(),
                LEASE,
                LEASE.dividedBy(3),
                TICKET_AGE,
                usual.claimTimeout(),
                usual.commit(),
                usual.tail(),
                usual.snapshots());
    }

    private static DispatchSettings dispatch() {
        DispatchSettings usual = DispatchSettings.defaults("north");
        DispatchSettings.Fencing fencing = new DispatchSettings.Fencing(
                TICKET_AGE,
                TICKET_AGE.multipliedBy(2).dividedBy(3),
                Duration.ofMillis(100),
                Duration.ofMillis(200),
                Duration.ofSeconds(1),
                usual.fencing().agentRetention(),
                usual.fencing().goneRetention());
        return new DispatchSettings(
                usual.failureDomain(),
                usual.decisionLines(),
                usual.policy(),
                fencing,
                usual.queues(),
                usual.retries(),
                usual.speculation(),
                usual.quarantine());
    }
}
