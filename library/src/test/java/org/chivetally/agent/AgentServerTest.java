package org.chivetally.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.URI;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameTransport;
import org.chivetally.transport.RecordingListener;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class AgentServerTest {
    private static final String LOOPBACK = "127.0.0.1";

    private final ActorTestKit kit = ActorTestKit.create();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final FrameTransport transport = new FrameTransport(registry);
    private final LoopbackMinion minion = new LoopbackMinion(kit.system());
    private final RecordingListener coordinator = new RecordingListener();

    @AfterEach
    void close() {
        transport.close();
        kit.shutdownTestKit();
    }

    @Test
    void runsATaskOnTheMinion() throws InterruptedException {
        AgentServer agent = startAgent(minion.base());
        FrameConnection connection = connect(agent);
        long ticket = ticketOfHealthyAgent();
        connection.send(start("a1", ticket));
        LoopbackMinion.Arrival arrival = minion.nextArrival();
        assertThat(arrival.attempt(), is("a1"));
        assertThat(arrival.job(), is("j1"));
        assertThat(arrival.task(), is("3"));
        assertThat(arrival.body(), is("{\"plot\":\"Gärten\"}"));
        arrival.succeed("[\"größer\"]");
        Result result = coordinator.nextFrame().getResult();
        assertThat(result.getStatus(), is(TaskStatus.TASK_STATUS_DONE));
        assertThat(result.getBody(), is("[\"größer\"]"));
    }

    private long ticketOfHealthyAgent() throws InterruptedException {
        Hello hello = coordinator.nextFrame().getHello();
        assertThat(hello.getRole(), is("agent"));
        if (!hello.getReport().getMinionUnhealthy()) {
            return hello.getReport().getTicket();
        }
        return coordinator.nextFrame().getHeartbeat().getReport().getTicket();
    }

    private AgentServer startAgent(URI minionBase) {
        AgentSettings settings = new AgentSettings(
                "agent-1",
                "north",
                LOOPBACK,
                0,
                LOOPBACK,
                0,
                "routing",
                "minion-1",
                new MinionCapacity(2, 8, 0, 0, 0),
                minionBase,
                new MinionStateSource.Native(),
                AgentLimits.forSlots(2));
        return AgentServer.start(kit.system(), settings, transport, registry, NanoClock.system())
                .toCompletableFuture()
                .join();
    }

    private FrameConnection connect(AgentServer agent) throws InterruptedException {
        transport.dial(LOOPBACK, agent.address().getPort(), coordinator);
        FrameConnection connection = coordinator.nextConnection();
        Hello hello = Hello.newBuilder()
                .setProcessId("entry-1")
                .setIncarnation("1")
                .setRole("entry")
                .build();
        connection.send(Frame.newBuilder().setHello(hello).build());
        return connection;
    }

    private static Frame start(String attemptId, long ticket) {
        Start start = Start.newBuilder()
                .setAttemptId(attemptId)
                .setJobId("j1")
                .setTaskIndex(3)
                .setGeneration(1)
                .setTicket(ticket)
                .setService("routing")
                .setPayload("{\"plot\":\"Gärten\"}")
                .setLeaseMillis(20_000)
                .setQueueMillis(1_000)
                .build();
        return Frame.newBuilder().setRequestId(9).setStart(start).build();
    }
}
