package org.chivetally.queue.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.StepSpecification;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.Task;
import org.chivetally.queue.crash.CrashPolicy;
import org.chivetally.queue.speed.LearnedStretch;
import org.chivetally.queue.speed.RunStretch;

/**
 * Replays a day of callers who wait on a fleet of uneven workers, with virtual time: eight entries that each see the
 * workers by their reports alone, agents that refuse what does not fit, three queues, estimates off by 40%, and one run
 * in 33 that takes seven times as long.
 */
final class FleetReplay {
    static final String SERVICE = "reports";
    static final int ENTRIES = 8;
    static final int DOMAINS = 4;

    private static final long MILLISECOND = 1_000_000;
    private static final long FRAME = 900_000;
    private static final long LISTING = 15 * MILLISECOND;
    private static final long BEAT = 250 * MILLISECOND;
    private static final long REPORT_PAUSE = 60 * MILLISECOND;
    private static final long PATIENCE = 30 * MILLISECOND;
    private static final int MOST_WAITING = 2;
    private static final double CALLERS_WAY = 6 * MILLISECOND;
    private static final double ESTIMATE_ERROR = 0.4;
    private static final double LONG_SHARE = 0.03;
    private static final double LONG_FACTOR = 7;
    private static final double SWING = 0.55;
    private static final double SWING_SECONDS = 17;

    /** Most waiting tasks looked at, and most without a fitting worker, in a pass; as an entry does. */
    private static final int TASKS_PER_PASS = 64;

    private static final int MISSES_PER_PASS = 8;
    private static final long PASS_PAUSE = 5 * MILLISECOND;

    /** A queue of equal jobs. */
    record Load(int priority, int tasks, int millis, int processorMillis, double perSecond) {}

    static final List<Load> LOADS = List.of(
            new Load(0, 8, 73, 4_800, 127), new Load(1, 2, 243, 4_800, 369), new Load(2, 4, 1_086, 4_800, 23.1));

    /** What became of the jobs of a queue. */
    static final class Tally {
        int jobs;
        int inTime;
        int inTimeByWork;

        double share() {
            return (double) inTime / jobs;
        }

        /** Returns the share by the true duration of the longest task, which the entries don't know. */
        double shareByWork() {
            return (double) inTimeByWork / jobs;
        }
    }

    /** One start, as it was sent. */
    record Placement(long atNanos, int entry, int worker) {}

    private record Event(long atNanos, long order, Runnable action) {}

    final List<Tally> tallies = new ArrayList<>();
    final List<Placement> placements = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final List<Agent> agents = new ArrayList<>();
    int refused;

    /** Whether the jobs that come now count in the tallies. */
    boolean counts;

    private final Set<Job> counted = new HashSet<>();
    /** Demand of all queues, as a multiple of that of column B. */
    double demand = 1;

    double burst = 1;
    int burstQueue;

