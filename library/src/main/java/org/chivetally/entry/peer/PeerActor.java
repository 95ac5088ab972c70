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

/** Keeps links to the other entries and queries them about jobs, submission keys, members and configuration. */
public final class PeerActor extends AbstractBehavior<PeerCommand> implements LinkObserver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    /** Maximum number of unanswered suspicion queries; above it the oldest is discarded. */
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
    private Set<String> otherEntries = Set.of();
    private Set<Incarnation> endedIncarnations = Set.of();
    /** Time at which this entry last observed the departure of an entry; null if there was none. */
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
            case PeerCommand.CancelOutcomeQuery cancel -> outcomeQueries.remove(cancel.job());
            case PeerCommand.QueryKey query -> onQueryKey(query);
            case PeerCommand.CancelJob cancel -> onCancel(cancel);
            case PeerCommand.Signal signal ->
                links.signal(signal.signal(), parts.clock().nanos());
            case PeerCommand.Send send -> links.send(send.processId(), send.frame());
            case PeerCommand.MembersChanged changed -> onMembersChanged(changed.members());
            case PeerCommand.QuerySuspicion query -> onQuerySuspicion(query);
            case PeerCommand.Probe probe -> onProbe(probe);
            case PeerCommand.Tick tick -> onTick();
            case PeerCommand.Stop stop -> throw new IllegalStateException("Stop has its own handler");
        }
    }

    private void onQueryOutcome(PeerCommand.QueryOutcome command) {
        OutcomeQuery query = new OutcomeQuery(command.coordinator(), command.job(), command.key());
        outcomeQueries.put(command.job(), query);
        keepLink(command.coordinator());
        send(query);
    }

    // An entry that is no longer a member may have claimed the key just before it ended, in a record that this entry
    // has not read yet. Without its answer nothing is proven while its jobs may be taken over.
    private void onQueryKey(PeerCommand.QueryKey query) {
        boolean allReachable =
                otherEntries.stream().allMatch(entry -> links.usable(entry).isPresent());
        if (!parts.membersRead().getAsBoolean() || !allReachable || hasDepartureSince(query.sinceNanos())) {
            query.unknownToAll().complete(false);
            return;
        }
        if (otherEntries.isEmpty()) {
            query.unknownToAll().complete(true);
            return;
        }
        List<Long> requests = new ArrayList<>();
        for (String entry : otherEntries) {
            long request = parts.requestIds().getAsLong();
            requests.add(request);
            links.send(entry, KeyQueries.frame(request, query.key()));
        }
        keyQueries.open(requests, query.unknownToAll(), parts.clock().nanos());
    }

    // Includes entries that joined and ended between two reads of the members and so were never listed as members.
    private Set<Incarnation> endedEntries(MemberList members) {
        return members.ended().stream()
                .filter(ended -> ended.mayBeEntry() && !ended.id().processId().equals(parts.self()))
                .map(EndedMember::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    // An entry that left may have claimed the key after this entry last read the claims, and run its job. The remaining
    // entries may not have read that claim either, so their denials prove nothing.
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

    // The list of members may have a newer address of the process than an old claim, so the address in the claim is
    // used only if there is no link yet.
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
        if (!listed.containsAll(otherEntries) || !endedIncarnations.containsAll(ended)) {
            lastDepartureNanos = parts.clock().nanos();
        }
        otherEntries = Set.copyOf(listed);
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
            if (!otherEntries.contains(processId) && !hasPendingQuery(processId)) {
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
                .ifPresent(member -> parts.membershipEvents().accept(new MembershipEvent.ConnectionOpened(member)));
        outcomeQueries.values().stream()
                .filter(query -> query.coordinator.processId().equals(hello.getProcessId()))
                .forEach(this::send);
    }

    @Override
    public void down(Hello hello, String reason) {
        // Outcome queries are sent again on the next connection.
        parts.observer().down(hello, reason);
        pulls.lost(hello.getProcessId());
        parts.membershipEvents().accept(new MembershipEvent.ConnectionLost(idOf(hello)));
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
                // Other frames do not answer any request of this actor.
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
            parts.membershipEvents().accept(new MembershipEvent.SuspicionAnswered(suspect, idOf(sender), alive));
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
     * Dependencies of the actor.
     *
     * @param self process id of this entry
     * @param wiring creates the wiring of the links from the receiver of their signals
     * @param heartbeats heartbeat settings of the links
     * @param outcomes receives the outcomes of queried jobs
     * @param introductions receives the Hello of a process that answers at the address of another
     * @param observer also receives the events of the links; must not block
     * @param requestIds request ids of this process, never repeated
     * @param membershipEvents receives events that the links observe about members
     * @param configuration configuration of this entry, which accepts newer versions from other entries
     * @param membersRead whether the members have been read from the log completely
     * @param clock monotonic clock
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
