package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.log.LogStream;
import org.chivetally.queue.log.ScriptedKeyedLog;
import org.junit.jupiter.api.Test;

/**
 * Jobs that are stored in the log: none is lost and no task runs twice when owners, agents, minions, links or the log
 * fail.
 */
class DurableJobsTest {
    private static final String ID = "00000000000000a1";

    private final Cluster cluster = new Cluster();

    private EntryNode ownerOf(String id) {
        int partition = Partitions.of(id, Cluster.PARTITIONS);
        return cluster.entries.values().stream()
                .filter(entry -> entry.localOwner(partition).isPresent())
                .findFirst()
                .orElseThrow();
    }

    private String nameOf(EntryNode entry) {
        return cluster.entries.entrySet().stream()
                .filter(known -> known.getValue() == entry)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private int starts() {
        return sumOverMinions(minion -> minion.starts.size());
    }

    private int sumOverMinions(ToIntFunction<FakeMinion> figure) {
        return cluster.minions.values().stream().mapToInt(figure).sum();
    }

    private void startCluster() {
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            cluster.entry(name);
        }
        cluster.agent("agent-1");
        cluster.agent("agent-2");
        cluster.awaitLinks();
    }

    /** Callers may use any entry: all accept the same job, and all return its final phase. */
    @Test
    void servesAJobThroughAnyEntryAndShowsItsEnd() {
        startCluster();
        for (EntryNode entry : cluster.entries.values()) {
            List<JobAnswer> answers = cluster.submit(entry, Jobs.of(ID, 2));
            cluster.advance(50);
            assertThat(answers, contains(new JobAnswer.Accepted()));
        }
        assertThat(cluster.running(ID), hasSize(2));
        cluster.finish(ID, RunOutcome.DONE);
        for (EntryNode entry : cluster.entries.values()) {
            assertThat(cluster.query(entry, ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
        }
        int partition = Partitions.of(ID, Cluster.PARTITIONS);
        assertThat(cluster.stored(partition), hasKey("p" + ID));
        assertThat(cluster.stored(partition), not(hasKey("j" + ID)));
    }

    /**
     * The owner of a job dies while its tasks run. The next owner loads the job from the log, takes its runs over from
     * the agents' reports and completes the job, without starting a task twice or losing one.
     */
    @Test
    void runsNoTaskTwiceWhenTheOwnerDies() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 3));
        cluster.advance(100);
        int starts = starts();
        cluster.kill(nameOf(owner));
        cluster.advance(9_000);
        EntryNode next = ownerOf(ID);
        assertThat(cluster.query(next, ID), contains(new JobAnswer.State(JobPhase.RUNNING)));
        assertThat(cluster.running(ID), hasSize(3));
        assertThat(starts(), is(starts));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(cluster.query(next, ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /**
     * A task ends while the log takes no writes, and its agent reports the end repeatedly. If one of these reports were
     * acknowledged, the minion would discard the end, and the next owner would find it nowhere and start the task
     * again.
     */
    @Test
    void acknowledgesNoEndBeforeItIsStored() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 1));
        cluster.advance(100);
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.SILENT;
        cluster.finish(ID, RunOutcome.DONE);
        cluster.advance(1_200);
        assertThat(sumOverMinions(minion -> minion.ends.size()), is(1));
        cluster.kill(nameOf(owner));
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        cluster.advance(9_000);
        assertThat(cluster.running(ID), is(empty()));
        assertThat(cluster.query(ownerOf(ID), ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /**
     * An agent that runs the job's tasks is cut off from all entries. The owner waits until the agent's lease must have
     * expired, then starts the tasks again elsewhere, with higher run numbers.
     */
    @Test
    void startsTasksOfALostAgentAgainOnlyAfterItsLease() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 1));
        cluster.advance(100);
        String agent = cluster.minions.entrySet().stream()
                .filter(known -> !known.getValue().running.isEmpty())
                .findFirst()
                .orElseThrow()
                .getKey();
        for (String entry : List.of("entry-1", "entry-2", "entry-3")) {
            cluster.network.setCut(agent, entry, true);
        }
        for (int step = 0; step < 1_000; step++) {
            cluster.advance(10);
            assertThat(cluster.running(ID).size() <= 1, is(true));
        }
        assertThat(cluster.running(ID), hasSize(1));
        assertThat(cluster.running(ID).getFirst().run() > 1, is(true));
    }

    /**
     * Cuts the owner of a job off from the agent that runs it. Other owners still use that agent. Returns the agent's
     * name.
     */
    private String cutOwnerFromRunner(EntryNode owner) {
        String agent = runnerOf(ID);
        cluster.network.setCut(agent, nameOf(owner), true);
        return agent;
    }

    private String runnerOf(String id) {
        return cluster.minions.entrySet().stream()
                .filter(known -> known.getValue().running.keySet().stream()
                        .anyMatch(run -> run.task().jobId().equals(id)))
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /** Submits jobs of other owners that end after 200 ms, so that every worker is always busy. */
    private void keepBusy(EntryNode owner, int steps, Runnable check) {
        for (int step = 0; step < steps; step++) {
            String id = String.format("%016x", 0xb000 + step);
            if (ownerOf(id) != owner) {
                cluster.submit(ownerOf(id), Jobs.of(id, 1));
            }
            cluster.advance(100);
            check.run();
            if (step > 1) {
                cluster.finish(String.format("%016x", 0xb000 + step - 2), RunOutcome.DONE);
                check.run();
            }
        }
    }

    /**
     * The owner of a job and the agent that runs it permanently lose their link, while the starts of other owners renew
     * the lease of everything that runs there. The owner starts the task elsewhere after the run loss timeout. By then
     * the old run must have ended, or the task runs twice.
     */
    @Test
    void stopsARunWhoseOwnerIsCutOffWhileOtherOwnersUseItsWorker() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 1));
        cluster.advance(100);
        cutOwnerFromRunner(owner);
        keepBusy(owner, 80, () -> assertThat(cluster.running(ID), hasSize(lessThanOrEqualTo(1))));
        assertThat(cluster.running(ID), hasSize(1));
        assertThat(cluster.running(ID).getFirst().run() > 1, is(true));
    }

    /**
     * A task ends while its owner is cut off from the agent, whose worker other owners keep busy. The owner starts the
     * task again after the run loss timeout, and receives the end later. If the minion's lease had been renewed all the
     * while, both the first end and the second start would count.
     */
    @Test
    void noEndCountsAfterItsTaskWasStartedAgain() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 1));
        cluster.advance(100);
        String agent = cutOwnerFromRunner(owner);
        cluster.finish(ID, RunOutcome.DONE);
        keepBusy(owner, 70, () -> {});
        assertThat(cluster.running(ID), hasSize(1));
        cluster.network.setCut(agent, nameOf(owner), false);
        keepBusy(owner, 30, () -> {});
        assertThat(
                cluster.minions.get(agent).acknowledgedUnderLease.stream()
                        .filter(end -> end.run().task().jobId().equals(ID))
                        .toList(),
                is(empty()));
    }

    /**
     * A task is started again after its first run counted as lost, and then the success of the first run is reported.
     * This completes the job, and the second run is stopped so that the work isn't done twice.
     */
    @Test
    void stopsTheSecondRunWhenTheFirstHasSucceeded() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 1));
        cluster.advance(100);
        String agent = cutOwnerFromRunner(owner);
        cluster.finish(ID, RunOutcome.DONE);
        cluster.advance(7_000);
        assertThat(cluster.running(ID), hasSize(1));
        cluster.network.setCut(agent, nameOf(owner), false);
        cluster.advance(3_000);
        assertThat(cluster.running(ID), is(empty()));
        assertThat(cluster.query(owner, ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /**
     * Returns the entry that owns the job's partition now, other than a former owner that has not detected this yet.
     */
    private EntryNode otherOwnerThan(EntryNode old) {
        int partition = Partitions.of(ID, Cluster.PARTITIONS);
        return cluster.entries.values().stream()
                .filter(entry -> entry != old && entry.localOwner(partition).isPresent())
                .findFirst()
                .orElseThrow();
    }

    /**
     * The owner of a job is cut off from the log and the other entries, and the next owner reaches only the agent that
     * runs the first step. This step ends. The second step must wait until the other agent has reported too: the old
     * owner may have started the step there, as that agent still accepts its starts.
     */
    @Test
    void startsNoNextStepBeforeAllAgentsHaveReported() {
        startCluster();
        EntryNode old = ownerOf(ID);
        cluster.submit(old, Jobs.chain(ID, 1, 1));
        cluster.advance(100);
        String runner = runnerOf(ID);
        String other = "agent-1".equals(runner) ? "agent-2" : "agent-1";
        for (String entry : cluster.entries.keySet()) {
            cluster.network.setCut(other, entry, true);
        }
        cluster.kill(nameOf(old));
        cluster.advance(3_500);
        cluster.finish(ID, RunOutcome.DONE);
        cluster.advance(1_000);
        assertThat(starts(), is(1));
        cluster.advance(6_000);
        assertThat(starts(), is(2));
    }

    /**
     * A superseded owner still has links to both agents. The new owner has reached only the agent that runs the task,
     * and has received its end. The old owner reconnects to that agent and finds neither the run nor its end. It must
     * not count the run as lost and start the task at the other agent.
     */
    @Test
    void aSupersededOwnerRestartsNothing() {
        startCluster();
        EntryNode old = ownerOf(ID);
        String oldName = nameOf(old);
        cluster.submit(old, Jobs.of(ID, 1));
        cluster.advance(100);
        String runner = runnerOf(ID);
        String other = "agent-1".equals(runner) ? "agent-2" : "agent-1";
        cluster.log.setDisconnected(oldName, true);
        for (String entry : cluster.entries.keySet()) {
            cluster.network.setCut(oldName, entry, true);
            cluster.network.setCut(other, entry, !entry.equals(oldName));
        }
        cluster.network.setCut(runner, oldName, true);
        cluster.advance(3_500);
        cluster.finish(ID, RunOutcome.DONE);
        cluster.advance(300);
        assertThat(cluster.query(otherOwnerThan(old), ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
        cluster.network.setCut(runner, oldName, false);
        cluster.advance(1_500);
        assertThat(starts(), is(1));
        assertThat(old.localOwner(Partitions.of(ID, Cluster.PARTITIONS)).isPresent(), is(false));
    }

    /**
     * A minion doesn't answer while a task ends there and its lease expires, so that the task is started elsewhere.
     * Just after that start the minion answers again and lists the first end. This end completes the job, although it
     * doesn't count at the minion as the lease has expired, and the second run is stopped.
     */
    @Test
    void acceptsAnEndReportedAfterTheLeaseHasExpired() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 1));
        cluster.advance(100);
        FakeMinion minion = cluster.minions.get(runnerOf(ID));
        minion.unresponsive = true;
        cluster.advance(200);
        cluster.finish(ID, RunOutcome.DONE);
        for (int step = 0; step < 4_000 && starts() < 2; step++) {
            cluster.advance(1);
        }
        assertThat(starts(), is(2));
        minion.unresponsive = false;
        cluster.advance(1_000);
        assertThat(minion.acknowledgedUnderLease, is(empty()));
        assertThat(minion.ends.values(), is(empty()));
        assertThat(cluster.running(ID), is(empty()));
        assertThat(cluster.query(owner, ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /** The log rejects writes. The caller is refused with a retry delay, and the job doesn't exist afterwards. */
    @Test
    void refusesAJobWhenTheLogRejectsWrites() {
        startCluster();
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.REFUSING;
        List<JobAnswer> answers = cluster.submit(ownerOf(ID), Jobs.of(ID, 1));
        cluster.advance(600);
        assertThat(answers, contains(instanceOf(JobAnswer.Refused.class)));
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        cluster.advance(2_000);
        assertThat(cluster.running(ID), is(empty()));
        assertThat(cluster.query(ownerOf(ID), ID), contains(new JobAnswer.UnknownJob()));
    }

    /** A cancellation through another entry than the owner stops the job's runs. */
    @Test
    void cancelsAJobAndStopsItsRuns() {
        startCluster();
        EntryNode owner = ownerOf(ID);
        cluster.submit(owner, Jobs.of(ID, 2));
        cluster.advance(100);
        List<JobAnswer> answers = new java.util.ArrayList<>();
        EntryNode other = cluster.entries.values().stream()
                .filter(entry -> entry != owner)
                .findFirst()
                .orElseThrow();
        other.jobRouter().cancel(ID, cluster.timers.nanos() + 1_000_000_000L, answers::add);
        cluster.advance(100);
        assertThat(answers, contains(new JobAnswer.Cancelled()));
        assertThat(cluster.running(ID), is(empty()));
        assertThat(cluster.query(other, ID), contains(new JobAnswer.State(JobPhase.CANCELLED)));
    }

    /**
     * After a power loss, the first entry that is back is assigned all partitions and returns most of them at once.
     * Opening a partition costs a freshly started entry two calls to the log, while callers wait for the links to the
     * agents. So only partitions that stay with the entry may be opened.
     */
    @Test
    void opensEachPartitionOnceWhenAllEntriesStartTogether() {
        startCluster();
        List<LogStream> opened = cluster.log.appends().stream()
                .filter(stream -> "jobs".equals(stream.name()))
                .toList();
        assertThat(opened, hasSize(Cluster.PARTITIONS));
    }

    /**
     * All entries and agents lose power while the minions stay alive. The new agents restore them from the log at once
     * and can start accepted jobs.
     */
    @Test
    void restoresMinionsFromTheLogBeforeTheirAnnouncement() {
        startCluster();
        for (String name : List.copyOf(cluster.entries.keySet())) {
            cluster.kill(name);
        }
        for (String name : List.copyOf(cluster.agents.keySet())) {
            cluster.network.kill(name);
        }
        cluster.advance(1_000);
        cluster.entry("entry-8");
        cluster.agentWithoutMinion("agent-1");
        cluster.advance(100);
        assertThat(cluster.agents.get("agent-1").supervisor().isAccepting(), is(true));
    }

    /**
     * An agent restarts and restores its minion from the log. Its announcement must cost one write, not one for the
     * agent and one for the minion.
     */
    @Test
    void announcesARestartedAgentOnce() {
        startCluster();
        cluster.network.kill("agent-1");
        cluster.advance(1_000);
        long before = announcements();
        cluster.agentWithoutMinion("agent-1");
        cluster.advance(500);
        assertThat(announcements() - before, is(1L));
    }

    private long announcements() {
        return cluster.log.appends().stream()
                .filter(stream -> "members".equals(stream.name()))
                .count();
    }

    /** All processes lose power right after a job was accepted. New ones load it from the log and run it. */
    @Test
    void runsAcceptedJobsAfterATotalPowerLoss() {
        startCluster();
        List<JobAnswer> answers = cluster.submit(ownerOf(ID), Jobs.of(ID, 1));
        cluster.advance(10);
        assertThat(answers, hasItem(new JobAnswer.Accepted()));
        for (String name : List.copyOf(cluster.entries.keySet())) {
            cluster.kill(name);
        }
        for (String name : List.copyOf(cluster.agents.keySet())) {
            cluster.network.kill(name);
        }
        cluster.minions.clear();
        cluster.agents.clear();
        cluster.entry("entry-8");
        cluster.entry("entry-9");
        cluster.agent("agent-8");
        cluster.advance(9_000);
        assertThat(cluster.running(ID), hasSize(1));
    }

    private static List<String> jobIds(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> String.format("%016x", 0xc000 + number))
                .toList();
    }

    /** Starts an entry and six agents that run a task of each of eight jobs. Returns the ids of the jobs. */
    private List<String> startJobsOfASingleEntry(String name) {
        EntryNode entry = cluster.entry(name);
        for (int number = 1; number <= 6; number++) {
            cluster.agent("agent-" + number);
        }
        cluster.awaitLinks();
        List<String> ids = jobIds(8);
        ids.forEach(id -> cluster.submit(entry, Jobs.of(id, 1)));
        cluster.advance(200);
        return ids;
    }

    /**
     * The log turns the only owner away while an entry is added that no agent knows. The agents stay in contact with
     * the former owner, and connect to the new one after each other when the former one has learned of it.
     */
    @Test
    void startsNothingBesideRunsThatAFormerOwnerKeeps() {
        List<String> ids = startJobsOfASingleEntry("entry-2");
        cluster.log.setDisconnected("entry-2", true);
        cluster.entry("entry-1");
        for (int millis = 0; millis < 20_000; millis += 10) {
            cluster.log.setDisconnected("entry-2", millis < 9_000);
            for (int number = 2; number <= 6; number++) {
                cluster.network.setCut("agent-" + number, "entry-1", millis < 9_000 + number * 100);
            }
            cluster.advance(10);
            ids.forEach(id -> assertThat(cluster.running(id), hasSize(lessThanOrEqualTo(1))));
        }
        ids.forEach(id -> assertThat(cluster.running(id), hasSize(1)));
    }

    /**
     * A partition moves to an entry that can't reach an agent with runs of it. That agent stays in contact with the
     * former owner, which must not keep these runs any more.
     */
    @Test
    void stopsRunsThatOnlyAFormerOwnerReaches() {
        startCluster();
        EntryNode former = ownerOf(ID);
        cluster.submit(former, Jobs.of(ID, 1));
        cluster.advance(100);
        String runner = runnerOf(ID);
        cluster.entries.keySet().stream()
                .filter(name -> !name.equals(nameOf(former)))
                .forEach(name -> cluster.network.setCut(runner, name, true));
        cluster.network.setCut(runner, "entry-0", true);
        cluster.entry("entry-0");
        for (int step = 0; step < 1_500; step++) {
            cluster.advance(10);
            assertThat(cluster.running(ID), hasSize(lessThanOrEqualTo(1)));
        }
        assertThat(ownerOf(ID) != former, is(true));
        assertThat(cluster.running(ID), hasSize(1));
        assertThat(runnerOf(ID).equals(runner), is(false));
    }

    /**
     * An added entry takes partitions over before it could list the members. It must not take the agents that it
     * doesn't know yet for empty and start their tasks at the first one that connects.
     */
    @Test
    void awaitsAgentsThatCouldNotBeListedAtTheTakeover() {
        cluster.capacity = new Room(48_000, 4_000, 0);
        List<String> ids = startJobsOfASingleEntry("entry-1");
        cluster.log.setUnlistable("entry-0", "members", true);
        for (int number = 2; number <= 6; number++) {
            cluster.network.setCut("agent-" + number, "entry-0", true);
        }
        cluster.entry("entry-0");
        for (int millis = 0; millis < 20_000; millis += 10) {
            cluster.log.setUnlistable("entry-0", "members", millis < 4_000);
            cluster.advance(10);
            ids.forEach(id -> assertThat(cluster.running(id), hasSize(lessThanOrEqualTo(1))));
        }
        assertThat(cluster.entries.get("entry-0").localOwner(0).isPresent(), is(true));
    }

    /**
     * An entry that no agent knows takes partitions over while the log turns the former owner away. If it waited for
     * the agents to connect, all runs would be stopped for lack of an owner, and started again.
     */
    @Test
    void takesRunsOverFromAgentsThatDoNotKnowTheNewOwner() {
        List<String> ids = startJobsOfASingleEntry("entry-2");
        cluster.log.setDisconnected("entry-2", true);
        EntryNode added = cluster.entry("entry-1");
        cluster.advance(9_000);
        cluster.log.setDisconnected("entry-2", false);
        cluster.advance(5_000);
        ids.forEach(id -> assertThat(cluster.running(id), hasSize(1)));
        assertThat(starts(), is(8));
        ids.forEach(id -> cluster.finish(id, RunOutcome.DONE));
        ids.forEach(id -> assertThat(cluster.query(added, id), contains(new JobAnswer.State(JobPhase.COMPLETED))));
    }

    /**
     * The log turns the owner away for longer than its claim lasts. Another entry may have taken its partitions over
     * and start the same task, so the owner starts no durable task, but goes on with those of in-memory jobs.
     */
    @Test
    void startsNoDurableTaskWhileTheLogDoesNotConfirmTheOwnership() {
        EntryNode owner = cluster.entry("entry-1");
        cluster.agent("agent-1");
        cluster.awaitLinks();
        List<String> ids = jobIds(3);
        cluster.submit(owner, Jobs.chain(ids.get(0), 1, 1));
        cluster.submit(owner, Jobs.of(ids.get(1), 1));
        cluster.submit(owner, Jobs.of(ids.get(2), 1));
        cluster.advance(100);
        assertThat(starts(), is(2));
        cluster.log.setDisconnected("entry-1", true);
        cluster.advance(1_500);
        cluster.finish(ids.get(0), RunOutcome.DONE);
        cluster.finish(ids.get(1), RunOutcome.DONE);
        cluster.submitInMemory(owner, Jobs.of(ID, 1), 1_000);
        cluster.advance(1_000);
        assertThat(cluster.running(ID), hasSize(1));
        assertThat(starts(), is(3));
        cluster.log.setDisconnected("entry-1", false);
        cluster.advance(1_500);
        assertThat(cluster.running(ids.get(0)), hasSize(1));
    }
}
