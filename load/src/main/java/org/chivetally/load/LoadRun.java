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

/** Runs a load plan: submits its schedule to the entries, injects its faults, and checks the outcomes. */
public final class LoadRun implements AutoCloseable {
    /** File in the faults folder that holds the wall-clock time of the beginning, in milliseconds since 1970. */
    public static final String BEGIN_FILE = "begin";
    /** File in the faults folder to which the script that injects process faults appends its steps. */
    public static final String DONE_FILE = "done";

    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration READINESS_CHECK_INTERVAL = Duration.ofMillis(200);
    private static final Duration BEGIN_DELAY = Duration.ofMillis(500);
    private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration COMPLETION_MARGIN = Duration.ofSeconds(6);

    private static final int WARM_UP_REQUESTS = 300;
    private static final int HTTP_OK = 200;

    private final LoadPlan plan;
    private final PrintStream progress;
    private final RunFiles files;
    private final Tokens tokens;
    private final HttpClient client;
    private final JobClient jobClient;
    private final LoadBalancer loadBalancer;
    private final CounterScraper counters;
    private final StartRecordReader startRecords;
    private final FaultInjector faultInjector;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final ScheduledExecutorService progressTimer = Executors.newScheduledThreadPool(1);

    /**
     * Prepares a run.
     *
     * @param plan plan of the run
     * @param progress receives one line per second and one per injected fault
     * @param files files and folders shared with scripts
     */
    public LoadRun(LoadPlan plan, PrintStream progress, RunFiles files) {
        this.plan = plan;
        this.progress = progress;
        this.files = files;
        this.tokens = new Tokens("r" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX));
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(2))
                .build();
        this.jobClient = new JobClient(client);
        this.loadBalancer = new LoadBalancer(client, plan.targets().entries());
        this.counters = new CounterScraper(client, plan.targets().entries());
        this.startRecords = new StartRecordReader(client, plan.targets().minions());
        this.faultInjector = new FaultInjector(client, plan.targets(), progress);
    }

    /**
     * Runs the whole plan and returns after the last outcome, or a few seconds after the last deadline.
     *
     * @throws ChivetallyException if an entry doesn't become ready, or if the faults folder or the requests file can't
     *     be used
     */
    public LoadReport run() throws InterruptedException {
        Schedule schedule = Schedule.of(plan);
        awaitReadiness();
        warmUp(schedule);
        counters.scrape(true);
        Optional<ProcessUsage> usage = files.processesFolder().map(ProcessUsage::begin);
        RunClock clock = new RunClock(NanoClock.system(), BEGIN_DELAY.toNanos());
        writeBeginFile(clock);
        LoadGenerator loadGenerator = new LoadGenerator(plan, tokens, jobClient, loadBalancer, timer, clock);
        CompletableFuture<Void> completion = loadGenerator.schedule(schedule.jobs());
        faultInjector.schedule(plan.faults(), clock, timer);
        scheduleRepeatedly(READINESS_CHECK_INTERVAL, timer, loadBalancer::checkAll);
        scheduleRepeatedly(PROGRESS_INTERVAL, progressTimer, () -> reportProgress(loadGenerator, clock));
        awaitCompletion(completion, clock);
        faultInjector.clearUnlimited(plan.faults());
        Map<String, RoleUsage> usageByRole = usage.map(ProcessUsage::end).orElse(Map.of());
        progressTimer.shutdown();
        progressTimer.awaitTermination(1, TimeUnit.MINUTES);
        counters.scrape(false);
        return report(schedule, loadGenerator.records(), clock, usageByRole);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        progressTimer.shutdownNow();
        client.shutdownNow();
    }

    private void awaitReadiness() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + READINESS_TIMEOUT.toNanos();
        for (Target entry : plan.targets().entries()) {
            while (!loadBalancer.isReady(entry)) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new ChivetallyException(
                            ErrorCode.NOT_READY, "entry did not become ready: " + entry.at("/readyz"));
                }
                TimeUnit.NANOSECONDS.sleep(READINESS_CHECK_INTERVAL.toNanos());
            }
        }
    }

    /**
     * Runs the load tool's own code once before the run begins. Otherwise class loading and compilation would delay the
     * first requests, and the delay would be attributed to the system under test.
     */
    private void warmUp(Schedule schedule) throws InterruptedException {
        for (ScheduledJob job : schedule.jobs()
                .subList(0, Math.min(WARM_UP_REQUESTS, schedule.jobs().size()))) {
            String body = JobApiCodec.submissionBody(
                    job, tokens, plan.workload().deadline().toMillis());
            JobApiCodec.parseReply(HTTP_OK, body);
            loadBalancer.isReady(loadBalancer.choose(Set.of()));
        }
    }

    private void writeBeginFile(RunClock clock) {
        if (files.faultsFolder().isEmpty()) {
            return;
        }
        Path folder = files.faultsFolder().get();
        try {
            Files.createDirectories(folder);
            Files.deleteIfExists(folder.resolve(DONE_FILE));
            Files.writeString(folder.resolve(BEGIN_FILE), clock.beginEpochMillis() + "\n");
        } catch (IOException unusable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, "faults folder is unusable: " + unusable, unusable);
        }
    }

    private static void scheduleRepeatedly(Duration interval, ScheduledExecutorService executor, Runnable action) {
        executor.scheduleAtFixedRate(action, interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void awaitCompletion(CompletableFuture<Void> completion, RunClock clock) throws InterruptedException {
        Duration timeout = plan.duration().plus(plan.workload().deadline()).plus(COMPLETION_MARGIN);
        try {
            completion.get(timeout.toNanos() - clock.nanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException incomplete) {
            progress.println(EventLine.of("load-cut-off").with("reason", incomplete.toString()));
        }
    }

    private void reportProgress(LoadGenerator loadGenerator, RunClock clock) {
        counters.scrape(false);
        startRecords.readNew();
        progress.println(EventLine.of("load-progress")
                .with("seconds", TimeUnit.NANOSECONDS.toSeconds(clock.nanos()))
                .with("answered", loadGenerator.answeredCount())
                .with("complete", loadGenerator.completedCount())
                .with("open", loadGenerator.openCount())
                .with("frames", counters.increase().frameCount())
                .with("wasted", counters.increase().wastedCount()));
    }

    private LoadReport report(
            Schedule schedule, List<RequestRecord> requests, RunClock clock, Map<String, RoleUsage> usageByRole) {
        List<String> unreadMinions = startRecords.readAll();
        OutcomeChecker checker = new OutcomeChecker(tokens, requests, startRecords.records(), clock.beginNanos());
        writeRequests(requests);
        ProcessFaultLog processFaultLog = readProcessFaultLog();
        CheckResult checkResult = checker.check(processFaultLog.gracefulStops(clock), faultInjector.drainingMinions());
        FigureCalculator calculator = new FigureCalculator(plan, requests);
        Map<String, Integer> faults = new HashMap<>(faultInjector.injected());
        faults.putAll(processFaultLog.counts());
        return new LoadReport(
                plan,
                tokens.run(),
                calculator.jobCount(),
                calculator.outcomeCounts(),
                calculator.figures(schedule, checker, checkResult, counters.increase()),
                counters.increase(),
                faults,
                missedFaults(faults),
                checker.startCount(),
                usageByRole,
                unreadMinions,
                calculator.unansweredJobs().stream().map(tokens::key).toList(),
                checkResult);
    }

    private List<String> missedFaults(Map<String, Integer> injected) {
        Map<String, Integer> unmatched = new HashMap<>(injected);
        List<String> missed = new ArrayList<>();
        for (Fault fault : plan.faults().faults()) {
            int count = unmatched.merge(fault.name(), -1, Integer::sum);
            if (count < 0) {
                missed.add(fault.name());
            }
        }
        return missed;
    }

    private void writeRequests(List<RequestRecord> requests) {
        if (files.requestsFile().isEmpty()) {
            return;
        }
        try {
            Files.writeString(files.requestsFile().get(), RequestLines.of(requests, tokens));
        } catch (IOException unwritable) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, "requests file can't be written: " + unwritable, unwritable);
        }
    }

    private ProcessFaultLog readProcessFaultLog() {
        Optional<Path> file = files.faultsFolder().map(folder -> folder.resolve(DONE_FILE));
        if (file.isEmpty() || !Files.exists(file.get())) {
            return ProcessFaultLog.parse(new ArrayList<>());
        }
        try {
            return ProcessFaultLog.parse(Files.readAllLines(file.get()));
        } catch (IOException unreadable) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, "faults folder is unusable: " + unreadable, unreadable);
        }
    }
}