    private final boolean learnsSpeeds;
    private final Random arrivals;
    private final Random durations;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::atNanos).thenComparing(Event::order));
    private long order;
    private long nowNanos;
    private long jobNumber;

    /**
     * Creates a fleet that begins to work.
     *
     * @param seed callers and tasks are the same for the same seed
     * @param speeds relative speed of the workers by kind
     */
    FleetReplay(boolean learnsSpeeds, long seed, double... speeds) {
        this.learnsSpeeds = learnsSpeeds;
        this.arrivals = new Random(seed);
        this.durations = new Random(seed + 1);
        for (int number = 0; number < 51; number++) {
            agents.add(
                    new Agent(number, speeds[number % speeds.length], number % speeds.length == 2 ? 96_000 : 64_000));
        }
        for (int number = 0; number < ENTRIES; number++) {
            addEntry();
        }
        for (Load load : LOADS) {
            tallies.add(new Tally());
            for (int domain = 0; domain < DOMAINS; domain++) {
                arriveLater(load, domain);
            }
        }
        for (Agent agent : agents) {
            agent.beat();
        }
    }

    Entry addEntry() {
        Entry entry = new Entry(entries.size());
        entries.add(entry);
        return entry;
    }

    void runTo(double seconds) {
        long until = (long) (seconds * 1e9);
        while (!events.isEmpty() && events.peek().atNanos() <= until) {
            Event next = events.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = until;
    }

    private void after(long nanos, Runnable action) {
        order++;
        events.add(new Event(nowNanos + nanos, order, action));
    }

    private void arriveLater(Load load, int domain) {
        double seconds = nowNanos / 1e9;
        double swing = 1 + SWING * Math.sin(2 * Math.PI * (seconds / SWING_SECONDS + (double) domain / DOMAINS));
        double rate = demand * load.perSecond() / DOMAINS * swing * (load.priority() == burstQueue ? burst : 1);
        after((long) (-1e9 * Math.log(1 - arrivals.nextDouble()) / rate), () -> {
            arrive(load, domain);
            arriveLater(load, domain);
        });
    }

    private void arrive(Load load, int domain) {
        int estimate = (int) Math.max(1, load.millis() * Math.exp(ESTIMATE_ERROR * arrivals.nextGaussian()));
        QueueTerms terms = new QueueTerms("queue-" + load.priority(), SERVICE, 2, load.priority(), 1.6, 60);
        Room room = new Room(load.processorMillis(), 1_000, 0);
        StepSpecification step = new StepSpecification(load.tasks(), room, estimate, List.of(), StepTraits.NONE);
        jobNumber++;
        String id = "%016x".formatted(jobNumber);
        Job job = new Job(new JobSpecification(id, terms, "", 0, List.of(step)), nowNanos, nowNanos + 60_000_000_000L);
        Entry entry = entries.get(domain + DOMAINS * arrivals.nextInt(ENTRIES / DOMAINS));
        if (counts) {
            tallies.get(load.priority()).jobs++;
            counted.add(job);
        }
        for (Task task : job.tasks()) {
            entry.waiting.add(task, nowNanos);
        }
        entry.armPass();
    }

    private void ended(Job job) {
        Load load = LOADS.get(job.specification().terms().priority());
        if (!counted.remove(job)) {
            return;
        }
        Tally tally = tallies.get(load.priority());
        double tookNanos = nowNanos - job.acceptedAtNanos() + CALLERS_WAY;
        double allowed = job.objectiveNanos() - job.acceptedAtNanos();
        tally.inTime += tookNanos <= allowed ? 1 : 0;
        tally.inTimeByWork += tookNanos <= 1e6 * (1.6 * load.millis() + 60) ? 1 : 0;
    }

    private static String domain(int number) {
        return "domain-" + number % DOMAINS;
    }

    /** One entry with its own view of the workers. */
    final class Entry {
        final int number;
        final PlacementPolicy policy;
        final WaitingTasks waiting = new WaitingTasks();
        private final List<Worker> workers = new ArrayList<>();
        private boolean armed;
        private long missedAtNanos = Long.MIN_VALUE / 2;

        private Entry(int number) {
            this.number = number;
            this.policy =
                    new PlacementPolicy(domain(number), new SplittableRandom(number), learnsSpeeds, CrashPolicy.NONE);
            for (Agent agent : agents) {
                Worker worker = new Worker("worker-" + agent.number, nowNanos);
                worker.linked(this);
                workers.add(worker);
                agent.seen.add(0L);
            }
        }

        private void armPass() {
            if (!armed && !waiting.isEmpty()) {
                armed = true;
                after(Math.max(0, PASS_PAUSE - (nowNanos - missedAtNanos)), this::pass);
            }
        }

        private void pass() {
            armed = false;
            waiting.refresh(nowNanos);
            long all = 0;
            for (Entry entry : entries) {
                all += entry.waiting.work(SERVICE);
            }
            double part = all == 0 ? 1 : (double) Math.max(1, waiting.work(SERVICE)) / all;
            PlacementPolicy.Pass choices = policy.over(workers, nowNanos);
            boolean contended = PlacementPolicy.isContended(choices, SERVICE, waiting.processorMillis(SERVICE), part);
            int misses = 0;
            for (Task task : waiting.first(SERVICE, TASKS_PER_PASS)) {
                if (task.job().phase() == JobPhase.CANCELLED) {
                    continue;
                }
                if (task.job().completionForecast(nowNanos).timeliness() == CompletionForecast.Timeliness.TOO_LATE
                        && task.job().phase() == JobPhase.QUEUED) {
                    refuse(task.job());
                    continue;
                }
                Choice choice = choices.decide(task, contended ? part : 1, part);
                if (choice.worker().isPresent()) {
                    start(choice.worker().get(), task);
                } else if (!choice.heldBack() && ++misses >= MISSES_PER_PASS) {
                    break;
                }
            }
            missedAtNanos = waiting.isEmpty() ? Long.MIN_VALUE / 2 : nowNanos;
        }

        private void refuse(Job job) {
            job.tasks().forEach(waiting::remove);
            job.finish(JobPhase.CANCELLED, 0);
        }

        private void start(Worker worker, Task task) {
            waiting.remove(task);
            long run = task.lastRun() + 1;
            Worker.Sent sent = worker.send(task, run, nowNanos, policy.expectedMillis(task));
            task.job().recordPlacement(task, worker.process(), run);
            Agent agent = agents.get(workers.indexOf(worker));
            placements.add(new Placement(nowNanos, number, agent.number));
            after(FRAME, () -> agent.start(this, sent));
        }

        private void report(int worker, Worker.View view, LearnedStretch stretch) {
            workers.get(worker).report(view, nowNanos);
            workers.get(worker).learned(stretch);
            armPass();
        }

        private void ended(int number, Worker.Sent sent, RunOutcome outcome) {
            Worker worker = workers.get(number);
            if (outcome == RunOutcome.DONE) {
                policy.ended(worker, sent, nowNanos);
            }
            worker.remove(sent.task().key());
            Job job = sent.task().job();
            for (Task ready : job.recordRunEnd(sent.task(), outcome, 0)) {
                waiting.add(ready, nowNanos);
            }
            if (job.phase().isFinal()) {
                FleetReplay.this.ended(job);
            }
            armPass();
        }

        /** Returns how far the speeds of the workers lie apart, as the entry knows them now. */
        double lookAtSpeeds() {
            policy.over(workers, nowNanos);
            return policy.speedSpread();
        }

        /** Looks for overdue runs, as an entry does with each of its heartbeats. */
        private void sweep() {
            for (Worker worker : workers) {
                worker.newlyOverdue(nowNanos);
            }
            armPass();
        }
    }

    /** A start that waits for room at its agent. */
    private record Held(Entry entry, Worker.Sent sent) {}

    /** One worker and its agent. */
    final class Agent {
        final int number;
        final Room capacity;
        double speed;
        boolean silent;
        private final List<Long> seen = new ArrayList<>();
        private final RunStretch stretch = new RunStretch();
        private final List<Held> waitingStarts = new ArrayList<>();
        private Room free;
        private boolean armed;

        private Agent(int number, double speed, int processorMillis) {
            this.number = number;
            this.speed = speed;
            this.capacity = new Room(processorMillis, 256_000, 0);
            this.free = capacity;
        }

        private void start(Entry entry, Worker.Sent sent) {
            seen.set(entry.number, Math.max(seen.get(entry.number), sent.number()));
            if (!sent.task().room().fitsInto(free)) {
                if (waitingStarts.size() >= MOST_WAITING) {
                    refuse(entry, sent);
                    return;
                }
                Held held = new Held(entry, sent);
                waitingStarts.add(held);
                after(PATIENCE, () -> {
                    if (waitingStarts.remove(held)) {
                        refuse(entry, sent);
                    }
                });
                return;
            }
            begin(entry, sent);
        }

        private void refuse(Entry entry, Worker.Sent sent) {
            refused++;
            tell(entry, () -> entry.ended(number, sent, RunOutcome.NEVER_STARTED));
        }

        private void begin(Entry entry, Worker.Sent sent) {
            free = free.minus(sent.task().room());
            Load load = LOADS.get(sent.task().job().specification().terms().priority());
            double tail = durations.nextDouble() < LONG_SHARE ? LONG_FACTOR : 1;
            long started = nowNanos;
            long lasts = (long) (load.millis() * MILLISECOND * tail / speed);
            long listed = (long) (LISTING * durations.nextDouble());
            after(lasts + listed, () -> end(entry, sent, started));
        }

        private void end(Entry entry, Worker.Sent sent, long started) {
            free = free.plus(sent.task().room());
            stretch.ended(nowNanos - started, (int) Math.ceil(sent.expectedMillis()), nowNanos);
            tell(entry, () -> entry.ended(number, sent, RunOutcome.DONE));
            while (!waitingStarts.isEmpty()
                    && waitingStarts.getFirst().sent().task().room().fitsInto(free)) {
                Held next = waitingStarts.removeFirst();
                begin(next.entry(), next.sent());
            }
            boolean scarce = 4 * free.processorMillis() < capacity.processorMillis();
            if (scarce && !armed) {
                armed = true;
                after(REPORT_PAUSE, () -> {
                    armed = false;
                    tellAll();
                });
            }
        }

        private void tell(Entry entry, Runnable news) {
            Worker.View view = new Worker.View(
                    "boot",
                    SERVICE,
                    capacity,
                    free,
                    true,
                    List.of("kind-" + number % 3),
                    domain(number),
                    seen.get(entry.number));
            LearnedStretch told = silent ? LearnedStretch.UNKNOWN : stretch.at(nowNanos);
            after(FRAME, () -> {
                entry.report(number, view, told);
                news.run();
            });
        }

        private void tellAll() {
            for (Entry entry : entries) {
                tell(entry, () -> {});
            }
        }

        private void beat() {
            tellAll();
            if (number == 0) {
                entries.forEach(Entry::sweep);
            }
            after(BEAT, this::beat);
        }
    }

    /** Returns the starts that a worker got in a span of time. */
    int starts(int worker, double fromSeconds, double toSeconds) {
        int count = 0;
        for (Placement placement : placements) {
            double at = placement.atNanos() / (double) Duration.ofSeconds(1).toNanos();
            count += placement.worker() == worker && at >= fromSeconds && at < toSeconds ? 1 : 0;
        }
        return count;
    }
}
