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
    private static final int MOST_SUSPICIONS = 4_096;
    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(500).toNanos();

    private final Parts parts;
    private final LinkSet links;
    private final Map<JobId, Question> questions = new HashMap<>();
    private final KeyQuestions keyQuestions = new KeyQuestions();
    private final SequencedMap<Long, Incarnation> suspicions = new LinkedHashMap<>();
    private final Probes probes = new Probes();
    private final ConfigurationPulls pulls;
    private Set<String> viewed = Set.of();
    private Set<Incarnation> ended = Set.of();
    /** Reading of the clock when an entry was last seen to be no member any more; null when that never happened. */
    private Long departureNanos;

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
            case PeerCommand.Ask ask -> onAsk(ask);
            case PeerCommand.Forget forget -> questions.remove(forget.job());
            case PeerCommand.AskKey ask -> onAskKey(ask);
            case PeerCommand.CancelJob cancel -> onCancel(cancel);
            case PeerCommand.Signal signal ->
                links.signal(signal.signal(), parts.clock().nanos());
            case PeerCommand.Send send -> links.send(send.processId(), send.frame());
            case PeerCommand.View view -> onView(view.view());
            case PeerCommand.AskSuspicion ask -> onAskSuspicion(ask);
            case PeerCommand.Probe probe -> onProbe(probe);
            case PeerCommand.Tick tick -> onTick();
            case PeerCommand.Stop stop -> throw new IllegalStateException("handled before");
        }
    }

    private void onAsk(PeerCommand.Ask ask) {
        Question question = new Question(ask.coordinator(), ask.job(), ask.key());
        questions.put(ask.job(), question);
        keep(ask.coordinator());
        send(question);
    }

    // An entry that is not in the view any more may have claimed the key just before it ended, in a record that could
    // not be read here yet. Nothing is certain without it, for as long as its jobs may be taken over.
    private void onAskKey(PeerCommand.AskKey ask) {
        boolean allReachable =
                viewed.stream().allMatch(entry -> links.usable(entry).isPresent());
        if (!parts.membersRead().getAsBoolean() || !allReachable || hasOneLeftSince(ask.sinceNanos())) {
            ask.nobodyHas().complete(false);
            return;
        }
        if (viewed.isEmpty()) {
            ask.nobodyHas().complete(true);
            return;
        }
        List<Long> requests = new ArrayList<>();
        for (String entry : viewed) {
            long request = parts.requestIds().getAsLong();
            requests.add(request);
            links.send(entry, KeyQuestions.frame(request, ask.key()));
        }
        keyQuestions.open(requests, ask.nobodyHas(), parts.clock().nanos());
    }

    // Also names entries that came and ended between two reads of the members, and so were never in the view.
    private Set<Incarnation> endedEntries(MemberList view) {
        return view.ended().stream()
                .filter(over -> over.mayBeEntry() && !over.id().processId().equals(parts.self()))
                .map(EndedMember::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    // An entry that left may have claimed the key after this one last read the claims, and run its job. Nobody else
    // need know of that, so that the answers of those who stayed prove nothing.
    private boolean hasOneLeftSince(long sinceNanos) {
        return departureNanos != null && departureNanos - sinceNanos >= 0;
    }

    private void onCancel(PeerCommand.CancelJob cancel) {
        keep(cancel.coordinator());
        Frame frame = Frame.newBuilder()
                .setCancel(Cancel.newBuilder().addJobIds(cancel.job().text()))
                .build();
        links.send(cancel.coordinator().processId(), frame);
    }

    // The view may name a newer address of the process than an old claim does, so the claim's is only used when the
    // view names none.
    private void keep(Coordinator coordinator) {
        if (links.processes().contains(coordinator.processId())) {
            return;
        }
        Address address = new Address(coordinator.host(), coordinator.port());
        links.keep(coordinator.processId(), address, parts.clock().nanos());
    }

    private void onView(MemberList view) {
        Set<String> named = new HashSet<>();
        for (Member entry : view.entries()) {
            if (entry.processId().equals(parts.self())) {
                continue;
            }
            named.add(entry.processId());
            links.keep(entry.processId(), entry.address(), parts.clock().nanos());
        }
        Set<Incarnation> over = endedEntries(view);
        if (!named.containsAll(viewed) || !ended.containsAll(over)) {
            departureNanos = parts.clock().nanos();
        }
        viewed = Set.copyOf(named);
        ended = over;
        dropUnwanted();
    }

    private void onAskSuspicion(PeerCommand.AskSuspicion ask) {
        long request = parts.requestIds().getAsLong();
        SuspicionQuery query = SuspicionQuery.newBuilder()
                .setProcessId(ask.suspect().processId())
                .setIncarnation(ask.suspect().incarnation())
                .build();
        Frame frame = Frame.newBuilder()
                .setRequestId(request)
                .setSuspicionQuery(query)
                .build();
        if (links.send(ask.entry().processId(), frame)) {
            suspicions.put(request, ask.suspect());
        }
        if (suspicions.size() > MOST_SUSPICIONS) {
            suspicions.pollFirstEntry();
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

    private void dropUnwanted() {
        for (String processId : links.processes()) {
            if (!viewed.contains(processId) && !awaits(processId)) {
                links.drop(processId, "not a member");
            }
        }
    }

    private void onTick() {
        long now = parts.clock().nanos();
        links.tick(now, this::awaits);
        keyQuestions.expire(now);
        probes.expire(now);
        pulls.due(now).forEach(links::send);
        if (pulls.asksAll(now)) {
            links.processes().forEach(processId -> links.send(processId, heartbeat()));
        }
        for (Question question : questions.values()) {
            if (question.dueAgain && now - question.askAt >= 0) {
                send(question);
            }
        }
    }

    private void send(Question question) {
        question.dueAgain = false;
        Frame frame = Frame.newBuilder()
                .setAttach(Attach.newBuilder().setJobId(question.job.text()).setKey(question.key))
                .build();
        links.send(question.coordinator.processId(), frame);
    }

    private boolean awaits(String processId) {
        return questions.values().stream()
                .anyMatch(question -> question.coordinator.processId().equals(processId));
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
        MemberRecords.ofHello(hello).ifPresent(member -> parts.members().accept(new MembershipEvent.Reached(member)));
        questions.values().stream()
                .filter(question -> question.coordinator.processId().equals(hello.getProcessId()))
                .forEach(this::send);
    }

    @Override
    public void down(Hello hello, String reason) {
        // Questions are asked again on the next connection.
        parts.observer().down(hello, reason);
        pulls.lost(hello.getProcessId());
        parts.members().accept(new MembershipEvent.Lost(idOf(hello)));
    }

    @Override
    public void stranger(Hello hello) {
        parts.introduced().accept(hello);
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
        if (!keyQuestions.answered(request, answer.getKnown(), parts.clock().nanos())) {
            onAnswer(answer);
        }
    }

    private void onSuspicionAnswer(Hello sender, Frame frame) {
        Incarnation suspect = suspicions.remove(frame.getRequestId());
        if (suspect != null) {
            boolean alive = frame.getSuspicionAnswer().getAlive();
            parts.members().accept(new MembershipEvent.Answered(suspect, idOf(sender), alive));
        }
    }

    private static Incarnation idOf(Hello hello) {
        return new Incarnation(hello.getProcessId(), hello.getIncarnation());
    }

    private void onAnswer(JobAnswer answer) {
        Question question = answer.getJobId().isEmpty() ? null : questions.get(new JobId(answer.getJobId()));
        if (question == null) {
            return;
        }
        if (!answer.getKnown()) {
            question.dueAgain = true;
            question.askAt = parts.clock().nanos() + ASK_AGAIN_NANOS;
            return;
        }
        questions.remove(question.job);
        parts.answered().accept(question.job, read(answer));
    }

    private static JobOutcome read(JobAnswer answer) {
        try {
            return OutcomeDocument.read(answer.getOutcome());
        } catch (IllegalArgumentException malformed) {
            LOGGER.atWarning().withCause(malformed).log(
                    "%s", EventLine.of("peer-answer-malformed").with("job", answer.getJobId()));
            return new JobOutcome.Failure(
                    ErrorCode.INTERNAL, Certainty.UNKNOWN, "another entry's answer can't be read", List.of(), 0);
        }
    }

    private static final class Question {
        private final Coordinator coordinator;
        private final JobId job;
        private final String key;
        private boolean dueAgain;
        private long askAt;

        private Question(Coordinator coordinator, JobId job, String key) {
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
     * @param answered takes outcomes
     * @param introduced takes introductions of processes found at another's address
     * @param observer told of the links as well; must not block
     * @param requestIds request ids of this process, never repeated
     * @param members takes what connections say of members
     * @param configuration what other entries may have newer
     * @param membersRead whether the members are known as the log has them
     */
    public record Parts(
            String self,
            Function<Consumer<LinkSignal>, LinkSet.Wiring> wiring,
            HeartbeatSettings heartbeats,
            BiConsumer<JobId, JobOutcome> answered,
            Consumer<Hello> introduced,
            LinkObserver observer,
            LongSupplier requestIds,
            Consumer<MembershipEvent> members,
            ConfigurationExchange configuration,
            BooleanSupplier membersRead,
            NanoClock clock) {}
}
