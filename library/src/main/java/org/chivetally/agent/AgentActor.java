package org.chivetally.agent;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.ConfigurationPush;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.SuspicionAnswer;

/**
 * Actor that runs an {@link AgentState}: turns frames, answers of the minion and timers into its events, and executes
 * the effects that it returns.
 */
final class AgentActor extends AbstractBehavior<AgentActor.Command> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration BUSY_TICK = Duration.ofMillis(20);
    private static final Duration IDLE_TICK = Duration.ofMillis(250);
    /** Time without any connected entry after which the process is announced again; doubled each time. */
    private static final Duration FIRST_REANNOUNCE_DELAY = Duration.ofSeconds(2);
    /** The delay is not doubled any further once it has reached this value. */
    private static final Duration REANNOUNCE_DELAY_LIMIT = Duration.ofSeconds(30);

    private static final int STASH_CAPACITY = 1_000;

    private final AgentSettings settings;
    private final NanoClock clock;
    private final AgentMeters meters;
    private final MinionClient minion;
    private final CompletableFuture<Void> stopped;
    private final String incarnation;
    private final AgentCallbacks callbacks;
    private final TimerScheduler<Command> timers;
    private final AgentState state;
    private final Map<FrameConnection, Peer> peers = new IdentityHashMap<>();
    private final Map<PeerId, FrameConnection> connections = new HashMap<>();
    private final Map<String, MinionExchange> exchanges = new HashMap<>();
    private MinionExchange stateExchange;
    private long lastPeerNumber;
    private long disconnectedSinceNanos;
    private Duration reannounceDelay = FIRST_REANNOUNCE_DELAY;
    private boolean tickIsBusy;
    private boolean readyToStop;

    private AgentActor(
            ActorContext<Command> context,
            TimerScheduler<Command> timers,
            Dependencies dependencies,
            InetSocketAddress bound) {
        super(context);
        this.settings = dependencies.settings();
        this.clock = dependencies.clock();
        this.meters = dependencies.meters();
        this.minion = dependencies.minion();
        this.stopped = dependencies.stopped();
        this.incarnation = dependencies.incarnation();
        this.callbacks = dependencies.callbacks();
        this.disconnectedSinceNanos = clock.nanos();
        this.timers = timers;
        Hello hello = settings.hello(dependencies.incarnation(), bound.getPort());
        this.state = new AgentState(settings, hello, new SecureRandom().nextLong(), clock.nanos());
        timers.startSingleTimer(new Tick(), IDLE_TICK);
        timers.startTimerWithFixedDelay(
                new ReadState(), Duration.ZERO, settings.limits().statePoll());
    }

    /** Returns the behavior of an agent; it stashes all messages until it receives its bound address. */
    static Behavior<Command> create(Dependencies dependencies) {
        return Behaviors.withStash(
                STASH_CAPACITY,
                stash -> Behaviors.receive(Command.class)
                        .onMessage(Bound.class, bound -> stash.unstashAll(running(dependencies, bound.address())))
                        .onAnyMessage(command -> {
                            stash.stash(command);
                            return Behaviors.same();
                        })
                        .build());
    }

    private static Behavior<Command> running(Dependencies dependencies, InetSocketAddress bound) {
        return Behaviors.setup(
                context -> Behaviors.withTimers(timers -> new AgentActor(context, timers, dependencies, bound)));
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder()
                .onMessage(Command.class, this::handle)
                .onSignal(PostStop.class, signal -> cleanUp())
                .build();
    }

    private Behavior<Command> handle(Command command) {
        switch (command) {
            case Received received -> receive(received.connection(), received.frame());
            case RunEnded ended -> runEnded(ended);
            case Connected connected -> connect(connected.connection());
            case Disconnected disconnected -> disconnect(disconnected.connection());
            case Drain drain -> apply(new AgentEvent.DrainRequested(drain.reason()));
            case Tick tick -> tick();
            case ReadState read -> readState();
            case StateRead read -> stateRead(read);
            case Bound bound -> throw new IllegalStateException("the agent received a second bound address");
        }
        meters.updateLoad(state.runningTasks(), state.waitingTasks());
        if (readyToStop && peers.isEmpty()) {
            stopped.complete(null);
            return Behaviors.stopped();
        }
        return this;
    }

    private Behavior<Command> cleanUp() {
        stopped.completeExceptionally(
                new ChivetallyException(ErrorCode.INTERNAL, "the agent's actor stopped before the drain was complete"));
        for (FrameConnection connection : peers.keySet()) {
            connection.close();
        }
        for (MinionExchange run : exchanges.values()) {
            run.cancel();
        }
        minion.close();
        return this;
    }

    private void connect(FrameConnection connection) {
        if (readyToStop) {
            connection.close();
            return;
        }
        lastPeerNumber++;
        Peer peer = new Peer(new PeerId(lastPeerNumber), clock.nanos());
        peers.put(connection, peer);
        connections.put(peer.id, connection);
        apply(new AgentEvent.PeerConnected(peer.id));
    }

    private void disconnect(FrameConnection connection) {
        Peer peer = peers.remove(connection);
        if (peer == null) {
            return;
        }
        connections.remove(peer.id);
        apply(new AgentEvent.PeerDisconnected(peer.id));
    }

    private void receive(FrameConnection connection, Frame frame) {
        Peer peer = peers.get(connection);
        if (peer == null) {
            return;
        }
        peer.lastFrameNanos = clock.nanos();
        if (!peer.identified && !frame.hasHello()) {
            // Results are routed by the process that Hello identifies; without a Hello they could not be delivered
            // after
            // a reconnect.
            LOGGER.atWarning().log(
                    "%s",
                    EventLine.of("agent-peer-without-hello")
                            .with("peer", connection.peer())
                            .with("body", frame.getBodyCase()));
            connection.close();
            disconnect(connection);
            return;
        }
        receive(peer, connection, frame);
    }

    private void receive(Peer peer, FrameConnection connection, Frame frame) {
        long requestId = frame.getRequestId();
        switch (frame.getBodyCase()) {
            case START -> apply(new AgentEvent.StartRequested(peer.id, requestId, frame.getStart()));
            case HEARTBEAT -> {
                if (!frame.getHeartbeat().getAnswer()) {
                    apply(new AgentEvent.HeartbeatRequested(peer.id, requestId));
                }
            }
            case CANCEL ->
                apply(new AgentEvent.CancelRequested(peer.id, frame.getCancel().getJobIdsList()));
            case INQUIRY -> apply(new AgentEvent.InquiryRequested(peer.id, requestId, frame.getInquiry()));
            case HELLO -> identify(peer, frame.getHello());
            case CONFIGURATION_PUSH -> configure(frame.getConfigurationPush());
            case SUSPICION_ANSWER -> handleSuspicionAnswer(frame.getSuspicionAnswer());
            case LEAVING ->
                LOGGER.atFine().log("%s", EventLine.of("agent-peer-leaving").with("peer", connection.peer()));
            default ->
                LOGGER.atWarning().log(
                        "%s",
                        EventLine.of("agent-stray-frame")
                                .with("peer", connection.peer())
                                .with("body", frame.getBodyCase()));
        }
    }

    private void configure(ConfigurationPush push) {
        AgentConfiguration configuration = callbacks.offerConfiguration(
                push.getVersion(), push.getSnapshot().toByteArray());
        apply(new AgentEvent.Configured(configuration));
    }

    // A process that was paused or disconnected may have been declared gone meanwhile, and would then receive no tasks.
    // The first entry that reaches it sends this answer, and the process announces itself again.
    private void handleSuspicionAnswer(SuspicionAnswer answer) {
        boolean self = answer.getProcessId().equals(settings.processId())
                && answer.getIncarnation().equals(incarnation);
        if (self && !answer.getAlive()) {
            callbacks.reannounce("declared gone");
        }
    }

    private void identify(Peer peer, Hello hello) {
        peer.identified = true;
        apply(new AgentEvent.PeerIdentified(peer.id, hello.getProcessId(), hello.getIncarnation()));
    }

    private void runEnded(RunEnded ended) {
        if (exchanges.remove(ended.attemptId()) == null) {
            return;
        }
        apply(new AgentEvent.MinionAnswered(ended.attemptId(), ended.answer()));
    }

    private void tick() {
        closeSilentPeers();
        reannounceWhenDisconnected();
        apply(new AgentEvent.Ticked());
        tickIsBusy = isBusy();
        timers.startSingleTimer(new Tick(), tickIsBusy ? BUSY_TICK : IDLE_TICK);
    }

    private boolean isBusy() {
        return state.runningTasks() + state.waitingTasks() > 0;
    }

    private void closeSilentPeers() {
        // The connection of a process that ended without closing it can stay open for hours. Entries send a frame at
        // least every two minutes, so a much longer silence means that the process is gone.
        long maximumSilenceNanos = settings.limits().peerSilence().toNanos();
        long now = clock.nanos();
        for (Map.Entry<FrameConnection, Peer> entry : List.copyOf(peers.entrySet())) {
            if (now - entry.getValue().lastFrameNanos > maximumSilenceNanos) {
                entry.getKey().close();
                disconnect(entry.getKey());
            }
        }
    }

    // Entries that have restarted or have removed this agent discover it only by its announcements, and the next
    // regular one may be minutes away.
    private void reannounceWhenDisconnected() {
        long now = clock.nanos();
        if (!peers.isEmpty()) {
            disconnectedSinceNanos = now;
            reannounceDelay = FIRST_REANNOUNCE_DELAY;
            return;
        }
        if (now - disconnectedSinceNanos >= reannounceDelay.toNanos()) {
            disconnectedSinceNanos = now;
            reannounceDelay = reannounceDelay.compareTo(REANNOUNCE_DELAY_LIMIT) < 0
                    ? reannounceDelay.multipliedBy(2)
                    : reannounceDelay;
            callbacks.reannounce("no entry is connected");
        }
    }

    private void readState() {
        if (stateExchange != null) {
            stateExchange.cancel();
            return;
        }
        long requested = clock.nanos();
        stateExchange = minion.get(statePath());
        stateExchange.answer().thenAccept(answer -> getContext().getSelf().tell(new StateRead(answer, requested)));
    }

    private void stateRead(StateRead read) {
        stateExchange = null;
        apply(new AgentEvent.MinionReported(stateOf(read.answer()), read.requestedNanos()));
    }

    private String statePath() {
        return switch (settings.stateSource()) {
            case MinionStateSource.Native nativeSource -> "/state";
            case MinionStateSource.Adapted adapted -> adapted.path();
        };
    }

    private MinionState stateOf(MinionAnswer answer) {
        if (!(answer instanceof MinionAnswer.Success success)) {
            return new MinionState.Unreachable(answer.toString());
        }
        return switch (settings.stateSource()) {
            case MinionStateSource.Native nativeSource -> new NativeStateReader().read(success.body());
            case MinionStateSource.Adapted adapted -> adapted.reader().read(success.body());
        };
    }

    private void apply(AgentEvent event) {
        for (AgentEffect effect : state.apply(event, clock.nanos())) {
            execute(effect);
        }
        if (!tickIsBusy && isBusy()) {
            tickIsBusy = true;
            timers.startSingleTimer(new Tick(), BUSY_TICK);
        }
    }

    private void execute(AgentEffect effect) {
        switch (effect) {
            case AgentEffect.RunOnMinion run -> run(run);
            case AgentEffect.SendTo send -> send(send);
            case AgentEffect.WriteLine line -> LOGGER.atInfo().log("%s", line.line());
            case AgentEffect.AbandonRun abandon -> abandon(abandon.attemptId());
            case AgentEffect.CountWaste waste -> meters.wasted(waste.kind());
            case AgentEffect.ReadyToStop ready -> closeConnections();
        }
    }

    /** Closes all connections; the agent stops once each has flushed its sent frames and is closed. */
    private void closeConnections() {
        readyToStop = true;
        for (FrameConnection connection : peers.keySet()) {
            connection.close();
        }
    }

    private void run(AgentEffect.RunOnMinion run) {
        meters.started();
        MinionExchange exchange = minion.run(run);
        exchanges.put(run.attemptId(), exchange);
        exchange.answer().thenAccept(answer -> getContext().getSelf().tell(new RunEnded(run.attemptId(), answer)));
    }

    private void send(AgentEffect.SendTo send) {
        FrameConnection connection = connections.get(send.peer());
        if (connection == null) {
            return;
        }
        meters.sent(send.frame());
        connection.send(send.frame());
    }

    private void abandon(String attemptId) {
        MinionExchange exchange = exchanges.remove(attemptId);
        if (exchange != null) {
            exchange.cancel();
        }
    }

    /** Collaborators of the actor. */
    record Dependencies(
            AgentSettings settings,
            String incarnation,
            MinionClient minion,
            AgentMeters meters,
            NanoClock clock,
            AgentCallbacks callbacks,
            CompletableFuture<Void> stopped) {}

    /** Messages that the actor accepts. */
    sealed interface Command {}

    record Bound(InetSocketAddress address) implements Command {}

    record Connected(FrameConnection connection) implements Command {}

    record Received(FrameConnection connection, Frame frame) implements Command {}

    record Disconnected(FrameConnection connection) implements Command {}

    record RunEnded(String attemptId, MinionAnswer answer) implements Command {}

    record ReadState() implements Command {}

    record StateRead(MinionAnswer answer, long requestedNanos) implements Command {}

    record Drain(String reason) implements Command {}

    record Tick() implements Command {}

    /** An open connection of an entry. */
    private static final class Peer {
        private final PeerId id;
        private long lastFrameNanos;
        private boolean identified;

        Peer(PeerId id, long lastFrameNanos) {
            this.id = id;
            this.lastFrameNanos = lastFrameNanos;
        }
    }
}
