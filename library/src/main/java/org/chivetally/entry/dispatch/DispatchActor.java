package org.chivetally.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
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
import org.chivetally.entry.link.LinkObserver;
import org.chivetally.entry.link.LinkSet;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberView;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.time.NanoClock;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** Feeds the decisions with events of agents, jobs and time, and carries their effects out. */
public final class DispatchActor extends AbstractBehavior<DispatchCommand> implements LinkObserver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final int TICKS_PER_REPORT = 100;

    private final Parts parts;
    private final LinkSet links;
    private final DispatchMeters meters;
    private final AttemptsInFlight attempts = new AttemptsInFlight();
    private final Map<String, AgentId> agents = new HashMap<>();
    private final Set<AgentId> buried = new HashSet<>();
    private Set<String> viewed = Set.of();
    private int entries;
    private boolean leaseHeld;
    /** Reading of the clock until which the lease was told to be held; null before the first. */
    private Long leaseEndNanos;

    private long ticks;

    private DispatchActor(ActorContext<DispatchCommand> context, Parts parts) {
        super(context);
        this.parts = parts;
        this.meters = new DispatchMeters(parts.meters());
        Consumer<LinkSignal> signals = signal -> context.getSelf().tell(new DispatchCommand.Signal(signal));
        this.links = new LinkSet(parts.wiring().apply(signals), parts.heartbeats(), this);
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
        noticeLease();
        switch (command) {
            case DispatchCommand.Event event -> decide(event.event());
            case DispatchCommand.Signal signal ->
                links.signal(signal.signal(), parts.clock().nanos());
            case DispatchCommand.Send send -> links.send(send.processId(), send.frame());
            case DispatchCommand.View view -> onView(view.view());
            case DispatchCommand.LeaseExtended extended -> onLeaseExtended(extended.untilNanos());
            case DispatchCommand.Tick tick -> onTick();
            case DispatchCommand.Stop stop -> throw new IllegalStateException("handled before");
        }
    }

    // A process that was paused for longer than its lease resumes in the middle of its work and would send starts that
    // another entry's takeover does not expect. The lease is therefore looked at before each message, not only on
    // ticks; what slips through between look and send is refused by its ticket.
    private void noticeLease() {
        boolean held = isToldHeld() && parts.holdsLease().getAsBoolean();
        if (held != leaseHeld) {
            leaseHeld = held;
            decide(new DispatchEvent.LeaseChanged(held));
        }
    }

    // The lease is lost by the clock, but regained only by a message: jobs that others took over while it had lapsed
    // are
    // told of before that. Looked up, a renewal that the claims have just read would count at once, and whatever
    // message
    // waits here would start tasks of a job that another entry has started already.
    private boolean isToldHeld() {
        return leaseEndNanos != null && leaseEndNanos - parts.clock().nanos() > 0;
    }

    private void onLeaseExtended(long untilNanos) {
        leaseEndNanos = untilNanos;
        noticeLease();
    }

    private void onView(MemberView view) {
        long now = parts.clock().nanos();
        Set<String> named = new HashSet<>();
        for (Member agent : view.agents()) {
            named.add(agent.processId());
            links.keep(agent.processId(), agent.address(), now);
            noticeAnnounced(new AgentId(agent.processId(), agent.incarnation()));
        }
        viewed = Set.copyOf(named);
        for (String processId : links.processes()) {
            dropIfUnwanted(processId);
        }
        view.endedAgents().forEach(ended -> noticeEnded(new AgentId(ended.processId(), ended.incarnation())));
        int count = Math.max(1, view.entries().size());
        if (count != entries) {
            entries = count;
            decide(new DispatchEvent.EntriesChanged(count));
        }
    }

    // An agent that leaves is taken out of the view while its last attempts still run. Its usable connection is kept
    // for their results until the agent itself closes it.
    private void dropIfUnwanted(String processId) {
        if (viewed.contains(processId) || links.usable(processId).isPresent()) {
            return;
        }
        links.drop(processId, "not a member");
        attempts.forget(processId);
        bury(agents.remove(processId));
    }

    // A job that is taken over may have tasks at agents that this entry never reached. If the decisions did not know
    // of them, all known agents would answer, and a task that ran at an unknown one would be started a second time. So
    // they are told of each announced agent before it is reached, and of each one that ended.
    private void noticeAnnounced(AgentId announced) {
        boolean settled = announced.equals(agents.get(announced.processId())) || buried.contains(announced);
        if (settled || links.usable(announced.processId()).isPresent()) {
            return;
        }
        bury(agents.put(announced.processId(), announced));
        decide(new DispatchEvent.AgentUnreachable(announced));
    }

    private void noticeEnded(AgentId ended) {
        if (!ended.equals(agents.get(ended.processId()))) {
            bury(ended);
        }
    }

    private void bury(AgentId gone) {
        if (gone != null && buried.add(gone)) {
            decide(new DispatchEvent.AgentGone(gone));
        }
    }

    private void onTick() {
        long now = parts.clock().nanos();
        ticks++;
        attempts.expire(now);
        links.tick(now, attempts::awaits);
        decide(new DispatchEvent.Ticked());
        if (ticks % TICKS_PER_REPORT == 0) {
            reportConnected();
            parts.core().snapshot().ifPresent(meters::show);
        }
    }

    private void reportConnected() {
        Set<String> connected = new HashSet<>();
        for (String processId : links.processes()) {
            if (links.usable(processId).isPresent()) {
                connected.add(processId);
            }
        }
        parts.connected().accept(connected);
    }

    @Override
    public void up(Hello hello) {
        AgentId agent = idOf(hello);
        AgentId before = agents.put(hello.getProcessId(), agent);
        if (before != null && !before.equals(agent)) {
            attempts.forget(hello.getProcessId());
            bury(before);
        }
        buried.remove(agent);
        parts.introduced().accept(hello);
        parts.usable().add(agent);
        parts.observer().up(hello);
        decide(new DispatchEvent.AgentConnected(agent, hello));
    }

    @Override
    public void down(Hello hello, String reason) {
        AgentId agent = idOf(hello);
        parts.usable().remove(agent);
        parts.observer().down(hello, reason);
        decide(new DispatchEvent.AgentUnreachable(agent));
        dropIfUnwanted(hello.getProcessId());
    }

    @Override
    public void stranger(Hello hello) {
        parts.introduced().accept(hello);
    }

    @Override
    public void received(Hello sender, Frame frame) {
        attempts.received(sender.getProcessId(), frame);
        parts.observer().received(sender, frame);
        decide(new DispatchEvent.FrameReceived(idOf(sender), frame));
    }

    private void decide(DispatchEvent event) {
        for (DispatchEffect effect : parts.core().handle(event, parts.clock().nanos())) {
            carryOut(effect);
        }
    }

    private void carryOut(DispatchEffect effect) {
        switch (effect) {
            case DispatchEffect.SendFrame send -> send(send.agent(), send.frame());
            case DispatchEffect.JobFinished finished -> parts.finished().accept(finished.job(), finished.outcome());
            case DispatchEffect.WriteLine write -> LOGGER.atInfo().log("%s", write.line());
            case DispatchEffect.CountWaste waste -> meters.wasted(waste.kind());
        }
    }

    private void send(AgentId agent, Frame frame) {
        boolean current = agent.equals(agents.get(agent.processId()));
        if (current && links.send(agent.processId(), frame)) {
            attempts.sent(agent.processId(), frame, parts.clock().nanos());
        }
    }

    private static AgentId idOf(Hello hello) {
        return new AgentId(hello.getProcessId(), hello.getIncarnation());
    }

    /**
     * What the actor works with.
     *
     * @param wiring makes the links' wiring for the actor's signals
     * @param holdsLease whether this process may start tasks; asked before each event, and only believed as far as
     *     {@link DispatchCommand.LeaseExtended} goes
     * @param finished takes final outcomes
     * @param introduced takes introductions of agents, and of processes found at another's address
     * @param connected takes the processes that can be reached, every two seconds
     * @param usable filled with the agents that can be reached; read by other threads
     * @param observer told of the links as well; must not block
     */
    public record Parts(
            DispatchCore core,
            Function<Consumer<LinkSignal>, LinkSet.Wiring> wiring,
            HeartbeatSettings heartbeats,
            BooleanSupplier holdsLease,
            BiConsumer<JobId, JobOutcome> finished,
            Consumer<Hello> introduced,
            Consumer<Set<String>> connected,
            Set<AgentId> usable,
            LinkObserver observer,
            MeterRegistry meters,
            NanoClock clock) {}
}
