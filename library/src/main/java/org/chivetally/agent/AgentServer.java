package org.chivetally.agent;

import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.transport.FrameTransport;
import org.chivetally.wire.v1.Frame;

/** A running agent: accepts connections of coordinators and runs their tasks on its minion. */
public final class AgentServer {
    private final AgentSettings settings;
    private final String incarnation;
    private final InetSocketAddress address;
    private final ActorRef<AgentActor.Command> actor;
    private final CompletableFuture<Void> stopped;

    private AgentServer(
            AgentSettings settings,
            String incarnation,
            InetSocketAddress address,
            ActorRef<AgentActor.Command> actor,
            CompletableFuture<Void> stopped) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.address = address;
        this.actor = actor;
        this.stopped = stopped;
    }

    /**
     * Starts an agent; completes once it listens, or exceptionally when it can't.
     *
     * <p>The caller owns the transport, and closes it after {@link #drain} has completed.
     *
     * @param transport listens for the connections of entries
     * @param registry receives the agent's metrics
     * @param clock monotonic clock for tickets, leases and time-outs
     */
    public static CompletionStage<AgentServer> start(
            ActorSystem<?> system,
            AgentSettings settings,
            FrameTransport transport,
            MeterRegistry registry,
            NanoClock clock) {
        return start(system, settings, transport, registry, clock, AgentCallbacks.none());
    }

    /**
     * Starts an agent that reads its configuration and announces itself through other parts of its process.
     *
     * @param callbacks called by the agent for each pushed configuration and each needed announcement
     */
    public static CompletionStage<AgentServer> start(
            ActorSystem<?> system,
            AgentSettings settings,
            FrameTransport transport,
            MeterRegistry registry,
            NanoClock clock,
            AgentCallbacks callbacks) {
        String incarnation = UUID.randomUUID().toString();
        MinionClient minion = new MinionClient(
                system, settings.minionBase(), settings.limits().answerBytes(), clock);
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        AgentActor.Dependencies dependencies = new AgentActor.Dependencies(
                settings, incarnation, minion, new AgentMeters(registry), clock, callbacks, stopped);
        ActorRef<AgentActor.Command> actor =
                system.systemActorOf(AgentActor.create(dependencies), "agent-" + incarnation, Props.empty());
        return transport
                .listen(settings.host(), settings.port(), new ToActor(actor, stopped))
                .thenApply(address -> {
                    actor.tell(new AgentActor.Bound(address));
                    return new AgentServer(settings, incarnation, address, actor, stopped);
                });
    }

    /**
     * Stops gracefully: notifies all peers, refuses waiting and new tasks, and completes running ones.
     *
     * @param reason reason that is sent to the peers and logged
     * @return completes once no task runs and the time for inquiries about lost results is over
     */
    public CompletionStage<Void> drain(String reason) {
        actor.tell(new AgentActor.Drain(reason));
        return whenStopped();
    }

    /** Completes when the agent has drained, or exceptionally when its actor failed. */
    public CompletionStage<Void> whenStopped() {
        return stopped.minimalCompletionStage();
    }

    /** Returns the address that the agent listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the unique id of this incarnation of the process. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the agent as a member, for its announcements. */
    public Member member() {
        return Member.of(settings, incarnation, address.getPort());
    }

    /** Forwards connection events to the actor; after the agent has stopped, it closes new connections. */
    private record ToActor(ActorRef<AgentActor.Command> actor, CompletableFuture<Void> stopped)
            implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            if (stopped.isDone()) {
                connection.close();
                return;
            }
            actor.tell(new AgentActor.Connected(connection));
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            actor.tell(new AgentActor.Received(connection, frame));
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            actor.tell(new AgentActor.Disconnected(connection));
        }
    }
}
