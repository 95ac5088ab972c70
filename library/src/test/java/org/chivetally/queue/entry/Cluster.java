package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.AgentNode;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.queue.link.MemoryNetwork;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.log.KeyedRecord;
import org.chivetally.queue.log.LogStream;
import org.chivetally.queue.log.ScriptedKeyedLog;
import org.chivetally.settings.SchedulingSettings;
import org.chivetally.time.Timers;

/** Entries and agents of one test, with a network and a log in memory and a clock that the test advances. */
final class Cluster {
    static final int PARTITIONS = 4;

    /** Settings with only fair shares enabled. */
    static final SchedulingSettings FAIR_SHARES = new SchedulingSettings(false, true, 0);

    final ManualTimers timers = new ManualTimers();
    final MemoryNetwork network = new MemoryNetwork(timers);
    final ScriptedKeyedLog log = new ScriptedKeyedLog(timers, PARTITIONS);
    final Map<String, EntryNode> entries = new LinkedHashMap<>();
    final Map<String, AgentNode> agents = new LinkedHashMap<>();
    final Map<String, FakeMinion> minions = new LinkedHashMap<>();
    Room capacity = new Room(12_000, 1_000, 0);
    List<String> labels = List.of("a");
    SchedulingSettings scheduling;
    /** Wraps the timers of each process, for tests that count wake-ups. */
    BiFunction<String, Timers, Timers> timersOf = (name, shared) -> shared;

    private long incarnations;

    Cluster() {
        this(SchedulingSettings.NONE);
    }

    Cluster(SchedulingSettings scheduling) {
        this.scheduling = scheduling;
    }

    EntryNode entry(String name) {
        incarnations++;
        Peer self = new Peer(name, incarnations, false, "north", network.addressOf(name), 1);
        ScriptedKeyedLog.Access access = log.access(name);
        EntryOptions options = new EntryOptions("jobs", "members", PARTITIONS, Duration.ofSeconds(120), scheduling);
        EntryNode entry =
                new EntryNode(self, timersOf.apply(name, timers), network.dialer(name), access, access, options);
        network.listen(name, entry.acceptor());
        entry.start();
        entries.put(name, entry);
        return entry;
    }

    AgentNode agent(String name) {
        return agentIn("north", name);
    }

    AgentNode agentIn(String failureDomain, String name) {
        AgentNode agent = agentWithoutMinion(failureDomain, name);
        agent.supervisor()
                .announced(new MinionState(
                        "boot-" + name,
                        "reports",
                        capacity,
                        labels,
                        false,
                        minions.get(name).clock()));
        return agent;
    }

    /** Starts an agent whose minion has not announced itself to it yet. */
    AgentNode agentWithoutMinion(String name) {
        return agentWithoutMinion("north", name);
    }

    private AgentNode agentWithoutMinion(String failureDomain, String name) {
        incarnations++;
        Peer self = new Peer(name, incarnations, true, failureDomain, network.addressOf(name), 1);
        FakeMinion minion = minions.computeIfAbsent(name, key -> new FakeMinion(timers));
        Timers own = timersOf.apply(name, timers);
        AgentNode agent = new AgentNode(self, own, network.dialer(name), minion, PARTITIONS);
        network.listen(name, agent.acceptor());
        MemberDirectory directory = new MemberDirectory(log.access(name), own, "members");
        new AgentAnnouncement(directory, self, agent).start(agent::addEntry);
        agent.whenDisconnected(() -> directory.readOnce(agent::addEntry));
        agents.put(name, agent);
        return agent;
    }

    /** Starts entries and agents, named entry-1 and agent-1 and so on, and waits until they are linked. */
    void start(int entryCount, int agentCount) {
        for (int number = 1; number <= entryCount; number++) {
            entry("entry-" + number);
        }
        for (int number = 1; number <= agentCount; number++) {
            agent("agent-" + number);
        }
        awaitLinks();
    }

    /** Advances the clock until all processes have discovered and linked each other. */
    Cluster awaitLinks() {
        timers.advance(Duration.ofSeconds(3));
        return this;
    }

    /**
     * Kills an entry. Its timers still fire, as the clock is shared, but it is cut off from the log and all other
     * processes.
     */
    void kill(String name) {
        network.kill(name);
        log.setDisconnected(name, true);
        for (String other : entries.keySet()) {
            network.setCut(name, other, true);
        }
        for (String other : agents.keySet()) {
            network.setCut(name, other, true);
        }
        entries.remove(name);
    }

    /** Returns the name of the entry that owns a partition. */
    String ownerName(int partition) {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().localOwner(partition).isPresent())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /** Returns the entry that owns a partition. */
    EntryNode owner(int partition) {
        return entries.get(ownerName(partition));
    }

    /** Writes a record as another writer than the processes of the cluster. */
    void writeForeign(LogStream stream, String key, byte[] value) {
        log.access("another writer")
                .append(stream, Optional.empty(), List.of(new KeyedRecord(key, value)), outcome -> {});
        advance(50);
    }

    void advance(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    /** Advances the clock in steps of a millisecond until a condition holds, which has to happen within 20 s. */
    void advanceUntil(BooleanSupplier reached) {
        for (int step = 0; !reached.getAsBoolean(); step++) {
            assertThat("reached within 20 s", step < 20_000, is(true));
            advance(1);
        }
    }

    List<JobAnswer> submit(EntryNode entry, JobSpecification job) {
        List<JobAnswer> answers = new ArrayList<>();
        entry.jobRouter().submit(job, timers.nanos() + Duration.ofSeconds(2).toNanos(), answers::add);
        return answers;
    }

    List<JobAnswer> submitInMemory(EntryNode entry, JobSpecification job, long limitMillis) {
        List<JobAnswer> answers = new ArrayList<>();
        entry.inMemoryJobs()
                .submit(job, timers.nanos() + Duration.ofMillis(limitMillis).toNanos(), answers::add);
        return answers;
    }

    List<JobAnswer> query(EntryNode entry, String id) {
        List<JobAnswer> answers = new ArrayList<>();
        entry.jobRouter().query(id, timers.nanos() + Duration.ofSeconds(1).toNanos(), answers::add);
        advance(50);
        return answers;
    }

    /** Returns the minion that runs a task of a job. */
    Optional<FakeMinion> minionRunning(String jobId) {
        return minions.values().stream()
                .filter(minion -> minion.running.keySet().stream()
                        .anyMatch(run -> run.task().jobId().equals(jobId)))
                .findFirst();
    }

    /** Returns the runs of a job that are in progress under a valid lease. */
    List<RunKey> running(String jobId) {
        List<RunKey> runs = new ArrayList<>();
        for (FakeMinion minion : minions.values()) {
            if (!minion.isLeaseExpired()) {
                minion.running.keySet().stream()
                        .filter(run -> run.task().jobId().equals(jobId))
                        .forEach(runs::add);
            }
        }
        return runs;
    }

    void finish(String jobId, RunOutcome outcome) {
        for (FakeMinion minion : minions.values()) {
            for (RunKey run : List.copyOf(minion.running.keySet())) {
                if (run.task().jobId().equals(jobId)) {
                    minion.end(run, outcome);
                }
            }
        }
        advance(50);
    }

    Map<String, byte[]> stored(int partition) {
        return log.newest(new LogStream("jobs", partition));
    }
}
