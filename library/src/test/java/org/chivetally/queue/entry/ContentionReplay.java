package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.StepSpecification;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.agent.MinionPort;
import org.chivetally.settings.SchedulingSettings;

/**
 * Replay, in virtual time, of a temporary shortage of capacity. Three queues submit at their usual rates, with a burst
 * of the longest tasks and a later one of the shortest. Callers' estimates are off by 40%, workers differ in size and
 * speed, and some entries can't reach the others during the bursts. The load per worker is that of 70 workers and 12
 * entries.
 */
final class ContentionReplay {
    /** Workers of the replay per worker of the replayed deployment. */
    private static final double SCALE = 21.0 / 70;

    private static final int ENTRIES = 6;
    private static final int DISCONNECTED_ENTRIES = ENTRIES / 3;
    private static final double ESTIMATE_ERROR = 0.4;
    private static final double SLACK = 1.6;
    private static final int LATENCY_MILLIS = 60;
    private static final int LATE_OBJECTIVES = 3;

    /** Processors of a worker in thousandths; the mean over the kinds is 32 processors. */
    private static final long[] SIZES = {27_430, 27_430, 41_140};

    private static final double[] SPEEDS = {0.8, 1.0, 1.25};
    private static final Room ROOM = new Room(3_300, 64, 0);
    private static final Burst LONGEST_WORK = new Burst(2, 2.3, 3_000, 9_000);
    private static final Burst SHORTEST_WORK = new Burst(0, 1.7, 11_000, 15_000);
    private static final int END_MILLIS = 17_000;
    private static final int DRAIN_MILLIS = 8_000;

    private final Cluster cluster;
    private final Random random;
    private final Random entryChoice;
    private final List<Load> loads;
    private final Map<String, Double> workMillis = new LinkedHashMap<>();
    private final Map<String, Integer> startsSeen = new LinkedHashMap<>();
    private final Map<String, Double> speeds = new LinkedHashMap<>();
    private final Map<String, Map<Result, Integer>> results = new LinkedHashMap<>();
    private final List<EntryNode> entries = new ArrayList<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private long jobs;

    /** Result of a job from the view of its caller. */
    enum Result {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED
    }

    /**
     * Jobs of one kind.
     *
     * @param name name of the kind
     * @param queue name of its queue
     * @param priority its priority
     * @param tasks tasks per job
     * @param taskMillis mean duration of a task in milliseconds
     * @param perSecond jobs per second in a deployment of 70 workers
     */
    record Load(String name, String queue, int priority, int tasks, int taskMillis, double perSecond) {}

    private record Burst(int priority, double factor, int fromMillis, int untilMillis) {
        private boolean covers(long millis) {
            return millis >= fromMillis && millis < untilMillis;
        }
    }

    /** A caller with its job, which it submits again after the retry delay of a refusal. */
    private record Caller(JobSpecification job, String name, long firstNanos, long objectiveNanos) {
        private long limitNanos() {
            return firstNanos + LATE_OBJECTIVES * objectiveNanos;
        }
    }

    /** The three queues of the replayed load. */
    static final List<Load> THREE_QUEUES = List.of(
            new Load("short", "short", 0, 8, 86, 144),
            new Load("usual", "usual", 1, 2, 286, 420),
            new Load("long", "long", 2, 4, 1_286, 26.3));

    /** One queue with jobs of two widths, which needs the whole capacity. Its priority has no burst. */
    static final List<Load> TWO_WIDTHS =
            List.of(new Load("narrow", "mixed", 1, 2, 286, 560), new Load("wide", "mixed", 1, 8, 286, 140));

