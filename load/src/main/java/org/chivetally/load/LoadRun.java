package org.chivetally.load;

import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.load.Targets.Target;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/** Submits a plan's schedule to its entries, brings about its faults, and judges what came of it. */
public final class LoadRun implements AutoCloseable {
    /** File in the faults folder with the wall-clock time of the beginning, in milliseconds since 1970. */
    public static final String BEGIN_FILE = "begin";
    /** File in the faults folder to which the script that carries out process faults adds what it did. */
    public static final String DONE_FILE = "done";

    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration READINESS_INTERVAL = Duration.ofMillis(200);
    private static final Duration BEGIN_DELAY = Duration.ofMillis(500);
    private static final Duration LONGEST_UNREADY = Duration.ofSeconds(60);
    private static final Duration ANSWER_MARGIN = Duration.ofSeconds(6);

    private static final int WARMING_REQUESTS = 300;
    private static final int SUCCESS = 200;

    private final LoadPlan plan;
    private final PrintStream progress;
    private final RunFolders folders;
    private final Tokens tokens;
    private final HttpClient client;
    private final Caller caller;
    private final Balancer balancer;
    private final CounterWatch counters;
    private final StartWatch starts;
    private final FaultInjector injector;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final ScheduledExecutorService watcher = Executors.newScheduledThreadPool(1);

