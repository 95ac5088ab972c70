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
 * Discrete-event simulation of a fleet with workers of different speeds, in virtual time. Eight entries get the state
 * of the workers only from reports, and agents refuse starts that don't fit. Three queues have estimates that are off
 * by 40%, and one run in 33 takes seven times as long as usual.
 */
final class FleetSimulation {
    static final String SERVICE = "reports";
    static final int ENTRIES = 8;
    static final int DOMAINS = 4;

    private static final long MILLISECOND_NANOS = 1_000_000;
    /** Transmission time of a frame between entry and agent. */
    private static final long FRAME_DELAY_NANOS = 900_000;
    /** Longest time until an agent detects the end of a run. */
    private static final long MAXIMUM_END_DETECTION_DELAY_NANOS = 15 * MILLISECOND_NANOS;

    private static final long HEARTBEAT_INTERVAL_NANOS = 250 * MILLISECOND_NANOS;
    /** Delay after which an agent reports freed room while its room is scarce. */
    private static final long REPORT_DELAY_NANOS = 60 * MILLISECOND_NANOS;
    /** Time for which an agent keeps a start that doesn't fit before it refuses it. */
    private static final long START_WAIT_NANOS = 30 * MILLISECOND_NANOS;

    private static final int MAXIMUM_WAITING_STARTS = 2;
    /** Network time between caller and entry, which counts towards the response time. */
    private static final double CALLER_NETWORK_NANOS = 6 * MILLISECOND_NANOS;

    private static final double ESTIMATE_ERROR = 0.4;
    private static final double LONG_RUN_SHARE = 0.03;
    private static final double LONG_RUN_FACTOR = 7;
    /** Relative amplitude of the periodic demand in each failure domain. */
    private static final double DEMAND_AMPLITUDE = 0.55;

    private static final double DEMAND_PERIOD_SECONDS = 17;

    /** Waiting tasks that a pass examines, and misses after which it ends; the same values as those of an entry. */
    private static final int TASKS_PER_PASS = 64;

    private static final int MISSES_PER_PASS = 8;
    private static final long PASS_INTERVAL_NANOS = 5 * MILLISECOND_NANOS;

    /**
     * A queue with jobs of equal size.
     *
     * @param priority priority and index of the queue
     * @param tasks tasks of each job
     * @param taskMillis true duration of each task in milliseconds on a worker of speed 1
     * @param taskMillicores processors of each task
     * @param jobsPerSecond mean arrival rate of the base load
     */
    record Workload(int priority, int tasks, int taskMillis, int taskMillicores, double jobsPerSecond) {}

    static final List<Workload> WORKLOADS = List.of(
            new Workload(0, 8, 73, 4_800, 127),
            new Workload(1, 2, 243, 4_800, 369),
            new Workload(2, 4, 1_086, 4_800, 23.1));

    /** Counts of the ended jobs of a queue. */
    static final class JobCounts {
        int jobs;
        int inTime;
        int inTimeByTrueDuration;

        /** Returns the share of jobs that ended within their objective, as derived from the estimates. */
        double inTimeShare() {
            return (double) inTime / jobs;
        }

        /**
         * Returns the share of jobs that ended within an objective derived from the true duration of their tasks, which
         * the entries do not have.
         */
        double inTimeShareByTrueDuration() {
            return (double) inTimeByTrueDuration / jobs;
        }
    }

    /** A start that an entry sent. */
    record Placement(long atNanos, int entry, int worker) {}

    private record Event(long atNanos, long number, Runnable action) {}

    final List<JobCounts> jobCounts = new ArrayList<>();
    final List<Placement> placements = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final List<Agent> agents = new ArrayList<>();
    int refusedStarts;

    /** Whether jobs that arrive now are counted. */
    boolean countsArrivals;

    private final Set<Job> countedJobs = new HashSet<>();
    /** Factor on the demand of all queues in the base load. */
    double demandFactor = 1;

    /** Additional factor on the demand of one queue. */
    double burstFactor = 1;