    ContentionReplay(SchedulingSettings scheduling, List<Load> loads, int workers, long seed) {
        this.cluster = new Cluster(scheduling);
        this.random = new Random(seed);
        this.entryChoice = new Random(seed + 1);
        this.loads = loads;
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(cluster.entry("entry-" + number));
        }
        for (int number = 0; number < workers; number++) {
            String name = "agent-" + number;
            cluster.capacity = new Room(SIZES[number % SIZES.length], 65_536, 0);
            cluster.agentIn(List.of("north", "south", "west").get(number / SIZES.length % SIZES.length), name);
            speeds.put(name, SPEEDS[number % SPEEDS.length]);
            startsSeen.put(name, 0);
        }
        for (Load load : loads) {
            results.put(load.name(), new EnumMap<>(Result.class));
        }
    }

    /** Replays the load to its end. */
    ContentionReplay run() {
        Logger logger = Logger.getLogger("org.chivetally.queue");
        Level before = logger.getLevel();
        logger.setLevel(Level.OFF);
        try {
            cluster.awaitLinks();
            double[] next = new double[loads.size()];
            for (int millis = 0; millis < END_MILLIS + DRAIN_MILLIS; millis++) {
                switchNetworkPartition(millis);
                for (int place = 0; place < next.length && millis < END_MILLIS; place++) {
                    while (next[place] <= millis) {
                        submitNewJob(loads.get(place));
                        next[place] += gapMillis(loads.get(place), millis);
                    }
                }
                cluster.advance(1);
                scheduleRunEnds();
            }
        } finally {
            logger.setLevel(before);
        }
        return this;
    }

    private double gapMillis(Load load, int millis) {
        double factor = 1;
        for (Burst burst : List.of(LONGEST_WORK, SHORTEST_WORK)) {
            factor *= burst.priority() == load.priority() && burst.covers(millis) ? burst.factor() : 1;
        }
        return -Math.log(1 - random.nextDouble()) * 1_000 / (load.perSecond() * SCALE * factor);
    }

    /** Cuts a third of the entries off from the others during the bursts. All entries still reach the agents. */
    private void switchNetworkPartition(int millis) {
        boolean begins = millis == LONGEST_WORK.fromMillis() || millis == SHORTEST_WORK.fromMillis();
        boolean ends = millis == LONGEST_WORK.untilMillis() || millis == SHORTEST_WORK.untilMillis();
        for (int one = 0; one < DISCONNECTED_ENTRIES && (begins || ends); one++) {
            for (int other = one + 1; other < ENTRIES; other++) {
                cluster.network.setCut("entry-" + one, "entry-" + other, begins);
            }
        }
    }

    private void submitNewJob(Load load) {
        String id = "%016x".formatted(++jobs);
        double millis = load.taskMillis() * (0.8 + 0.4 * random.nextDouble());
        int estimate = (int) Math.max(1, millis * Math.exp(ESTIMATE_ERROR * random.nextGaussian()));
        QueueTerms terms = new QueueTerms(load.queue(), "reports", 2, load.priority(), SLACK, LATENCY_MILLIS);
        StepSpecification step = new StepSpecification(load.tasks(), ROOM, estimate, List.of(), StepTraits.NONE);
        workMillis.put(id, millis);
        long objective =
                Duration.ofMillis((long) (SLACK * millis + LATENCY_MILLIS)).toNanos();
        submit(new Caller(
                new JobSpecification(id, terms, "", 0, List.of(step)), load.name(), cluster.timers.nanos(), objective));
    }

    private void submit(Caller caller) {
        entries.get(entryChoice.nextInt(ENTRIES))
                .inMemoryJobs()
                .submit(caller.job(), caller.limitNanos(), answer -> answered(caller, answer));
    }

    private void answered(Caller caller, JobAnswer answer) {
        long now = cluster.timers.nanos();
        if (answer instanceof JobAnswer.Refused refused) {
            Duration wait = Duration.ofSeconds(Math.max(1, (refused.retryAfter().toMillis() + 999) / 1_000));
            long work = Duration.ofMillis(workMillis.get(caller.job().id()).longValue())
                    .toNanos();
            if (now + wait.toNanos() + work < caller.limitNanos()) {
                cluster.timers.after(wait, () -> submit(caller));
                return;
            }
            count(caller, Result.REFUSED);
            refusals.merge(caller.name() + " " + refused.reason().text(), 1, Integer::sum);
            return;
        }
        boolean done = answer instanceof JobAnswer.State state && state.phase() == JobPhase.COMPLETED;
        long elapsed = now - caller.firstNanos();
        if (!done || now > caller.limitNanos()) {
            count(caller, Result.FAILED);
        } else {
            count(caller, elapsed <= caller.objectiveNanos() ? Result.IN_TIME : Result.LATE);
        }
    }

    private void count(Caller caller, Result result) {
        results.get(caller.name()).merge(result, 1, Integer::sum);
    }

    /** Schedules the end of each newly started run. */
    private void scheduleRunEnds() {
        for (Map.Entry<String, FakeMinion> entry : cluster.minions.entrySet()) {
            FakeMinion minion = entry.getValue();
            for (int place = startsSeen.get(entry.getKey()); place < minion.starts.size(); place++) {
                MinionPort.StartRequest start = minion.starts.get(place);
                double millis = workMillis.get(start.run().task().jobId()) / speeds.get(entry.getKey());
                cluster.timers.after(Duration.ofNanos((long) (millis * 1e6)), () -> {
                    if (minion.running.containsKey(start.run())) {
                        minion.end(start.run(), RunOutcome.DONE);
                    }
                });
            }
            startsSeen.put(entry.getKey(), minion.starts.size());
        }
    }

    /** Returns the number of jobs of a kind with a result. */
    int count(String kind, Result result) {
        return results.get(kind).getOrDefault(result, 0);
    }

    /** Returns the fraction of a kind's jobs that were served within three objectives. */
    double served(String kind) {
        return (double) (count(kind, Result.IN_TIME) + count(kind, Result.LATE)) / all(kind);
    }

    /** Returns the fraction of a kind's jobs that were served within their objective. */
    double inTime(String kind) {
        return (double) count(kind, Result.IN_TIME) / all(kind);
    }

    /** Returns the number of jobs of a kind. */
    int all(String kind) {
        int all = 0;
        for (int count : results.get(kind).values()) {
            all += count;
        }
        return all;
    }

    @Override
    public String toString() {
        return results + " last refusals " + refusals;
    }
}
