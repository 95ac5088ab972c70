package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.MinionPort;
import org.junit.jupiter.api.Test;

/** Jobs that arrive unevenly at the entries, or before the workers do. */
class UnevenLoadTest {
    private static final int TASK_MILLIS = 100;
    private static final int ARRIVAL_MILLIS = 40;

    private final Cluster cluster = new Cluster();
    private final Map<String, Long> placedAtMillis = new LinkedHashMap<>();
    private final List<JobAnswer> refused = new ArrayList<>();
    private final List<List<JobAnswer>> answersOf = new ArrayList<>();
    private long nowMillis;

    /**
     * All jobs, at three fifths of the workers' capacity, arrive at one of three entries. For 0.25 s no task ends, so
     * that some jobs wait and miss their objective. If capacity were divided equally among the entries, this one would
     * consider the workers overloaded and refuse these jobs, although room for them becomes free at once.
     */
    @Test
    void refusesNothingWhenOneEntryReceivesAllJobsAndWorkersHaveRoom() {
        EntryNode busy = cluster.entry("entry-1");
        cluster.entry("entry-2");
        cluster.entry("entry-3");
        cluster.agent("agent-1");
        cluster.agent("agent-2");
        cluster.awaitLinks();
        for (int number = 0; number < 100; number++) {
            String id = "%016x".formatted(number);
            List<JobAnswer> answers = cluster.submitInMemory(busy, Jobs.of(id, 1), 2_000);
            boolean stalled = number >= 50 && number < 56;
            advanceOneArrival(stalled ? Integer.MAX_VALUE : TASK_MILLIS);
            answersOf.add(answers);
        }
        for (int round = 0; round < 30; round++) {
            advanceOneArrival(TASK_MILLIS);
        }
        for (List<JobAnswer> answers : answersOf) {
            answers.stream()
                    .filter(answer -> !(answer instanceof JobAnswer.State))
                    .forEach(refused::add);
        }
        assertThat(refused, is(List.of()));
    }

    /** Advances the clock by one arrival interval, and ends the tasks that have run long enough. */
    private void advanceOneArrival(int taskMillis) {
        for (int step = 0; step < ARRIVAL_MILLIS / 10; step++) {
            cluster.advance(10);
            nowMillis += 10;
            List<String> due = new ArrayList<>();
            cluster.minions
                    .values()
                    .forEach(minion -> minion.running.keySet().forEach(run -> {
                        String job = run.task().jobId();
                        long placed = placedAtMillis.computeIfAbsent(job, same -> nowMillis);
                        if (nowMillis - placed >= taskMillis) {
                            due.add(job);
                        }
                    }));
            due.forEach(job -> cluster.minions
                    .values()
                    .forEach(minion -> List.copyOf(minion.running.keySet()).stream()
                            .filter(run -> run.task().jobId().equals(job))
                            .forEach(run -> minion.end(run, RunOutcome.DONE))));
        }
    }

    /**
     * After a power loss six entries have a backlog and detect the first worker at the same time. If each sent it as
     * many tasks as fit, most of these starts would be refused, too late for their callers, and the agent would be busy
     * refusing them.
     */
    @Test
    void entriesWithABacklogDoNotAllFillTheFirstWorker() {
        List<EntryNode> entries = new ArrayList<>();
        for (int number = 1; number <= 6; number++) {
            entries.add(cluster.entry("entry-" + number));
        }
        cluster.awaitLinks();
        cluster.capacity = new Room(60_000, 10_000, 0);
        for (int number = 0; number < 60; number++) {
            cluster.submitInMemory(entries.get(number % 6), Jobs.of("%016x".formatted(number), 1, 0, 10_000), 60_000);
        }
        cluster.advance(300);
        cluster.agent("agent-1");
        FakeMinion minion = cluster.minions.get("agent-1");
        cluster.advance(1_500);
        assertThat(minion.running.size(), is(10));
        for (int round = 0; round < 30; round++) {
            List.copyOf(minion.running.keySet()).forEach(run -> minion.end(run, RunOutcome.DONE));
            cluster.advance(100);
        }
        long refused = 0;
        for (MinionPort.StartRequest start : minion.starts) {
            refused += start.run().run() - 1;
        }
        assertThat(minion.starts.size(), is(60));
        assertThat(refused, lessThan(10L));
    }
}
