package org.chivetally.load;

import java.io.PrintStream;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivetally.load.Targets.Target;

/** Submits a plan's schedule to its entries and judges what came of it. */
public final class LoadRun implements AutoCloseable {
    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(2);
    private static final Duration START_MARGIN = Duration.ofMillis(200);

    private final LoadPlan plan;
    private final PrintStream progress;
    private final Tokens tokens = new Tokens("r" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX));
    private final Caller caller = new Caller();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final Queue<CallerRecord> records = new ConcurrentLinkedQueue<>();
    private final AtomicInteger open = new AtomicInteger();
    private long beginNanos;

    /** Prepares a run; progress lines go to the stream. */
    public LoadRun(LoadPlan plan, PrintStream progress) {
        this.plan = plan;
        this.progress = progress;
    }

    /** Runs the whole plan; returns after the last answer or the drain time. */
    public LoadReport run() throws InterruptedException {
        Schedule schedule = Schedule.of(plan);
        List<CompletableFuture<Void>> requests = new ArrayList<>();
        beginNanos = System.nanoTime() + START_MARGIN.toNanos();
        for (ScheduledJob job : schedule.jobs()) {
            requests.add(at(job.instantNanos(), () -> submit(job, 0, job.instantNanos())));
            job.resubmitNanos().ifPresent(nanos -> requests.add(at(nanos, () -> submit(job, 1, nanos))));
        }
        timer.scheduleAtFixedRate(
                this::printProgress, PROGRESS_INTERVAL.toMillis(), PROGRESS_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        await(CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new)));
        timer.shutdownNow();
        return report();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        caller.close();
    }

    private CompletableFuture<Void> at(long nanos, java.util.function.Supplier<CompletableFuture<Void>> action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Runnable step = () -> action.get().whenComplete((nothing, failure) -> done.complete(null));
        timer.schedule(step, beginNanos + nanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        return done;
    }

    private CompletableFuture<Void> submit(ScheduledJob job, int repeat, long dueNanos) {
        List<Target> entries = plan.targets().entries();
        Target entry = entries.get((job.index() + repeat) % entries.size());
        Duration deadline = plan.workload().deadline();
        String body = JobInterface.submission(job, tokens, deadline.toMillis());
        long sentNanos = System.nanoTime() - beginNanos;
        open.incrementAndGet();
        return caller.submit(entry, tokens.key(job.index()), body, deadline).thenAccept(reply -> {
            long endedNanos = System.nanoTime() - beginNanos;
            open.decrementAndGet();
            records.add(new CallerRecord(job, repeat, entry.name(), dueNanos, sentNanos, endedNanos, reply));
        });
    }

    private void await(CompletableFuture<Void> all) throws InterruptedException {
        Duration limit = plan.duration().plus(plan.drain()).plus(plan.workload().deadline());
        try {
            all.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException late) {
            progress.println("event=load-cut-off open=" + open.get());
        }
    }

    private void printProgress() {
        progress.printf(
                Locale.ROOT,
                "event=load-progress seconds=%.0f answered=%d open=%d%n",
                (System.nanoTime() - beginNanos) / 1e9,
                records.size(),
                open.get());
    }

    private LoadReport report() throws InterruptedException {
        List<CallerRecord> callers = List.copyOf(records);
        List<StartRecord> starts = new ArrayList<>();
        List<String> unread = new ArrayList<>();
        try (HttpClient client = HttpClient.newHttpClient()) {
            for (Target minion : plan.targets().minions()) {
                Optional<List<StartRecord>> fetched = MinionRecords.fetch(client, minion);
                fetched.ifPresentOrElse(starts::addAll, () -> unread.add(minion.name()));
            }
        }
        Judge judge = new Judge(tokens, callers, starts);
        return summary(callers, judge, unread);
    }

    private LoadReport summary(List<CallerRecord> callers, Judge judge, List<String> unread) {
        ResponseRatio ratio = new ResponseRatio();
        Map<String, Integer> outcomes = new HashMap<>();
        long workNanos = 0;
        int slots = plan.workload().slots();
        for (CallerRecord record : callers) {
            if (record.repeat() > 0) {
                continue;
            }
            outcomes.merge(outcome(record.reply()), 1, Integer::sum);
            if (record.reply() instanceof Reply.Complete && record.dueNanos() >= plan.warmUp().toNanos()) {
                ratio.add(record.responseNanos(), record.job().idealNanos(slots));
                workNanos += record.job().workNanos();
            }
        }
        double slotNanos = (double) slots * plan.duration().minus(plan.warmUp()).toNanos();
        int jobs = outcomes.values().stream().mapToInt(Integer::intValue).sum();
        return new LoadReport(
                plan.name(), tokens.run(), jobs, outcomes, ratio, workNanos / slotNanos, judge.startCount(), unread,
                judge.judge(List.of()));
    }

    private static String outcome(Reply reply) {
        return switch (reply) {
            case Reply.Complete complete -> "complete";
            case Reply.Problem problem -> problem.certainty().text() + " " + problem.code();
            case Reply.Malformed malformed -> "malformed " + malformed.status();
            case Reply.Unreachable unreachable -> "unreachable";
            case Reply.Closed closed -> "closed";
            case Reply.TimedOut late -> "no answer";
        };
    }
}