    int burstQueue;

    private final boolean learnsSpeeds;
    private final Random arrivals;
    private final Random durations;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::atNanos).thenComparing(Event::number));
    private long eventCount;
    private long nowNanos;
    private long jobNumber;

    /**
     * Creates an idle fleet.
     *
     * @param learnsSpeeds whether entries place tasks by learned speeds
     * @param seed seed of arrivals and durations; the same seed gives the same jobs
     * @param speeds relative speed of the workers by kind
     */
    FleetSimulation(boolean learnsSpeeds, long seed, double... speeds) {
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
        for (Workload workload : WORKLOADS) {
            jobCounts.add(new JobCounts());
            for (int domain = 0; domain < DOMAINS; domain++) {
                scheduleArrival(workload, domain);
            }
        }
        for (Agent agent : agents) {
            agent.sendHeartbeats();
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

    private void schedule(long nanos, Runnable action) {
        eventCount++;
        events.add(new Event(nowNanos + nanos, eventCount, action));
    }

    private void scheduleArrival(Workload workload, int domain) {
        double seconds = nowNanos / 1e9;
        double domainFactor = 1
                + DEMAND_AMPLITUDE
                        * Math.sin(2 * Math.PI * (seconds / DEMAND_PERIOD_SECONDS + (double) domain / DOMAINS));
        double rate = demandFactor
                * workload.jobsPerSecond()
                / DOMAINS
                * domainFactor
                * (workload.priority() == burstQueue ? burstFactor : 1);
        schedule((long) (-1e9 * Math.log(1 - arrivals.nextDouble()) / rate), () -> {
            arrive(workload, domain);
            scheduleArrival(workload, domain);
        });
    }

    private void arrive(Workload workload, int domain) {
        int estimate = (int) Math.max(1, workload.taskMillis() * Math.exp(ESTIMATE_ERROR * arrivals.nextGaussian()));
        QueueTerms terms = new QueueTerms("queue-" + workload.priority(), SERVICE, 2, workload.priority(), 1.6, 60);
        Room room = new Room(workload.taskMillicores(), 1_000, 0);
        StepSpecification step = new StepSpecification(workload.tasks(), room, estimate, List.of(), StepTraits.NONE);
        jobNumber++;
        String id = "%016x".formatted(jobNumber);
        Job job = new Job(new JobSpecification(id, terms, "", 0, List.of(step)), nowNanos, nowNanos + 60_000_000_000L);
        Entry entry = entries.get(domain + DOMAINS * arrivals.nextInt(ENTRIES / DOMAINS));
        if (countsArrivals) {
            jobCounts.get(workload.priority()).jobs++;
            countedJobs.add(job);
        }
        for (Task task : job.tasks()) {
            entry.waiting.add(task, nowNanos);
        }
        entry.schedulePass();
    }

    private void recordJobEnd(Job job) {
        Workload workload = WORKLOADS.get(job.specification().terms().priority());
        if (!countedJobs.remove(job)) {
            return;
        }
        JobCounts counts = jobCounts.get(workload.priority());
        double responseNanos = nowNanos - job.acceptedAtNanos() + CALLER_NETWORK_NANOS;
        double objectiveNanos = job.objectiveNanos() - job.acceptedAtNanos();
        counts.inTime += responseNanos <= objectiveNanos ? 1 : 0;
        counts.inTimeByTrueDuration += responseNanos <= 1e6 * (1.6 * workload.taskMillis() + 60) ? 1 : 0;
    }

    private static String domain(int number) {
        return "domain-" + number % DOMAINS;
    }

    /** An entry with its own state of the workers. */
    final class Entry {
        final int number;
        final PlacementPolicy policy;
        final WaitingTasks waiting = new WaitingTasks();
        private final List<Worker> workers = new ArrayList<>();
        private boolean passScheduled;
        private long lastPassAtNanos = Long.MIN_VALUE / 2;

        private Entry(int number) {
            this.number = number;
            this.policy =
                    new PlacementPolicy(domain(number), new SplittableRandom(number), learnsSpeeds, CrashPolicy.NONE);
            for (Agent agent : agents) {
                Worker worker = new Worker("worker-" + agent.number, nowNanos);
                worker.linkOpened(this);
                workers.add(worker);
                agent.latestStarts.add(0L);
            }
        }

        private void schedulePass() {
            if (!passScheduled && !waiting.isEmpty()) {
                passScheduled = true;
                schedule(Math.max(0, PASS_INTERVAL_NANOS - (nowNanos - lastPassAtNanos)), this::pass);
            }
        }

        private void pass() {
            passScheduled = false;
            waiting.refresh(nowNanos);
            long totalWork = 0;
            for (Entry entry : entries) {
                totalWork += entry.waiting.work(SERVICE);
            }
            double backlogShare = totalWork == 0 ? 1 : (double) Math.max(1, waiting.work(SERVICE)) / totalWork;
            PlacementPolicy.Pass placementPass = policy.newPass(workers, nowNanos);
            boolean contended = PlacementPolicy.isContended(
                    placementPass, SERVICE, waiting.waitingMillicores(SERVICE), backlogShare);
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
                PlacementDecision decision = placementPass.decide(task, contended ? backlogShare : 1, backlogShare);
                if (decision.worker().isPresent()) {
                    start(decision.worker().get(), task);
                } else if (!decision.deferred() && ++misses >= MISSES_PER_PASS) {
                    break;
                }
            }
            lastPassAtNanos = waiting.isEmpty() ? Long.MIN_VALUE / 2 : nowNanos;
        }

        private void refuse(Job job) {
            job.tasks().forEach(waiting::remove);
            job.finish(JobPhase.CANCELLED, 0);
        }

        private void start(Worker worker, Task task) {
            waiting.remove(task);
            long run = task.lastRun() + 1;
            Worker.SentStart sent = worker.send(task, run, nowNanos, policy.expectedMillis(task));
            task.job().recordPlacement(task, worker.process(), run);
            Agent agent = agents.get(workers.indexOf(worker));
            placements.add(new Placement(nowNanos, number, agent.number));
            schedule(FRAME_DELAY_NANOS, () -> agent.start(this, sent));
        }

        private void report(int worker, Worker.Report report, LearnedStretch stretch) {
            workers.get(worker).recordReport(report, nowNanos);
            workers.get(worker).learnedStretch(stretch);
            schedulePass();
        }

        private void ended(int number, Worker.SentStart sent, RunOutcome outcome) {
            Worker worker = workers.get(number);
            if (outcome == RunOutcome.DONE) {
                policy.recordEnd(worker, sent, nowNanos);
            }
            worker.remove(sent.task().key());
            Job job = sent.task().job();
            for (Task ready : job.recordRunEnd(sent.task(), sent.run(), outcome, 0)) {
                waiting.add(ready, nowNanos);
            }
            if (job.phase().isFinal()) {
                FleetSimulation.this.recordJobEnd(job);
            }
            schedulePass();
        }

        /** Returns the ratio of run durations between slow and fast workers, as last computed by the entry. */
        double speedSpread() {
            policy.newPass(workers, nowNanos);
            return policy.speedSpread();
        }

        /** Marks overdue runs, as an entry does with each of its heartbeats. */
        private void findOverdueRuns() {
            for (Worker worker : workers) {
                worker.markNewlyOverdue(nowNanos);
            }
            schedulePass();
        }
    }

    /** A start that waits for room at its agent. */
    private record WaitingStart(Entry entry, Worker.SentStart sent) {}

    /** A worker and its agent. */
    final class Agent {
        final int number;
        final Room capacity;
        double speed;
        boolean reportsNoSpeed;
        private final List<Long> latestStarts = new ArrayList<>();
        private final RunStretch stretch = new RunStretch();
        private final List<WaitingStart> waitingStarts = new ArrayList<>();
        private Room free;
        private boolean reportScheduled;

        private Agent(int number, double speed, int millicores) {
            this.number = number;
            this.speed = speed;
            this.capacity = new Room(millicores, 256_000, 0);
            this.free = capacity;
        }

        private void start(Entry entry, Worker.SentStart sent) {
            latestStarts.set(entry.number, Math.max(latestStarts.get(entry.number), sent.number()));
            if (!sent.task().room().fitsInto(free)) {
                if (waitingStarts.size() >= MAXIMUM_WAITING_STARTS) {
                    refuse(entry, sent);
                    return;
                }
                WaitingStart waiting = new WaitingStart(entry, sent);
                waitingStarts.add(waiting);
                schedule(START_WAIT_NANOS, () -> {
                    if (waitingStarts.remove(waiting)) {
                        refuse(entry, sent);
                    }
                });
                return;
            }
            begin(entry, sent);
        }

        private void refuse(Entry entry, Worker.SentStart sent) {
            refusedStarts++;
            send(entry, () -> entry.ended(number, sent, RunOutcome.NEVER_STARTED));
        }

        private void begin(Entry entry, Worker.SentStart sent) {
            free = free.minus(sent.task().room());
            Workload workload =
                    WORKLOADS.get(sent.task().job().specification().terms().priority());
            double durationFactor = durations.nextDouble() < LONG_RUN_SHARE ? LONG_RUN_FACTOR : 1;
            long startedAtNanos = nowNanos;
            long durationNanos = (long) (workload.taskMillis() * MILLISECOND_NANOS * durationFactor / speed);
            long detectionNanos = (long) (MAXIMUM_END_DETECTION_DELAY_NANOS * durations.nextDouble());
            schedule(durationNanos + detectionNanos, () -> end(entry, sent, startedAtNanos));
        }

        private void end(Entry entry, Worker.SentStart sent, long startedAtNanos) {
            free = free.plus(sent.task().room());
            stretch.recordRun(nowNanos - startedAtNanos, (int) Math.ceil(sent.expectedMillis()), nowNanos);
            send(entry, () -> entry.ended(number, sent, RunOutcome.DONE));
            while (!waitingStarts.isEmpty()
                    && waitingStarts.getFirst().sent().task().room().fitsInto(free)) {
                WaitingStart next = waitingStarts.removeFirst();
                begin(next.entry(), next.sent());
            }
            boolean scarce = 4 * free.processorMillis() < capacity.processorMillis();
            if (scarce && !reportScheduled) {
                reportScheduled = true;
                schedule(REPORT_DELAY_NANOS, () -> {
                    reportScheduled = false;
                    reportToAll();
                });
            }
        }

        private void send(Entry entry, Runnable message) {
            Worker.Report report = new Worker.Report(
                    "boot",
                    SERVICE,
                    capacity,
                    free,
                    true,
                    List.of("kind-" + number % 3),
                    domain(number),
                    latestStarts.get(entry.number));
            LearnedStretch reportedStretch = reportsNoSpeed ? LearnedStretch.UNKNOWN : stretch.at(nowNanos);
            schedule(FRAME_DELAY_NANOS, () -> {
                entry.report(number, report, reportedStretch);
                message.run();
            });
        }

        private void reportToAll() {
            for (Entry entry : entries) {
                send(entry, () -> {});
            }
        }

        private void sendHeartbeats() {
            reportToAll();
            if (number == 0) {
                entries.forEach(Entry::findOverdueRuns);
            }
            schedule(HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeats);
        }
    }

    /** Returns the number of starts that were sent to a worker within a time span. */
    int countStarts(int worker, double fromSeconds, double toSeconds) {
        int count = 0;
        for (Placement placement : placements) {
            double at = placement.atNanos() / (double) Duration.ofSeconds(1).toNanos();
            count += placement.worker() == worker && at >= fromSeconds && at < toSeconds ? 1 : 0;
        }
        return count;
    }
}
