package org.chivetally.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.Props;
import org.chivetally.claim.Claim;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.dispatch.DispatchActor;
import org.chivetally.entry.dispatch.DispatchCommand;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.entry.link.Dialer;
import org.chivetally.entry.link.LinkObserver;
import org.chivetally.entry.link.LinkSet;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.link.ObservedProcess;
import org.chivetally.entry.link.ObservedProcesses;
import org.chivetally.entry.link.Observers;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberActor;
import org.chivetally.entry.member.MemberList;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.entry.member.MembershipEffect;
import org.chivetally.entry.member.MembershipEvent;
import org.chivetally.entry.member.MembershipSettings;
import org.chivetally.entry.peer.PeerActor;
import org.chivetally.entry.peer.PeerCommand;
import org.chivetally.entry.submission.Dispatch;
import org.chivetally.entry.submission.Peers;
import org.chivetally.entry.submission.SubmissionActor;
import org.chivetally.entry.submission.SubmissionCommand;
import org.chivetally.entry.submission.SubmissionSettings;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.log.PlatformLog;
import org.chivetally.time.NanoClock;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** The actors of one entry and the ways between them. */
final class EntryActors {
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofMinutes(10);

    private final ActorSystem<?> system;
    private final Parts parts;
    private final Observers observers = new Observers();
    private final ObservedProcesses observed;
    private final Set<AgentId> usableAgents = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean membersRead = new AtomicBoolean();
    private final AtomicBoolean logReachable = new AtomicBoolean(true);
    // Actors that tell each other are made one after the other; the ways to later ones are open once those are made.
    private final CompletableFuture<ActorRef<DispatchCommand>> dispatch = new CompletableFuture<>();
    private final CompletableFuture<ActorRef<PeerCommand>> peers = new CompletableFuture<>();
    private final CompletableFuture<ActorRef<MemberActor.Command>> members = new CompletableFuture<>();
    private final ActorRef<SubmissionCommand> submissions;
    private final ActorRef<ActorGuard.Command> guard;
    private final CompletableFuture<Void> failure = new CompletableFuture<>();

