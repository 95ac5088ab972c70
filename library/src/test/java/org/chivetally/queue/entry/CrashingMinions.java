package org.chivetally.queue.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.Incarnation;
import org.chivetally.queue.agent.MinionState;

/** Minions that execute tasks, crash under those of some jobs, and restart under the same id. */
final class CrashingMinions {
    private static final long FIRST_START_EPOCH_MILLIS = 1_800_000_000_000L;
    private static final long STEP_MILLIS = 5;
    private static final long HEARTBEAT_MILLIS = 1_500;

    final Map<TaskKey, Integer> crashes =
            new TreeMap<>((one, other) -> one.toString().compareTo(other.toString()));
    private final Cluster cluster;
    private final Set<String> crashingJobs;
    private final Map<String, Map<RunKey, Long>> firstSeenAt = new HashMap<>();
    private final Map<String, Long> restartAt = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    long workMillis = 90;
    long crashAfterMillis = 30;
    long downMillis = 3_000;
    private long nowMillis;

    CrashingMinions(Cluster cluster, Set<String> crashingJobs) {
        this.cluster = cluster;
        this.crashingJobs = crashingJobs;
    }

    void agent(String name) {
        cluster.agentWithoutMinion(name);
        firstSeenAt.put(name, new HashMap<>());
        cluster.minions.get(name).restart(FIRST_START_EPOCH_MILLIS);
        sendHeartbeat(name);
    }

    private void sendHeartbeat(String name) {
        FakeMinion minion = cluster.minions.get(name);
        long sequence = sequences.merge(name, 1L, Long::sum);
        cluster.agents
                .get(name)
                .supervisor()
                .announced(new MinionState(
                        Incarnation.of("boot-" + name, minion.startedAtMillis()),
                        "reports",
                        cluster.capacity,
                        List.of("a"),
                        false,
                        minion.clock(),
                        sequence));
    }

    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            cluster.advance(STEP_MILLIS);
            nowMillis += STEP_MILLIS;
            for (String name : firstSeenAt.keySet()) {
                step(name, cluster.minions.get(name));
            }
        }
    }

    private void step(String name, FakeMinion minion) {
        if (restartAt.getOrDefault(name, Long.MAX_VALUE) <= nowMillis) {
            restartAt.remove(name);
            sequences.remove(name);
            minion.restart(FIRST_START_EPOCH_MILLIS + nowMillis);
            sendHeartbeat(name);
        }
        if (restartAt.containsKey(name)) {
            return;
        }
        if (nowMillis % HEARTBEAT_MILLIS == 0) {
            sendHeartbeat(name);
        }
        Map<RunKey, Long> firstSeen = firstSeenAt.get(name);
        firstSeen.keySet().retainAll(minion.running.keySet());
        for (RunKey run : List.copyOf(minion.running.keySet())) {
            long age = nowMillis - firstSeen.computeIfAbsent(run, key -> nowMillis);
            if (crashingJobs.contains(run.task().jobId()) && age >= crashAfterMillis) {
                crash(name, minion, run);
                return;
            }
            if (age >= workMillis) {
                minion.end(run, RunOutcome.DONE);
            }
        }
    }

    private void crash(String name, FakeMinion minion, RunKey run) {
        crashes.merge(run.task(), 1, Integer::sum);
        minion.running.clear();
        minion.ends.clear();
        minion.down = true;
        restartAt.put(name, nowMillis + downMillis);
    }

    /** Returns the number of different runs of a job's tasks that minions have started. */
    long starts(String jobId) {
        return cluster.minions.values().stream()
                .flatMap(minion -> minion.executedStarts.stream())
                .filter(run -> run.task().jobId().equals(jobId))
                .distinct()
                .count();
    }
}
