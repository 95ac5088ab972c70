package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.Room;
import org.chivetally.queue.log.ScriptedKeyedLog;
import org.chivetally.settings.SchedulingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tasks that crash their minions: their jobs fail within the limits on crashes and starts, and no other job does. */
class CrashingTasksTest {
    private static final String CRASHING_JOB = "00000000000000c1";
    private static final JobAnswer FAILED = new JobAnswer.State(JobPhase.FAILED);
    private static final JobAnswer COMPLETED = new JobAnswer.State(JobPhase.COMPLETED);

    private Cluster cluster;
    private CrashingMinions minions;

    private void startCluster(int crashLimit, int agents, Set<String> crashingJobs) {
        cluster = new Cluster(new SchedulingSettings(false, false, crashLimit));
        cluster.capacity = new Room(60_000, 65_536, 0);
        minions = new CrashingMinions(cluster, crashingJobs);
        for (int number = 1; number <= 3; number++) {
            cluster.entry("entry-" + number);
        }
        for (int number = 1; number <= agents; number++) {
            minions.agent("agent-" + number);
        }
        minions.advance(3_000);
    }

    private EntryNode entry(int number) {
        return cluster.entries.get("entry-" + number);
    }

    private String ownerName() {
        return cluster.ownerName(Partitions.of(CRASHING_JOB, Cluster.PARTITIONS));
    }

    private void advanceToCrash(int count) {
        for (int step = 0; crashCount() < count; step++) {
            assertThat("crash " + count + " within 20 s", step < 4_000, is(true));
            minions.advance(5);
        }
    }

