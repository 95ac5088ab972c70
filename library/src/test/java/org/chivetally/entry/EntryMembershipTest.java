package org.chivetally.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import org.chivetally.agent.AgentCallbacks;
import org.chivetally.agent.AgentConfiguration;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentServer;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.MemoryClaims;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberCapacity;
import org.chivetally.entry.member.MemberRecord;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.entry.submission.UndeclaredPolicies;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.log.LogFaults;
import org.chivetally.log.NewRecord;
import org.chivetally.log.ReadOutcome;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.resource.ConfigurationSnapshot;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.transport.FrameTransport;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What an entry's dispatcher learns of members, over the real actors and a log in memory. */
@Timeout(60)
class EntryMembershipTest {
    private static final String JOB = "{\"service\":\"routing\",\"tasks\":[{\"payload\":1}]}";

    private final EntryFixture fixture = new EntryFixture();
    private final ScriptedCore core = new ScriptedCore();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void entryStartedLaterLearnsOfAgentsThatEndedBefore() {
        // An agent ran a task and was replaced; then the coordinator died, and an entry that started after all this
        // takes the job over. The agent's new incarnation knows nothing of the task. Unless the dispatcher hears of
        // the old one, it takes that for "never started", and the task starts twice.
        append(new MemberRecord.Announce(agent("1")));
        append(new MemberRecord.Announce(agent("2")));
        start();
        AgentId old = new AgentId("agent-1", "1");
        EntryFixture.until(() -> !core.events(DispatchEvent.AgentGone.class).isEmpty());
        assertThat(core.events(DispatchEvent.AgentGone.class), contains(new DispatchEvent.AgentGone(old)));
    }

    @Test
    void agentKnownByItsIntroductionOnlyGetsNothingThatMustRunOnce() {
        // The log is down, and an agent that starts can only introduce itself. It gets a task of a job claimed
        // earlier; then it dies, and the coordinator too. Whoever takes the job over once the log is back has no
        // record of the agent, asks all others, and starts the task again. So it gets nothing before its record
        // stands in the log.
        Agent agent = new Agent("agent-1", AgentCallbacks.none());
        EntryServer entry = start();
        agent.introduceTo(entry);
        AgentId id = new AgentId("agent-1", agent.server.incarnation());
        EntryFixture.until(
                () -> named().contains(id) && fixture.get(entry, "/readyz").statusCode() == 200);
        assertThat(core.events(DispatchEvent.AgentConnected.class), empty());
        agent.announce();
        EntryFixture.until(
                () -> !core.events(DispatchEvent.AgentConnected.class).isEmpty());
    }

    @Test
    void agentThatTwoFailureDomainsLoseIsDeclaredGoneAndNotTakenForDead() {
        // An agent's process dies without a word. Entries of two failure domains lose it at once and stop using it.
        // They agree, one writes a record, and all drop it; as it might be paused only, its work stays in doubt.
        Agent agent = new Agent("agent-1", AgentCallbacks.none());
        agent.announce();
        start();
        fixture.start(EntryFixture.settings("entry-2", "south", List.of()), EntryExtension.none());
        EntryFixture.until(
                () -> !core.events(DispatchEvent.AgentConnected.class).isEmpty());
        agent.die();
        EntryFixture.until(
                () -> !core.events(DispatchEvent.AgentPresumedGone.class).isEmpty());
        assertThat(records(MemberRecord.Gone.class), hasSize(1));
        assertThat(core.events(DispatchEvent.AgentUnreachable.class), not(empty()));
        assertThat(core.events(DispatchEvent.AgentGone.class), empty());
    }

