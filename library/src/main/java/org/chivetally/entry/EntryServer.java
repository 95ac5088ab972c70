package org.chivetally.entry;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.Materializer;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.LogClaims;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.coordination.DispatchSnapshot;
import org.chivetally.coordination.Dispatcher;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.entry.http.EntryRoutes;
import org.chivetally.entry.http.JobRoutes;
import org.chivetally.entry.http.OperationRoutes;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.LinkObserver;
import org.chivetally.entry.link.ObservedProcess;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberCapacity;
import org.chivetally.entry.peer.InboundFrames;
import org.chivetally.entry.submission.ActorJobs;
import org.chivetally.entry.submission.JobIds;
import org.chivetally.entry.submission.Waits;
import org.chivetally.job.TeamPolicy;
import org.chivetally.log.PlatformLog;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import scala.concurrent.duration.FiniteDuration;

/** One running entry: its HTTP server, its frames' listener and its actors. */
public final class EntryServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TERMINATION_LIMIT = Duration.ofSeconds(10);
    private static final Duration LEAVE_LIMIT = Duration.ofSeconds(3);
    private static final int IDLE_MINUTES = 11;
    private static final int BACKLOG = 1_024;

    private final ActorSystem<?> system;
    private final EntrySettings settings;
    private final EntryActors actors;
    private final Claims claims;
    private final ServerBinding binding;
    private final InetSocketAddress frameAddress;
    private final AtomicBoolean draining;
    private final Waits waits;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    private EntryServer(Started started, ServerBinding binding) {
        this.system = started.system();
        this.settings = started.actorParts().settings();
        this.actors = started.actors();
        this.claims = started.actorParts().claims();
        this.frameAddress = started.frameAddress();
        this.draining = started.draining();
        this.waits = new Waits(system);
        this.binding = binding;
        actors.failure().exceptionally(failure -> {
            fail(failure);
            return null;
        });
    }

    /** Starts an entry of which nothing is declared and to which nothing is added. */
    public static CompletionStage<EntryServer> start(
            ActorSystem<?> system,
            EntrySettings settings,
            PlatformLog log,
            FrameTransport transport,
            MeterRegistry meters,
            NanoClock clock) {
        return start(system, settings, log, transport, meters, clock, EntryExtension.none());
    }

    /** Starts an entry with its claims in the log. */
    public static CompletionStage<EntryServer> start(
            ActorSystem<?> system,
            EntrySettings settings,
            PlatformLog log,
            FrameTransport transport,
            MeterRegistry meters,
            NanoClock clock,
            EntryExtension extension) {
        Decisions decisions = loggedDecisions(system, settings, log, clock, meters);
        return start(system, settings, log, transport, meters, clock, extension, decisions);
    }

    /** Returns the usual parts that decide: claims in the log, and the dispatcher of the settings. */
    public static Decisions loggedDecisions(
            ActorSystem<?> system, EntrySettings settings, PlatformLog log, NanoClock clock, MeterRegistry meters) {
        return new LoggedDecisions(system, settings, log, clock, meters);
    }

    /**
     * Starts an entry.
     *
     * @param transport carries frames; shared with others, and left open when the entry stops
     * @param decisions makes the parts that decide, from this entry's incarnation and its address
     * @return the entry once it listens; exceptionally when an address can't be bound
     */
    public static CompletionStage<EntryServer> start(
            ActorSystem<?> system,
            EntrySettings settings,
            PlatformLog log,
            FrameTransport transport,
            MeterRegistry meters,
            NanoClock clock,
            EntryExtension extension,
            Decisions decisions) {
        LateListener listener = new LateListener();
        Address frames = settings.frames();
        return transport.listen(frames.host(), frames.port(), listener).thenCompose(bound -> {
            EntryActors.Parts parts =
                    actorParts(settings, log, transport, meters, clock, extension, decisions, bound.getPort());
            Started started = new Started(system, parts, new EntryActors(system, parts), bound, new AtomicBoolean());
            listener.open(inbound(started));
            return bindHttp(started);
        });
    }

    /** Returns where callers and operators are served. */
    public InetSocketAddress httpAddress() {
        return binding.localAddress();
    }

    /** Returns where other processes are served. */
    public InetSocketAddress frameAddress() {
        return frameAddress;
    }

    /** Returns what this entry last heard of each agent and other entry that it is linked with. */
    public List<ObservedProcess> processes() {
        return actors.observed();
    }

    /** Tells an observer of all links to agents and entries, on their threads; it must not block. */
    public void observe(LinkObserver observer) {
        actors.observe(observer);
    }

    /** Sends a frame to a linked agent or entry; lost when it can't be reached now. */
    public void send(String processId, Frame frame) {
        actors.send(processId, frame);
    }

    /** Passes on that a team's limits changed. */
    public void teamChanged(TeamPolicy team) {
        actors.tell(new DispatchEvent.TeamChanged(team));
    }

    /**
     * Stops without cutting a request: readiness fails at once and new submissions are refused as not run; requests and
     * jobs in progress end, within a limit; then the claims' lease and the membership are given up.
     *
     * @return completes once the entry has stopped; the same stage for every call
     */
    public CompletionStage<Void> drain(String reason) {
        if (!draining.compareAndSet(false, true)) {
            return drained;
        }
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("entry-draining")
                        .with("process", settings.processId())
                        .with("reason", reason));
        waits.within(settings.limits().drainNotice(), new CompletableFuture<>())
                .thenCompose(noticed -> waits.within(settings.limits().drainLimit(), actors.drain()))
                .thenCompose(idle -> binding.terminate(TERMINATION_LIMIT))
                .thenCompose(terminated -> waits.within(LEAVE_LIMIT, claims.depart()))
                .thenCompose(departed -> waits.within(LEAVE_LIMIT, actors.leave()))
                .whenComplete((left, failure) -> stop(failure));
        return drained;
    }

    /** Completes when the entry has stopped, exceptionally when a broken invariant ended it. */
    public CompletionStage<Void> whenStopped() {
        return drained.minimalCompletionStage();
    }

    private void fail(Throwable failure) {
        LOGGER.atSevere().withCause(failure).log(
                "%s", EventLine.of("entry-failed").with("process", settings.processId()));
        draining.set(true);
        actors.leave();
        actors.stop();
        binding.terminate(TERMINATION_LIMIT);
        drained.completeExceptionally(failure);
    }

    private void stop(Throwable failure) {
        if (failure != null) {
            LOGGER.atWarning().withCause(failure).log("%s", EventLine.of("entry-drain-failed"));
        }
        actors.stop();
        LOGGER.atInfo().log("%s", EventLine.of("entry-stopped").with("process", settings.processId()));
        drained.complete(null);
    }

    private static EntryActors.Parts actorParts(
            EntrySettings settings,
            PlatformLog log,
            FrameTransport transport,
            MeterRegistry meters,
            NanoClock clock,
            EntryExtension extension,
            Decisions decisions,
            int boundPort) {
        String incarnation = UUID.randomUUID().toString();
        int port = settings.advertised().port() == 0
                ? boundPort
                : settings.advertised().port();
        Address address = new Address(settings.advertised().host(), port);
        Coordinator self = new Coordinator(settings.processId(), incarnation, address.host(), address.port());
        Member member = new Member(
                settings.processId(),
                incarnation,
                Member.ENTRY,
                address,
                settings.failureDomain(),
                "",
                "",
                MemberCapacity.NONE);
        InstantSource time = InstantSource.system();
        return new EntryActors.Parts(
                settings,
                extension,
                self,
                member,
                decisions.claims(self),
                decisions.core(self),
                log,
                transport::dial,
                () -> hello(member, extension),
                new AtomicLong(),
                new JobIds(time, new SecureRandom()),
                meters,
                clock,
                time);
    }

    private static Hello hello(Member member, EntryExtension extension) {
        return Hello.newBuilder()
                .setProcessId(member.processId())
                .setIncarnation(member.incarnation())
                .setFailureDomain(member.failureDomain())
                .setRole(Member.ENTRY)
                .setConfigurationVersion(extension.configuration().version())
                .setListenHost(member.address().host())
                .setListenPort(member.address().port())
                .build();
    }

    private static InboundFrames inbound(Started started) {
        EntryActors actors = started.actors();
        EntryActors.Parts parts = started.actorParts();
        return new InboundFrames(new InboundFrames.Parts(
                parts.hello(),
                parts.requestIds()::incrementAndGet,
                actors::introduced,
                command -> actors.submissions().tell(command),
                actors::probe,
                actors::membersTo,
                parts.extension().configuration(),
                started.system().executionContext()));
    }

    private static CompletionStage<EntryServer> bindHttp(Started started) {
        EntrySettings settings = started.actorParts().settings();
        JobRoutes jobs = jobRoutes(started);
        Gauge.builder("chivetally.agents.usable", started.actors().usableAgents()::size)
                .description("agents with an open connection that is not silent")
                .tag("process", settings.processId())
                .register(started.actorParts().meters());
        Gauge.builder("chivetally.submissions.open", jobs::openSubmissions)
                .tag("process", settings.processId())
                .register(started.actorParts().meters());
        List<Route> routes = new ArrayList<>();
        routes.add(jobs.route());
        routes.add(new OperationRoutes(started.actorParts().meters(), () -> missing(started)).route());
        routes.addAll(started.actorParts().extension().routes());
        return Http.get(started.system())
                .newServerAt(settings.http().host(), settings.http().port())
                .withSettings(serverSettings(started))
                .bind(new EntryRoutes().combine(routes).handler(started.system()))
                .thenApply(binding -> started(started, binding));
    }

    private static EntryServer started(Started started, ServerBinding binding) {
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("entry-started")
                        .with("process", started.actorParts().self().processId())
                        .with("incarnation", started.actorParts().self().incarnation())
                        .with("http", binding.localAddress())
                        .with("frames", started.frameAddress()));
        return new EntryServer(started, binding);
    }

    private static JobRoutes jobRoutes(Started started) {
        EntryActors.Parts parts = started.actorParts();
        EntryLimits limits = parts.settings().limits();
        Waits waits = new Waits(started.system());
        return new JobRoutes(new JobRoutes.Parts(
                parts.self().processId(),
                new ActorJobs(waits, started.actors().submissions(), parts.clock()),
                parts.extension().policies(),
                () -> UUID.randomUUID().toString(),
                waits,
                limits.maximumBodyBytes(),
                limits.maximumOpenSubmissions(),
                started.system().executionContext(),
                Materializer.matFromSystem(started.system())));
    }

    // A held request sends and receives nothing until its answer. The server's usual time limits would close its
    // connection after 20 to 60 seconds and the caller would take a running job for lost; they are set above the
    // longest wait.
    private static ServerSettings serverSettings(Started started) {
        ServerSettings usual = ServerSettings.create(started.system().classicSystem());
        FiniteDuration longest = FiniteDuration.apply(IDLE_MINUTES, "minutes");
        return usual.withTimeouts(usual.getTimeouts().withIdleTimeout(longest).withRequestTimeout(longest))
                .withMaxConnections(started.actorParts().settings().limits().maximumConnections())
                .withBacklog(BACKLOG);
    }

    private static List<String> missing(Started started) {
        List<String> reasons =
                new ArrayList<>(started.actorParts().extension().missing().get());
        if (started.draining().get()) {
            reasons.add("stopping");
        }
        // While the log is down nothing can be read to its end. An entry that got configuration and members from its
        // peers serves reads and what may be claimed in memory, and refuses all else as not run.
        boolean outage = !started.actors().logReachable();
        if (!outage && !started.actorParts().claims().caughtUp()) {
            reasons.add("claims are not read to their end yet");
        }
        if (!outage && !started.actors().membersRead()) {
            reasons.add("members are not read to their end yet");
        }
        if (started.actors().usableAgents().isEmpty()) {
            reasons.add("no agent can be reached");
        }
        return reasons;
    }

    /** Makes the parts of an entry that decide. */
    public interface Decisions {
        /** Makes the claims of this incarnation. */
        Claims claims(Coordinator self);

        /** Makes the decisions about jobs of this incarnation. */
        DispatchCore core(Coordinator self);
    }

    private record LoggedDecisions(
            ActorSystem<?> system, EntrySettings settings, PlatformLog log, NanoClock clock, MeterRegistry meters)
            implements Decisions {
        @Override
        public Claims claims(Coordinator self) {
            return LogClaims.start(system, log, settings.claims(), self, clock, meters);
        }

        @Override
        public DispatchCore core(Coordinator self) {
            return new DispatcherCore(new Dispatcher(settings.dispatch(), new SecureRandom().nextLong()));
        }
    }

    private record DispatcherCore(Dispatcher dispatcher) implements DispatchCore {
        @Override
        public List<DispatchEffect> handle(DispatchEvent event, long nowNanos) {
            return dispatcher.handle(event, nowNanos);
        }

        @Override
        public Optional<DispatchSnapshot> snapshot() {
            return Optional.of(dispatcher.snapshot());
        }
    }

    private record Started(
            ActorSystem<?> system,
            EntryActors.Parts actorParts,
            EntryActors actors,
            InetSocketAddress frameAddress,
            AtomicBoolean draining) {}
}