    private int crashCount() {
        return minions.crashes.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * A few tasks crash every minion that starts them, among many jobs whose tasks run beside them. Each crashing job
     * fails after at most two crashes per task. No other job fails or loses an attempt.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void failsOnlyJobsWhoseTasksCrashMinions(int variant) {
        List<String> crashingJobs =
                List.of("00000000000000d1", "00000000000000d2", "00000000000000d3", "00000000000000d4");
        startCluster(2, 12, Set.copyOf(crashingJobs));
        minions.advance(35L * variant);
        Map<String, List<JobAnswer>> answers = new LinkedHashMap<>();
        for (int number = 0; number < 400; number++) {
            String id = String.format("%016x", 0xe000 + 1_000 * variant + number);
            answers.put(id, cluster.submitInMemory(entry(1 + number % 3), Jobs.of(id, 4, 0, 300), 4_000));
            if (number % 80 == 40) {
                String job = crashingJobs.get(number / 80 % crashingJobs.size());
                answers.computeIfAbsent(job, key -> cluster.submitInMemory(entry(2), Jobs.of(key, 1, 0, 300), 4_000));
            }
            minions.advance(20);
        }
        minions.advance(6_000);
        for (String job : crashingJobs) {
            assertThat(answers.remove(job), contains(FAILED));
        }
        List<JobAnswer> others = new ArrayList<>();
        answers.values().forEach(others::addAll);
        assertThat(others, hasSize(400));
        assertThat(others, everyItem(is(COMPLETED)));
        assertThat(minions.crashes.values(), everyItem(lessThanOrEqualTo(2)));
        assertThat(crashCount(), is(8));
    }

    /**
     * All tasks of a job crash their minions at the same time. This makes hundreds of other tasks suspects too, with
     * few workers to isolate them on.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void failsAJobAllOfWhoseTasksCrash(int variant) {
        startCluster(2, 12, Set.of(CRASHING_JOB));
        minions.advance(35L * variant);
        List<JobAnswer> others = new ArrayList<>();
        List<JobAnswer> crashing = List.of();
        for (int number = 0; number < 300; number++) {
            String id = String.format("%016x", 0xe000 + 1_000 * variant + number);
            entry(1 + number % 3)
                    .inMemoryJobs()
                    .submit(Jobs.of(id, 4, 0, 300), cluster.timers.nanos() + 4_000_000_000L, others::add);
            if (number == 50) {
                crashing = cluster.submitInMemory(entry(1), Jobs.of(CRASHING_JOB, 6, 0, 300), 4_000);
            }
            minions.advance(20);
        }
        minions.advance(6_000);
        assertThat(crashing, contains(FAILED));
        assertThat(minions.crashes.values(), everyItem(lessThanOrEqualTo(2)));
        assertThat(others, hasSize(300));
        assertThat(others.stream().filter(FAILED::equals).toList(), is(empty()));
    }

    /** Without a crash limit, the task is retried until its caller's deadline. */
    @Test
    void retriesACrashingTaskWithoutALimit() {
        startCluster(0, 6, Set.of(CRASHING_JOB));
        List<JobAnswer> answers = cluster.submitInMemory(entry(1), Jobs.of(CRASHING_JOB, 1, 0, 3_000), 9_000);
        minions.advance(10_000);
        assertThat(answers.contains(FAILED), is(false));
        assertThat(crashCount(), is(greaterThan(3)));
    }

    /** Whatever the settings, a durable task starts three more times after its third crash, and then its job fails. */
    @Test
    void boundsTheStartsOfADurableTaskWithoutALimit() {
        startCluster(0, 8, Set.of(CRASHING_JOB));
        cluster.submit(entry(1), Jobs.of(CRASHING_JOB, 1, 0, 100));
        minions.advance(20_000);
        assertThat(minions.starts(CRASHING_JOB), is(6L));
        assertThat(crashCount(), is(6));
        assertThat(cluster.query(entry(2), CRASHING_JOB), contains(FAILED));
    }

    /** With a crash limit, a durable job fails like an in-memory one, and its callers see this. */
    @Test
    void failsADurableJobAtTheLimit() {
        startCluster(2, 6, Set.of(CRASHING_JOB));
        cluster.submit(entry(1), Jobs.of(CRASHING_JOB, 1, 0, 100));
        minions.advance(8_000);
        assertThat(crashCount(), is(2));
        assertThat(cluster.query(entry(2), CRASHING_JOB), contains(FAILED));
    }

    /**
     * The owner of a job dies after each reported crash, before the log has stored it. The agents report the crashes to
     * the next owner, so that the bound on starts holds over all owners together.
     */
    @Test
    void countsACrashWhoseOwnerDiesBeforeItIsStored() {
        startCluster(0, 8, Set.of(CRASHING_JOB));
        cluster.submit(entry(1), Jobs.of(CRASHING_JOB, 1, 0, 100));
        for (int deaths = 0; deaths < 2; deaths++) {
            advanceToCrash(crashCount() + 1);
            cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.SILENT;
            minions.advance(1_500);
            cluster.kill(ownerName());
            cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        }
        minions.advance(30_000);
        assertThat(minions.starts(CRASHING_JOB), lessThanOrEqualTo(6L));
        assertThat(cluster.query(entry(Integer.parseInt(ownerName().substring(6))), CRASHING_JOB), contains(FAILED));
    }

    /** The log is down when the third minion has crashed. Nothing starts before the crash is stored. */
    @Test
    void startsNothingAfterTheThirdCrashWhileTheLogIsDown() {
        startCluster(0, 8, Set.of(CRASHING_JOB));
        cluster.submit(entry(1), Jobs.of(CRASHING_JOB, 1, 0, 100));
        advanceToCrash(3);
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.SILENT;
        minions.advance(6_000);
        assertThat(minions.starts(CRASHING_JOB), is(3L));
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.ACCEPTING;
        minions.advance(30_000);
        assertThat(minions.starts(CRASHING_JOB), is(6L));
    }

    /** The minions restart under their ids before any process misses them. Their crashes must still count. */
    @Test
    void countsCrashesOfMinionsThatRestartAtOnce() {
        startCluster(2, 6, Set.of(CRASHING_JOB));
        minions.downMillis = 5;
        List<JobAnswer> answers = cluster.submitInMemory(entry(1), Jobs.of(CRASHING_JOB, 1, 0, 300), 4_000);
        minions.advance(2_000);
        assertThat(answers, contains(FAILED));
        assertThat(crashCount(), is(2));
    }
}