    EntryActors(ActorSystem<?> system, Parts parts) {
        this.system = system;
        this.parts = parts;
        this.observed = new ObservedProcesses(parts.clock());
        observers.add(observed);
        this.guard = system.systemActorOf(
                ActorGuard.create(failure), "guard-" + parts.member().incarnation(), Props.empty());
        this.submissions = spawn("submissions", SubmissionActor.create(submissionParts()));
        this.dispatch.complete(spawn("dispatch", DispatchActor.create(dispatchParts())));
        this.peers.complete(spawn("peers", PeerActor.create(peerParts())));
        this.members.complete(spawn("members", MemberActor.create(memberParts())));
        parts.claims().onReplaced(this::replaced);
        parts.claims()
                .onLeaseExtended(
                        until -> dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.LeaseExtended(until))));
    }

    ActorRef<SubmissionCommand> submissions() {
        return submissions;
    }

    boolean membersRead() {
        return membersRead.get();
    }

    /** Tells whether the last read of the members' records succeeded. */
    boolean logReachable() {
        return logReachable.get();
    }

    Set<AgentId> usableAgents() {
        return usableAgents;
    }

    /** Returns what was last heard of each linked process. */
    List<ObservedProcess> observed() {
        return observed.all();
    }

    /** Tells an observer of all links from now on. */
    void observe(LinkObserver observer) {
        observers.add(observer);
    }

    /** Sends a frame to a linked agent or entry; lost when it can't be reached now. */
    void send(String processId, Frame frame) {
        dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.Send(processId, frame)));
        peers.thenAccept(actor -> actor.tell(new PeerCommand.Send(processId, frame)));
    }

    /** Hands an event to the dispatcher. */
    void tell(DispatchEvent event) {
        dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.Event(event)));
    }

    /** Asks a member for a sign of life over this entry's connection to it, and tells whether it came. */
    void probe(Incarnation member, Consumer<Boolean> alive) {
        if (member.processId().equals(parts.member().processId())) {
            alive.accept(member.incarnation().equals(parts.member().incarnation()));
            return;
        }
        // One of the two has connections to agents, the other to entries.
        dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.Probe(member, found -> {
            if (found) {
                alive.accept(true);
                return;
            }
            peers.thenAccept(other -> other.tell(new PeerCommand.Probe(member, alive)));
        })));
    }

    /** Gives the members known here. */
    void membersTo(Consumer<List<Member>> reply) {
        tellMembers(new MemberActor.ListMembers(reply));
    }

    /** Notes a process that introduced itself. */
    void introduced(Hello hello) {
        boolean self = hello.getProcessId().equals(parts.member().processId());
        if (!self) {
            MemberRecords.ofHello(hello).ifPresent(member -> learn(new MembershipEvent.Introduced(member)));
        }
    }

    /** Takes no new submissions; completes once nothing is in progress. */
    CompletableFuture<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        submissions.tell(new SubmissionCommand.Drain(drained));
        return drained;
    }

    /** Says in the log that this process stops. */
    CompletableFuture<Void> leave() {
        guard.tell(new ActorGuard.Stop());
        CompletableFuture<Void> left = new CompletableFuture<>();
        tellMembers(new MemberActor.Leave(left));
        return left;
    }

    /** Returns a stage that completes exceptionally when an actor ends by a broken invariant, and never otherwise. */
    CompletionStage<Void> failure() {
        return failure;
    }

    /** Ends the actors that {@link #leave} has not, and with them their connections. */
    void stop() {
        dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.Stop()));
        peers.thenAccept(actor -> actor.tell(new PeerCommand.Stop()));
        submissions.tell(new SubmissionCommand.Stop());
    }

    // Whoever waits for the job is attached to its new coordinator first; the dispatcher's own outcome, that the job is
    // lost here, then finds nobody to tell.
    private void replaced(Claim successor) {
        submissions.tell(new SubmissionCommand.Replaced(successor));
        tell(new DispatchEvent.JobTakenOver(successor.job()));
    }

    private void tellMembers(MemberActor.Command command) {
        members.thenAccept(actor -> actor.tell(command));
    }

    private CompletionStage<Boolean> catchUpMembers() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        tellMembers(new MemberActor.CatchUp(done));
        return done;
    }

    private void learn(MembershipEvent event) {
        tellMembers(new MemberActor.Event(event));
    }

    private void carryOut(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.Ask ask ->
                peers.thenAccept(actor -> actor.tell(new PeerCommand.QuerySuspicion(ask.entry(), ask.suspect())));
            default -> dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.Membership(effect)));
        }
    }

    private void publish(MemberList view) {
        dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.MembersChanged(view)));
        peers.thenAccept(actor -> actor.tell(new PeerCommand.MembersChanged(view)));
    }

    private <T> ActorRef<T> spawn(String name, Behavior<T> behavior) {
        ActorRef<T> actor =
                system.systemActorOf(behavior, name + "-" + parts.member().incarnation(), Props.empty());
        guard.tell(new ActorGuard.Watch(actor));
        return actor;
    }

    private SubmissionActor.Parts submissionParts() {
        SubmissionSettings settings = new SubmissionSettings(
                parts.settings().claims().window(), parts.settings().limits().maximumKeptBytes());
        return new SubmissionActor.Parts(
                parts.self(),
                settings,
                parts.claims(),
                new ActorDispatch(),
                new ActorPeers(),
                parts.extension().policies(),
                this::catchUpMembers,
                parts.jobIds(),
                parts.clock(),
                parts.time(),
                this::measure);
    }

    private void measure(JobOutcome outcome, long nanos) {
        String state = switch (outcome) {
            case JobOutcome.Complete complete -> "complete";
            case JobOutcome.Failure failure -> failure.code().text();
        };
        parts.meters().timer("chivetally.job.time", "state", state).record(Duration.ofNanos(nanos));
    }

    private MemberActor.Parts memberParts() {
        return new MemberActor.Parts(
                parts.log(),
                parts.clock(),
                parts.member(),
                MembershipSettings.standard(parts.settings().claims().window()),
                ANNOUNCE_INTERVAL,
                this::publish,
                this::carryOut,
                () -> membersRead.set(true),
                logReachable::set,
                new Introduction(system, parts, this::introduced)::dialSeeds);
    }

    private DispatchActor.Parts dispatchParts() {
        return new DispatchActor.Parts(
                parts.self().processId(),
                parts.core(),
                this::wiring,
                parts.settings().heartbeats(),
                parts.claims()::holdsLease,
                (job, outcome) -> submissions.tell(new SubmissionCommand.JobFinished(job, outcome)),
                this::introduced,
                this::learn,
                service -> parts.extension().policies().service(service).idempotent(),
                parts.extension().configuration(),
                usableAgents,
                observers,
                parts.meters(),
                parts.clock());
    }

    private PeerActor.Parts peerParts() {
        return new PeerActor.Parts(
                parts.self().processId(),
                this::wiring,
                parts.settings().heartbeats(),
                (job, outcome) -> submissions.tell(new SubmissionCommand.PeerAnswered(job, outcome)),
                this::introduced,
                observers,
                parts.requestIds()::incrementAndGet,
                this::learn,
                parts.extension().configuration(),
                membersRead::get,
                parts.clock());
    }

    private LinkSet.Wiring wiring(Consumer<LinkSignal> signals) {
        return new LinkSet.Wiring(
                parts.dialer(),
                parts.hello(),
                parts.requestIds()::incrementAndGet,
                parts.extension().configuration()::version,
                new SplittableRandom(),
                signals);
    }

    private final class ActorDispatch implements Dispatch {
        @Override
        public void tell(DispatchEvent event) {
            EntryActors.this.tell(event);
        }

        @Override
        public void afterwards(Runnable then) {
            dispatch.thenAccept(actor -> actor.tell(new DispatchCommand.RunAfterEvents(then)));
        }
    }

    private final class ActorPeers implements Peers {
        @Override
        public void ask(Coordinator coordinator, JobId job, String key) {
            tellPeers(new PeerCommand.QueryOutcome(coordinator, job, key));
        }

        @Override
        public void forget(JobId job) {
            tellPeers(new PeerCommand.CancelOutcomeQuery(job));
        }

        @Override
        public CompletionStage<Boolean> nobodyHas(SubmissionKey key, long sinceNanos) {
            CompletableFuture<Boolean> answer = new CompletableFuture<>();
            tellPeers(new PeerCommand.QueryKey(key, sinceNanos, answer));
            return answer;
        }

        @Override
        public void cancel(Coordinator coordinator, JobId job) {
            tellPeers(new PeerCommand.CancelJob(coordinator, job));
        }

        private void tellPeers(PeerCommand command) {
            peers.thenAccept(actor -> actor.tell(command));
        }
    }

    /**
     * What the actors work with.
     *
     * @param member this process as a member
     * @param hello makes this process's introduction
     * @param requestIds counts request ids of this process
     */
    record Parts(
            EntrySettings settings,
            EntryExtension extension,
            Coordinator self,
            Member member,
            Claims claims,
            DispatchCore core,
            PlatformLog log,
            Dialer dialer,
            Supplier<Hello> hello,
            AtomicLong requestIds,
            Supplier<JobId> jobIds,
            MeterRegistry meters,
            NanoClock clock,
            InstantSource time) {}
}