    @Test
    void agentDeclaredGoneByMistakeIsToldAndAnnouncesItselfAnew() {
        // An agent's process was paused; two entries agreed that it is gone, and it has resumed. This entry reaches
        // it, tells it, and the new announcement brings it back for all; without, it would wait for work that nobody
        // sends.
        StubSurroundings surroundings = new StubSurroundings();
        Agent agent = new Agent("agent-1", surroundings);
        surroundings.announcer = agent.announce();
        start();
        EntryFixture.until(
                () -> !core.events(DispatchEvent.AgentConnected.class).isEmpty());
        append(new MemberRecord.Gone("agent-1", agent.server.incarnation(), "entry-2"));
        EntryFixture.until(() -> records(MemberRecord.Announce.class).stream()
                        .filter(record -> record.member().processId().equals("agent-1"))
                        .count()
                == 2);
        assertThat(core.events(DispatchEvent.AgentGone.class), empty());
    }

    @Test
    void configurationIsBroughtToAgentsAndTheirVersionIsShown() {
        StubConfiguration configuration = new StubConfiguration(7);
        EntryExtension extension = new EntryExtension(new UndeclaredPolicies(), List.of(), List::of, configuration);
        StubSurroundings surroundings = new StubSurroundings();
        Agent agent = new Agent("agent-1", surroundings);
        agent.announce();
        EntryServer entry = fixture.start(EntryFixture.settings("entry-1"), extension);
        EntryFixture.until(() -> entry.processes().stream().anyMatch(process -> process.configurationVersion() == 7));
        assertThat(surroundings.offered, contains(7L));
        configuration.version = 9;
        EntryFixture.until(() -> entry.processes().stream().anyMatch(process -> process.configurationVersion() == 9));
        assertThat(surroundings.offered, contains(7L, 9L));
    }

    @Test
    void entryStartedInAnOutageTakesMembersAndConfigurationFromASeed() {
        // The log is down when an entry is replaced. It can read neither members nor configuration, and would refuse
        // all until the log is back; its settings name an entry that knows both.
        Agent agent = new Agent("agent-1", AgentCallbacks.none());
        agent.announce();
        EntryExtension ahead =
                new EntryExtension(new UndeclaredPolicies(), List.of(), List::of, new StubConfiguration(7));
        EntryServer seed = fixture.start(EntryFixture.settings("entry-1"), ahead);
        fixture.awaitReady(seed);
        fixture.log.setFaults(LogFaults.NONE.withDown(true));
        StubConfiguration behind = new StubConfiguration(0);
        EntryExtension extension = new EntryExtension(new RepeatablePolicies(), List.of(), List::of, behind);
        Address seedAddress =
                new Address(EntryFixture.LOOPBACK, seed.frameAddress().getPort());
        EntryServer late = fixture.start(EntryFixture.settings("entry-2", "south", List.of(seedAddress)), extension);
        fixture.awaitReady(late);
        EntryFixture.until(() -> behind.version == 7);
        String answer = fixture.submit(late, "key", JOB).body();
        assertThat(answer, containsString("\"answers\":[1]"));
    }

    private List<AgentId> named() {
        return core.events(DispatchEvent.AgentNamed.class).stream()
                .map(DispatchEvent.AgentNamed::agent)
                .toList();
    }

    private <T extends MemberRecord> List<T> records(Class<T> type) {
        ReadOutcome read = EntryFixture.join(fixture.log.read(MemberRecords.STREAM, 0, 1_000, Duration.ZERO));
        return ((ReadOutcome.Records) read)
                .records().stream()
                        .flatMap(record -> MemberRecords.read(record.payload()).stream())
                        .filter(type::isInstance)
                        .map(type::cast)
                        .toList();
    }

    private void append(MemberRecord record) {
        NewRecord written = new NewRecord(UUID.randomUUID().toString(), MemberRecords.write(record));
        EntryFixture.join(fixture.log.append(MemberRecords.STREAM, List.of(written)));
    }

    private EntryServer start() {
        return fixture.start("entry-1", new Scripted(core));
    }

    private static Member agent(String incarnation) {
        return new Member(
                "agent-1",
                incarnation,
                Member.AGENT,
                new Address(EntryFixture.LOOPBACK, 9),
                "south",
                "routing",
                "minion-1",
                MemberCapacity.NONE);
    }