    /**
     * Prepares a run.
     *
     * @param plan what to do
     * @param progress takes a line every second, and one for each fault
     * @param folders folders shared with scripts
     */
    public LoadRun(LoadPlan plan, PrintStream progress, RunFolders folders) {
        this.plan = plan;
        this.progress = progress;
        this.folders = folders;
        this.tokens = new Tokens("r" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX));
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(2))
                .build();
        this.caller = new Caller(client);
        this.balancer = new Balancer(client, plan.targets().entries());
        this.counters = new CounterWatch(client, plan.targets().entries());
        this.starts = new StartWatch(client, plan.targets().minions());
        this.injector = new FaultInjector(client, plan.targets(), progress);
    }

    /**
     * Runs the whole plan and returns after the last answer, at the latest some seconds after the last deadline.
     *
     * @throws ChivetallyException when no entry becomes ready, or the faults folder can't be used
     */
    public LoadReport run() throws InterruptedException {
        Schedule schedule = Schedule.of(plan);
        awaitReadiness();
        warmUp(schedule);
        counters.read(true);
        Optional<ProcessCosts> costs = folders.processes().map(ProcessCosts::begin);
        RunClock clock = new RunClock(NanoClock.system(), BEGIN_DELAY.toNanos());
        writeBegin(clock);
        Submitter submitter = new Submitter(plan, tokens, caller, balancer, timer, clock);
        CompletableFuture<Void> end = submitter.schedule(schedule.jobs());
        injector.schedule(plan.faults(), clock, timer);
        every(READINESS_INTERVAL, timer, balancer::check);
        every(PROGRESS_INTERVAL, watcher, () -> watch(submitter, clock));
        await(end, clock);
        injector.clear(plan.faults());
        Map<String, RoleCost> roles = costs.map(ProcessCosts::end).orElse(Map.of());
        watcher.shutdown();
        watcher.awaitTermination(1, TimeUnit.MINUTES);
        counters.read(false);
        return report(schedule, submitter.records(), clock, roles);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        watcher.shutdownNow();
        client.shutdownNow();
    }

    private void awaitReadiness() throws InterruptedException {
        long giveUp = System.nanoTime() + LONGEST_UNREADY.toNanos();
        for (Target entry : plan.targets().entries()) {
            while (!balancer.isReady(entry)) {
                if (System.nanoTime() > giveUp) {
                    throw new ChivetallyException(ErrorCode.NOT_READY, "not ready: " + entry.at("/readyz"));
                }
                TimeUnit.NANOSECONDS.sleep(READINESS_INTERVAL.toNanos());
            }
        }
    }

    /**
     * Uses the load tool's own code before the run begins. Its first requests would otherwise be late while that code
     * is loaded and compiled, and the delay would count as the system's.
     */
    private void warmUp(Schedule schedule) throws InterruptedException {
        for (ScheduledJob job : schedule.jobs()
                .subList(0, Math.min(WARMING_REQUESTS, schedule.jobs().size()))) {
            String body = JobInterface.submission(
                    job, tokens, plan.workload().deadline().toMillis());
            JobInterface.reply(SUCCESS, body);
            balancer.isReady(balancer.choose(Set.of()));
        }
    }

    private void writeBegin(RunClock clock) {
        if (folders.faults().isEmpty()) {
            return;
        }
        Path folder = folders.faults().get();
        try {
            Files.createDirectories(folder);
            Files.deleteIfExists(folder.resolve(DONE_FILE));
            Files.writeString(folder.resolve(BEGIN_FILE), clock.beginEpochMillis() + "\n");
        } catch (IOException unusable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, "faults folder: " + unusable, unusable);
        }
    }

    private static void every(Duration interval, ScheduledExecutorService executor, Runnable action) {
        executor.scheduleAtFixedRate(action, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void await(CompletableFuture<Void> end, RunClock clock) throws InterruptedException {
        Duration limit = plan.duration().plus(plan.workload().deadline()).plus(ANSWER_MARGIN);
        try {
            end.get(limit.toNanos() - clock.nanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException late) {
            progress.println(EventLine.of("load-cut-off").with("reason", late.toString()));
        }
    }

    private void watch(Submitter submitter, RunClock clock) {
        counters.read(false);
        starts.readNew();
        progress.println(EventLine.of("load-progress")
                .with("seconds", TimeUnit.NANOSECONDS.toSeconds(clock.nanos()))
                .with("answered", submitter.answered())
                .with("complete", submitter.completed())
                .with("open", submitter.open())
                .with("frames", counters.growth().frameCount())
                .with("wasted", counters.growth().wastedCount()));
    }

    private LoadReport report(
            Schedule schedule, List<CallerRecord> callers, RunClock clock, Map<String, RoleCost> roles) {
        List<String> unread = starts.readAll();
        Judge judge = new Judge(tokens, callers, starts.records(), clock.beginNanos());
        writeRequests(callers);
        ProcessFaultLog processFaults = processFaults();
        Verdict verdict = judge.judge(processFaults.stops(clock), injector.leaving());
        Summary summary = new Summary(plan, callers);
        Map<String, Integer> faults = new HashMap<>(injector.injected());
        faults.putAll(processFaults.counts());
        return new LoadReport(
                plan,
                tokens.run(),
                summary.jobs(),
                summary.outcomeCounts(),
                summary.figures(schedule, judge, verdict, counters.growth()),
                counters.growth(),
                faults,
                missedFaults(faults),
                judge.startCount(),
                roles,
                unread,
                summary.unanswered().stream().map(tokens::key).toList(),
                verdict);
    }

    private List<String> missedFaults(Map<String, Integer> injected) {
        Map<String, Integer> left = new HashMap<>(injected);
        List<String> missed = new ArrayList<>();
        for (Fault fault : plan.faults().faults()) {
            int count = left.merge(fault.name(), -1, Integer::sum);
            if (count < 0) {
                missed.add(fault.name());
            }
        }
        return missed;
    }

    private void writeRequests(List<CallerRecord> callers) {
        if (folders.requests().isEmpty()) {
            return;
        }
        try {
            Files.writeString(folders.requests().get(), RequestLines.of(callers, tokens));
        } catch (IOException unwritable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, "file of requests: " + unwritable, unwritable);
        }
    }

    private ProcessFaultLog processFaults() {
        Optional<Path> file = folders.faults().map(folder -> folder.resolve(DONE_FILE));
        if (file.isEmpty() || !Files.exists(file.get())) {
            return ProcessFaultLog.parse(new ArrayList<>());
        }
        try {
            return ProcessFaultLog.parse(Files.readAllLines(file.get()));
        } catch (IOException unreadable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, "faults folder: " + unreadable, unreadable);
        }
    }
}
