package org.chivetally.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.IdleHeartbeats;
import org.chivetally.entry.link.LinkObserver;
import org.chivetally.entry.link.LinkSet;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberList;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.entry.member.MembershipEffect;
import org.chivetally.entry.member.MembershipEvent;
import org.chivetally.entry.member.Probes;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.membership.RendezvousOrder;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.time.NanoClock;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.SuspicionAnswer;

/** Passes events about agents, jobs and time to the {@link DispatchCore} and executes its effects. */
public final class DispatchActor extends AbstractBehavior<DispatchCommand> implements LinkObserver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final int TICKS_PER_REPORT = 100;
    private static final int TICKS_PER_ROSTER_CHECK = 5;

    private final Parts parts;
    private final LinkSet links;
    private final DispatchMeters meters;
    private final PendingAnswers pendingAnswers = new PendingAnswers();
    private final Map<String, AgentId> agents = new HashMap<>();
    private final AgentRoster roster;
    private final ConfigurationPushes pushes;
    private final Probes probes = new Probes();
    private Set<Incarnation> listedAgents = Set.of();
    private int entryCount;
    private boolean leaseHeld;
    /**
     * Time until which the lease is held as of the last {@link DispatchCommand.LeaseExtended}; null before the first.
     */
    private Long leaseEndNanos;

    private long ticks;

    private DispatchActor(ActorContext<DispatchCommand> context, Parts parts) {
        super(context);
        this.parts = parts;
        this.meters = new DispatchMeters(parts.meters());
        Consumer<LinkSignal> signals = signal -> context.getSelf().tell(new DispatchCommand.Signal(signal));
        this.links = new LinkSet(parts.wiring().apply(signals), parts.heartbeats(), this);
        this.roster = new AgentRoster(parts.idempotent(), pendingAnswers::hasPending);
        this.pushes = new ConfigurationPushes(parts.self(), parts.configuration());
    }

    /** Creates the behavior. */
    public static Behavior<DispatchCommand> create(Parts parts) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new DispatchCommand.Tick(), TICK_INTERVAL);
            return new DispatchActor(context, parts);
        }));
    }

    @Override
    public Receive<DispatchCommand> createReceive() {
        return newReceiveBuilder()
                .onMessage(DispatchCommand.Stop.class, stop -> Behaviors.stopped())
                .onMessage(DispatchCommand.class, command -> {
                    handle(command);
                    return this;
                })
                .onSignal(PostStop.class, stop -> {
                    links.close();
                    return this;
                })
                .build();
    }

    private void handle(DispatchCommand command) {
        checkLease();
        switch (command) {
            case DispatchCommand.Event event -> decide(event.event());
            case DispatchCommand.RunAfterEvents runAfter -> runAfter.action().run();
            case DispatchCommand.Signal signal ->
                links.signal(signal.signal(), parts.clock().nanos());
            case DispatchCommand.Send send -> links.send(send.processId(), send.frame());
            case DispatchCommand.MembersChanged changed -> onMembersChanged(changed.members());
            case DispatchCommand.LeaseExtended extended -> onLeaseExtended(extended.untilNanos());
            case DispatchCommand.Probe probe -> onProbe(probe);
            case DispatchCommand.Membership membership -> onMembership(membership.effect());
            case DispatchCommand.Tick tick -> onTick();
            case DispatchCommand.Stop stop -> throw new IllegalStateException("Stop has its own handler");
        }
    }

    // A process that was suspended for longer than its lease resumes in the middle of its work and would send starts
    // after another entry has taken its jobs over. The lease is therefore checked before each message, not only on
    // ticks. Agents refuse a start that was sent after the lease lapsed between check and send, by its ticket.
    private void checkLease() {
        boolean held = isWithinReportedLease() && parts.holdsLease().getAsBoolean();
        if (held != leaseHeld) {
            leaseHeld = held;
            decide(new DispatchEvent.LeaseChanged(held));
        }
    }

    // The lease is lost by the clock but regained only by a message, as the events about jobs that other entries took
    // over meanwhile are sent before that message. If holdsLease alone decided, a renewal just read by the claims would
    // apply at once, and messages still in the mailbox would start tasks of a job that another entry has started.
    private boolean isWithinReportedLease() {
        return leaseEndNanos != null && leaseEndNanos - parts.clock().nanos() > 0;
    }

    private void onLeaseExtended(long untilNanos) {
        leaseEndNanos = untilNanos;
        checkLease();
    }

    private void onMembersChanged(MemberList members) {
        long now = parts.clock().nanos();
        decideAll(roster.updateMembers(members, now));
        for (Member agent : members.agents()) {
            links.add(agent.processId(), agent.address(), now);
        }
        redialReturnedAgents(members, now);
        dropUnneededLinks();
        List<String> names = members.entries().stream().map(Member::processId).toList();
        pushes.setEntries(names);
        setHeartbeatIntervals(members, names);
        int count = Math.max(1, names.size());
        if (count != entryCount) {
            entryCount = count;
            decide(new DispatchEvent.EntriesChanged(count));
        }
    }

    // The reconnect delay of a link grows to several seconds while its agent is absent; without an immediate dial, a
    // returned agent would stay idle for that time.
    private void redialReturnedAgents(MemberList members, long now) {
        Set<Incarnation> listed = new HashSet<>();
        for (Member agent : members.agents()) {
            listed.add(agent.id());
            if (!listedAgents.contains(agent.id())) {
                links.resetBackoff(agent.processId(), now);
            }
        }
        listedAgents = listed;
    }

    private void setHeartbeatIntervals(MemberList members, List<String> entryNames) {
        int count = members.agents().size();
        Duration shortest = parts.heartbeats().idleInterval();
        for (Member agent : members.agents()) {
            boolean preferred = RendezvousOrder.rank(parts.self(), entryNames, agent.processId()) == 0;
            links.setIdleInterval(
                    agent.processId(), IdleHeartbeats.interval(preferred, count, entryNames.size(), shortest));
        }
    }

    private void dropUnneededLinks() {
        for (String processId : links.processes()) {
            boolean usable = links.usable(processId).isPresent();
            if (!usable && !roster.needsConnection(processId)) {
                links.remove(processId, "not a member");
                pendingAnswers.remove(processId);
                agents.remove(processId);
            }
        }
    }

    private void onProbe(DispatchCommand.Probe probe) {
        Incarnation id = probe.agent();
        boolean connected = new AgentId(id.processId(), id.incarnation()).equals(agents.get(id.processId()));
        boolean sent = connected
                && links.send(
                        id.processId(),
                        Frame.newBuilder()
                                .setHeartbeat(Heartbeat.getDefaultInstance())
                                .build());
        if (!sent) {
            probe.alive().accept(false);
            return;
        }
        probes.begin(id, probe.alive(), parts.clock().nanos());
    }

    private void onMembership(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.TellGone tell -> notifyDeclaredGone(tell.member());
            case MembershipEffect.HoldDown hold ->
                decide(new DispatchEvent.AgentHeldDown(
                        new AgentId(hold.agent().processId(), hold.agent().incarnation()), hold.held()));
            default -> throw new IllegalStateException("effect does not concern agents: " + effect);
        }
    }

    private void notifyDeclaredGone(Member member) {
        SuspicionAnswer answer = SuspicionAnswer.newBuilder()
                .setProcessId(member.processId())
                .setIncarnation(member.incarnation())
                .build();
        links.send(
                member.processId(),
                Frame.newBuilder().setSuspicionAnswer(answer).build());
    }

    private void onTick() {
        long now = parts.clock().nanos();
        ticks++;
        pendingAnswers.expire(now);
        probes.expire(now);
        links.tick(now, pendingAnswers::hasPending);
        decide(new DispatchEvent.Ticked());
        if (ticks % TICKS_PER_ROSTER_CHECK == 0) {
            decideAll(roster.reevaluate(now));
            dropUnneededLinks();
            pushes.due(now).forEach(links::send);
        }
        if (ticks % TICKS_PER_REPORT == 0) {
            reportConnected();
            parts.core().snapshot().ifPresent(meters::update);
        }
    }

    private void reportConnected() {
        Set<String> connected = new HashSet<>();
        for (String processId : links.processes()) {
            if (links.usable(processId).isPresent()) {
                connected.add(processId);
            }
        }
        parts.membershipEvents().accept(new MembershipEvent.ConnectedProcesses(connected));
    }

    @Override
    public void up(Hello hello) {
        long now = parts.clock().nanos();
        AgentId agent = AgentRoster.idOf(hello);
        AgentId before = agents.put(hello.getProcessId(), agent);
        if (before != null && !before.equals(agent)) {
            pendingAnswers.remove(hello.getProcessId());
        }
        parts.reachableAgents().add(agent);
        parts.observer().up(hello);
        pushes.connected(hello, now);
        decideAll(roster.up(hello, now));
        MemberRecords.ofHello(hello)
                .ifPresent(member -> parts.membershipEvents().accept(new MembershipEvent.ConnectionOpened(member)));
    }

    @Override
    public void down(Hello hello, String reason) {
        AgentId agent = AgentRoster.idOf(hello);
        parts.reachableAgents().remove(agent);
        parts.observer().down(hello, reason);
        pushes.disconnected(hello.getProcessId());
        decideAll(roster.down(agent, parts.clock().nanos()));
        parts.membershipEvents()
                .accept(new MembershipEvent.ConnectionLost(new Incarnation(agent.processId(), agent.incarnation())));
    }

    @Override
    public void unexpectedProcess(Hello hello) {
        parts.introductions().accept(hello);
    }

    @Override
    public void received(Hello sender, Frame frame) {
        AgentId agent = AgentRoster.idOf(sender);
        pendingAnswers.received(sender.getProcessId(), frame);
        parts.observer().received(sender, frame);
        probes.received(new Incarnation(agent.processId(), agent.incarnation()));
        if (frame.hasHeartbeat()) {
            pushes.reported(sender.getProcessId(), frame.getHeartbeat().getConfigurationVersion());
        }
        decide(new DispatchEvent.FrameReceived(agent, frame));
    }

    private void decideAll(List<DispatchEvent> events) {
        events.forEach(this::decide);
    }

    private void decide(DispatchEvent event) {
        for (DispatchEffect effect : parts.core().handle(event, parts.clock().nanos())) {
            execute(effect);
        }
    }

    private void execute(DispatchEffect effect) {
        switch (effect) {
            case DispatchEffect.SendFrame send -> send(send.agent(), send.frame());
            case DispatchEffect.JobFinished finished -> parts.outcomes().accept(finished.job(), finished.outcome());
            case DispatchEffect.WriteLine write -> LOGGER.atInfo().log("%s", write.line());
            case DispatchEffect.CountWaste waste -> meters.wasted(waste.kind());
        }
    }

    private void send(AgentId agent, Frame frame) {
        boolean current = agent.equals(agents.get(agent.processId()));
        if (current && links.send(agent.processId(), frame)) {
            pendingAnswers.sent(agent.processId(), frame, parts.clock().nanos());
        }
    }

    /**
     * Dependencies of the actor.
     *
     * @param self process id of this entry
     * @param core scheduling decisions
     * @param wiring creates the wiring of the links from the receiver of their signals
     * @param heartbeats heartbeat settings of the links
     * @param holdsLease whether this process may start tasks; checked before each message, and ignored after the time
     *     of the last {@link DispatchCommand.LeaseExtended}
     * @param outcomes receives final outcomes of jobs
     * @param introductions receives the Hello of a process that answers at the address of another
     * @param membershipEvents receives events that the links observe about members
     * @param idempotent whether the tasks of a service may run twice, by service name
     * @param configuration configuration that is pushed to agents
     * @param reachableAgents set that the actor keeps equal to the reachable agents; read by other threads
     * @param observer also receives the events of the links; must not block
     * @param meters registry of the metrics
     * @param clock monotonic clock
     */
    public record Parts(
            String self,
            DispatchCore core,
            Function<Consumer<LinkSignal>, LinkSet.Wiring> wiring,
            HeartbeatSettings heartbeats,
            BooleanSupplier holdsLease,
            BiConsumer<JobId, JobOutcome> outcomes,
            Consumer<Hello> introductions,
            Consumer<MembershipEvent> membershipEvents,
            Predicate<String> idempotent,
            ConfigurationExchange configuration,
            Set<AgentId> reachableAgents,
            LinkObserver observer,
            MeterRegistry meters,
            NanoClock clock) {}
}