    private record Scripted(ScriptedCore core) implements EntryServer.Decisions {
        @Override
        public Claims claims(Coordinator self) {
            return new MemoryClaims(
                    self, EntryFixture.settings("entry-1").claims().window(), NanoClock.system());
        }

        @Override
        public DispatchCore core(Coordinator self) {
            return core;
        }
    }

    /** An agent beside a minion that echoes. */
    private final class Agent {
        private final FrameTransport transport = new FrameTransport(new SimpleMeterRegistry());
        private final AgentServer server;

        private Agent(String name, AgentCallbacks surroundings) {
            AgentSettings settings = new AgentSettings(
                    name,
                    "east",
                    EntryFixture.LOOPBACK,
                    0,
                    EntryFixture.LOOPBACK,
                    0,
                    "routing",
                    "minion-1",
                    new MinionCapacity(8, 64, 0, 0, 0),
                    new EchoMinion(fixture.kit.system()).base(),
                    new MinionStateSource.Native(),
                    AgentLimits.forSlots(8));
            server = EntryFixture.join(AgentServer.start(
                    fixture.kit.system(), settings, transport, fixture.meters, NanoClock.system(), surroundings));
        }

        private MemberAnnouncer announce() {
            return new MemberAnnouncer(
                    fixture.kit.system(), fixture.log, server.member(), MemberAnnouncer.DEFAULT_INTERVAL);
        }

        private void introduceTo(EntryServer entry) {
            Hello hello = Hello.newBuilder()
                    .setProcessId(server.member().processId())
                    .setIncarnation(server.incarnation())
                    .setRole(Member.AGENT)
                    .setFailureDomain("east")
                    .setListenHost(EntryFixture.LOOPBACK)
                    .setListenPort(server.address().getPort())
                    .setService("routing")
                    .setBackend("minion-1")
                    .build();
            transport.dial(EntryFixture.LOOPBACK, entry.frameAddress().getPort(), new Greeting(hello));
        }

        /** Closes its listener and all its connections without a word. */
        private void die() {
            transport.close();
        }
    }

    private record Greeting(Hello hello) implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            connection.send(Frame.newBuilder().setHello(hello).build());
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {}

        @Override
        public void disconnected(FrameConnection connection, String reason) {}
    }

    private static final class StubConfiguration implements ConfigurationExchange {
        private volatile long version;

        private StubConfiguration(long version) {
            this.version = version;
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public ConfigurationSnapshot forAgent(String service, String backend) {
            return new ConfigurationSnapshot(version, new byte[] {1});
        }

        @Override
        public Optional<ConfigurationSnapshot> forEntry(long haveVersion) {
            return Optional.of(new ConfigurationSnapshot(version, new byte[] {2}));
        }

        @Override
        public void offer(long offered, byte[] snapshot) {
            version = offered;
        }
    }

    private static final class StubSurroundings implements AgentCallbacks {
        private final List<Long> offered = new CopyOnWriteArrayList<>();
        private volatile MemberAnnouncer announcer;

        @Override
        public AgentConfiguration offerConfiguration(long version, byte[] snapshot) {
            offered.add(version);
            return new AgentConfiguration(version, false);
        }

        @Override
        public void reannounce(String reason) {
            announcer.announceNow();
        }
    }

    /** Declares all services as idempotent, claimed in memory while the log is down. */
    private record RepeatablePolicies() implements ServicePolicies {
        @Override
        public ServicePolicy service(String name) {
            Duration lease = Duration.ofSeconds(30);
            return new ServicePolicy(
                    name, true, ServicePolicy.ClaimMode.MEMORY, 3, lease, lease, false, Resources.NONE);
        }

        @Override
        public TeamPolicy team(String name) {
            return TeamPolicy.undeclared(name);
        }
    }
}
