package org.chivetally.entry.peer;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.chivetally.claim.Coordinator;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.LinkObserver;
import org.chivetally.entry.link.LinkSet;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.member.EndedMember;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberList;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.entry.member.MembershipEvent;
import org.chivetally.entry.member.Probes;
import org.chivetally.entry.submission.OutcomeDocument;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.logging.EventLine;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.time.NanoClock;
import org.chivetally.wire.v1.Attach;
import org.chivetally.wire.v1.Cancel;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.JobAnswer;
import org.chivetally.wire.v1.SuspicionQuery;

/** Asks other entries for the outcomes of jobs that they coordinate. */
public final class PeerActor extends AbstractBehavior<PeerCommand> implements LinkObserver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final int MAXIMUM_SUSPICION_QUERIES = 4_096;
    private static final long QUERY_RETRY_INTERVAL_NANOS =
            Duration.ofMillis(500).toNanos();

    private final Parts parts;
    private final LinkSet links;
    private final Map<JobId, OutcomeQuery> outcomeQueries = new HashMap<>();
    private final KeyQueries keyQueries = new KeyQueries();
    private final SequencedMap<Long, Incarnation> suspicionQueries = new LinkedHashMap<>();
    private final Probes probes = new Probes();
    private final ConfigurationPulls pulls;
    private Set<String> viewedEntries = Set.of();
    private Set<Incarnation> endedIncarnations = Set.of();
    /** Reading of the clock when an entry was last seen to be no member any more; null when that never happened. */
    private Long lastDepartureNanos;

    private PeerActor(ActorContext<PeerCommand> context, Parts parts) {
        super(context);
        this.parts = parts;
        Consumer<LinkSignal> signals = signal -> context.getSelf().tell(new PeerCommand.Signal(signal));
        this.links = new LinkSet(parts.wiring().apply(signals), parts.heartbeats(), this);
        this.pulls = new ConfigurationPulls(parts.configuration());
    }

    /** Creates the behavior. */
    public static Behavior<PeerCommand> create(Parts parts) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new PeerCommand.Tick(), TICK_INTERVAL);
            return new PeerActor(context, parts);
        }));
    }

    @Override
    public Receive<PeerCommand> createReceive() {
        return newReceiveBuilder()
                .onMessage(PeerCommand.Stop.class, stop -> Behaviors.stopped())
                .onMessage(PeerCommand.class, command -> {
                    handle(command);
                    return this;
                })
                .onSignal(PostStop.class, stop -> {
                    links.close();
                    return this;
                })
                .build();
    }

    private void handle(PeerCommand command) {
        switch (command) {
            case PeerCommand.QueryOutcome query -> onQueryOutcome(query);
            case PeerCommand.CancelOutcomeQuery forget -> outcomeQueries.remove(forget.job());
            case PeerCommand.QueryKey query -> onQueryKey(query);
            case PeerCommand.CancelJob cancel -> onCancel(cancel);
            case PeerCommand.Signal signal ->
                links.signal(signal.signal(), parts.clock().nanos());
            case PeerCommand.Send send -> links.send(send.processId(), send.frame());
            case PeerCommand.MembersChanged view -> onMembersChanged(view.members());
            case PeerCommand.QuerySuspicion query -> onQuerySuspicion(query);
            case PeerCommand.Probe probe -> onProbe(probe);
            case PeerCommand.Tick tick -> onTick();
            case PeerCommand.Stop stop -> throw new IllegalStateException("handled before");
        }
    }

    private void onQueryOutcome(PeerCommand.QueryOutcome command) {
        OutcomeQuery query = new OutcomeQuery(command.coordinator(), command.job(), command.key());
        outcomeQueries.put(command.job(), query);
        keepLink(command.coordinator());
        send(query);
    }

    // An entry that is not in the view any more may have claimed the key just before it ended, in a record that could
    // not be read here yet. Nothing is certain without it, for as long as its jobs may be taken over.
    private void onQueryKey(PeerCommand.QueryKey query) {
        boolean allReachable =
                viewedEntries.stream().allMatch(entry -> links.usable(entry).isPresent());
        if (!parts.membersRead().getAsBoolean() || !allReachable || hasDepartureSince(query.sinceNanos())) {
            query.unknownToAll().complete(false);
            return;
        }
        if (viewedEntries.isEmpty()) {
            query.unknownToAll().complete(true);
            return;
        }
        List<Long> requests = new ArrayList<>();
        for (String entry : viewedEntries) {
            long request = parts.requestIds().getAsLong();
            requests.add(request);
            links.send(entry, KeyQueries.frame(request, query.key()));
        }
        keyQueries.open(requests, query.unknownToAll(), parts.clock().nanos());
    }

    // Also names entries that came and ended between two reads of the members, and so were never in the view.
    private Set<Incarnation> endedEntries(MemberList view) {
        return view.ended().stream()
                .filter(ended -> ended.mayBeEntry() && !ended.id().processId().equals(parts.self()))
                .map(EndedMember::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    // An entry that left may have claimed the key after this one last read the claims, and run its job. Nobody else
    // need know of that, so that the answers of those who stayed prove nothing.
    private boolean hasDepartureSince(long sinceNanos) {
        return lastDepartureNanos != null && lastDepartureNanos - sinceNanos >= 0;
    }

    private void onCancel(PeerCommand.CancelJob cancel) {
        keepLink(cancel.coordinator());
        Frame frame = Frame.newBuilder()
                .setCancel(Cancel.newBuilder().addJobIds(cancel.job().text()))
                .build();
        links.send(cancel.coordinator().processId(), frame);
    }

    // The view may name a newer address of the process than an old claim does, so the claim's is only used when the
    // view names none.
    private void keepLink(Coordinator coordinator) {
        if (links.processes().contains(coordinator.processId())) {
            return;
        }
        Address address = new Address(coordinator.host(), coordinator.port());
        links.add(coordinator.processId(), address, parts.clock().nanos());
    }

    private void onMembersChanged(MemberList members) {
        Set<String> listed = new HashSet<>();
        for (Member entry : members.entries()) {
            if (entry.processId().equals(parts.self())) {
                continue;
            }
            listed.add(entry.processId());
            links.add(entry.processId(), entry.address(), parts.clock().nanos());
        }
        Set<Incarnation> ended = endedEntries(members);
        if (!listed.containsAll(viewedEntries) || !endedIncarnations.containsAll(ended)) {
            lastDepartureNanos = parts.clock().nanos();
        }
        viewedEntries = Set.copyOf(listed);
        endedIncarnations = ended;
        dropUnneededLinks();
    }

    private void onQuerySuspicion(PeerCommand.QuerySuspicion command) {
        long request = parts.requestIds().getAsLong();
        SuspicionQuery query = SuspicionQuery.newBuilder()
                .setProcessId(command.suspect().processId())
                .setIncarnation(command.suspect().incarnation())
                .build();
        Frame frame = Frame.newBuilder()
                .setRequestId(request)
                .setSuspicionQuery(query)
                .build();
        if (links.send(command.entry().processId(), frame)) {
            suspicionQueries.put(request, command.suspect());
        }
        if (suspicionQueries.size() > MAXIMUM_SUSPICION_QUERIES) {
            suspicionQueries.pollFirstEntry();
        }
    }

    private void onProbe(PeerCommand.Probe probe) {
        String processId = probe.entry().processId();
        boolean connected = links.usable(processId)
                .map(Hello::getIncarnation)
                .filter(probe.entry().incarnation()::equals)
                .isPresent();
        if (!connected || !links.send(processId, heartbeat())) {
            probe.alive().accept(false);
            return;
        }
        probes.begin(probe.entry(), probe.alive(), parts.clock().nanos());
    }

    private void dropUnneededLinks() {
        for (String processId : links.processes()) {
            if (!viewedEntries.contains(processId) && !hasPendingQuery(processId)) {
                links.remove(processId, "not a member");
            }
        }
    }

    private void onTick() {
        long now = parts.clock().nanos();
        links.tick(now, this::hasPendingQuery);
        keyQueries.expire(now);
        probes.expire(now);
        pulls.due(now).forEach(links::send);
        if (pulls.shouldQueryVersions(now)) {
            links.processes().forEach(processId -> links.send(processId, heartbeat()));
        }
        for (OutcomeQuery query : outcomeQueries.values()) {
            if (query.retryScheduled && now - query.retryAtNanos >= 0) {
                send(query);
            }
        }
    }

    private void send(OutcomeQuery query) {
        query.retryScheduled = false;
        Frame frame = Frame.newBuilder()
                .setAttach(Attach.newBuilder().setJobId(query.job.text()).setKey(query.key))
                .build();
        links.send(query.coordinator.processId(), frame);
    }

    private boolean hasPendingQuery(String processId) {
        return outcomeQueries.values().stream()
                .anyMatch(query -> query.coordinator.processId().equals(processId));
    }

    private Frame heartbeat() {
        Heartbeat heartbeat = Heartbeat.newBuilder()
                .setConfigurationVersion(parts.configuration().version())
                .build();
        return Frame.newBuilder().setHeartbeat(heartbeat).build();
    }

    @Override
    public void up(Hello hello) {
        parts.observer().up(hello);
        pulls.reported(hello.getProcessId(), hello.getConfigurationVersion());
        MemberRecords.ofHello(hello)
                .ifPresent(member -> parts.membershipEvents().accept(new MembershipEvent.Reached(member)));
        outcomeQueries.values().stream()
                .filter(query -> query.coordinator.processId().equals(hello.getProcessId()))
                .forEach(this::send);
    }

    @Override
    public void down(Hello hello, String reason) {
        // Questions are asked again on the next connection.
        parts.observer().down(hello, reason);
        pulls.lost(hello.getProcessId());
        parts.membershipEvents().accept(new MembershipEvent.Lost(idOf(hello)));
    }

    @Override
    public void unexpectedProcess(Hello hello) {
        parts.introductions().accept(hello);
    }

    @Override
    public void received(Hello sender, Frame frame) {
        parts.observer().received(sender, frame);
        probes.received(idOf(sender));
        switch (frame.getBodyCase()) {
            case JOB_ANSWER -> onJobAnswer(frame.getRequestId(), frame.getJobAnswer());
            case HEARTBEAT ->
                pulls.reported(sender.getProcessId(), frame.getHeartbeat().getConfigurationVersion());
            case SUSPICION_ANSWER -> onSuspicionAnswer(sender, frame);
            case CONFIGURATION_PUSH ->
                parts.configuration()
                        .offer(
                                frame.getConfigurationPush().getVersion(),
                                frame.getConfigurationPush().getSnapshot().toByteArray());
            default -> {
                // Nothing was asked that such a frame answers.
            }
        }
    }

    private void onJobAnswer(long request, JobAnswer answer) {
        if (!keyQueries.onAnswer(request, answer.getKnown(), parts.clock().nanos())) {
            onOutcomeAnswer(answer);
        }
    }

    private void onSuspicionAnswer(Hello sender, Frame frame) {
        Incarnation suspect = suspicionQueries.remove(frame.getRequestId());
        if (suspect != null) {
            boolean alive = frame.getSuspicionAnswer().getAlive();
            parts.membershipEvents().accept(new MembershipEvent.Answered(suspect, idOf(sender), alive));
        }
    }

    private static Incarnation idOf(Hello hello) {
        return new Incarnation(hello.getProcessId(), hello.getIncarnation());
    }

    private void onOutcomeAnswer(JobAnswer answer) {
        OutcomeQuery query = answer.getJobId().isEmpty() ? null : outcomeQueries.get(new JobId(answer.getJobId()));
        if (query == null) {
            return;
        }
        if (!answer.getKnown()) {
            query.retryScheduled = true;
            query.retryAtNanos = parts.clock().nanos() + QUERY_RETRY_INTERVAL_NANOS;
            return;
        }
        outcomeQueries.remove(query.job);
        parts.outcomes().accept(query.job, readOutcome(answer));
    }

    private static JobOutcome readOutcome(JobAnswer answer) {
        try {
            return OutcomeDocument.read(answer.getOutcome());
        } catch (IllegalArgumentException malformed) {
            LOGGER.atWarning().withCause(malformed).log(
                    "%s", EventLine.of("peer-answer-malformed").with("job", answer.getJobId()));
            return new JobOutcome.Failure(
                    ErrorCode.INTERNAL, Certainty.UNKNOWN, "another entry's answer can't be read", List.of(), 0);
        }
    }

    private static final class OutcomeQuery {
        private final Coordinator coordinator;
        private final JobId job;
        private final String key;
        private boolean retryScheduled;
        private long retryAtNanos;

        private OutcomeQuery(Coordinator coordinator, JobId job, String key) {
            this.coordinator = coordinator;
            this.job = job;
            this.key = key;
        }
    }

    /**
     * What the actor works with.
     *
     * @param self process id of this entry
     * @param wiring makes the links' wiring for the actor's signals
     * @param outcomes takes outcomes
     * @param introductions takes introductions of processes found at another's address
     * @param observer told of the links as well; must not block
     * @param requestIds request ids of this process, never repeated
     * @param membershipEvents takes what connections say of members
     * @param configuration what other entries may have newer
     * @param membersRead whether the members are known as the log has them
     */
    public record Parts(
            String self,
            Function<Consumer<LinkSignal>, LinkSet.Wiring> wiring,
            HeartbeatSettings heartbeats,
            BiConsumer<JobId, JobOutcome> outcomes,
            Consumer<Hello> introductions,
            LinkObserver observer,
            LongSupplier requestIds,
            Consumer<MembershipEvent> membershipEvents,
            ConfigurationExchange configuration,
            BooleanSupplier membersRead,
            NanoClock clock) {}
}
