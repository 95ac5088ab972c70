package org.chivetally.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.load.Targets.Target;

/**
 * Sends the requests of a schedule as independent clients do: submits, resubmits, cancels and retries, and records
 * every request.
 */
final class LoadGenerator {
    private static final long MINIMUM_REMAINING_NANOS = 1_000_000;
    private static final Duration WAIT_BEYOND_DEADLINE = Duration.ofMillis(500);
    private static final Duration FINAL_REQUEST_RESERVE = Duration.ofSeconds(2);

    private final LoadPlan plan;
    private final Tokens tokens;
    private final JobClient jobClient;
    private final LoadBalancer loadBalancer;
    private final ScheduledExecutorService timer;
    private final RunClock clock;
    private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    private final Set<RequestRecord> openRequests = ConcurrentHashMap.newKeySet();
    private final AtomicInteger completedCount = new AtomicInteger();

    LoadGenerator(
            LoadPlan plan,
            Tokens tokens,
            JobClient jobClient,
            LoadBalancer loadBalancer,
            ScheduledExecutorService timer,
            RunClock clock) {
        this.plan = plan;
        this.tokens = tokens;
        this.jobClient = jobClient;
        this.loadBalancer = loadBalancer;
        this.timer = timer;
        this.clock = clock;
    }

    /**
     * Schedules all submissions.
     *
     * @return future that completes after the last outcome
     */
    CompletableFuture<Void> schedule(List<ScheduledJob> jobs) {
        Set<CompletableFuture<Void>> completions = new HashSet<>();
        for (ScheduledJob job : jobs) {
            Set<String> usedEntries = ConcurrentHashMap.newKeySet();
            completions.add(scheduleRequest(job, 0, job.dueNanos(), usedEntries));
            for (int copy = 0; copy < job.resubmitNanos().size(); copy++) {
                completions.add(
                        scheduleRequest(job, copy + 1, job.resubmitNanos().get(copy), usedEntries));
            }
        }
        return CompletableFuture.allOf(completions.toArray(CompletableFuture[]::new));
    }

    /** Returns all requests. Those still open are recorded as timed out. */
    List<RequestRecord> records() {
        List<RequestRecord> all = new ArrayList<>(records);
        all.addAll(openRequests);
        return all;
    }

    /** Returns the number of requests without a reply. */
    int openCount() {
        return openRequests.size();
    }

    /** Returns the number of requests with a reply. */
    int answeredCount() {
        return records.size();
    }

    /** Returns the number of complete answers. */
    int completedCount() {
        return completedCount.get();
    }

    private CompletableFuture<Void> scheduleRequest(
            ScheduledJob job, int repeat, long dueNanos, Set<String> usedEntries) {
        RequestChain chain = new RequestChain(job, repeat, dueNanos, usedEntries);
        timer.schedule(() -> chain.send(0, Set.copyOf(usedEntries)), dueNanos - clock.nanos(), TimeUnit.NANOSECONDS);
        return chain.completion;
    }

    /** The requests of one submission. Each one is sent after the previous one ended without an outcome. */
    private final class RequestChain {
        private final ScheduledJob job;
        private final int repeat;
        private final long dueNanos;
        private final String key;
        private final Set<String> usedEntries;
        private final CompletableFuture<Void> completion = new CompletableFuture<>();
        private boolean cancellationScheduled;
        private String pendingJob = "";
        private boolean finalRequestSent;

        /**
         * Creates a chain of requests.
         *
         * @param repeat 0 for the first submission, higher for each planned repeat under the same key
         * @param dueNanos scheduled time of the submission, in nanoseconds since the beginning of the run
         * @param usedEntries names of the entries to which first requests under the same key were sent; shared by the
         *     chains of a job, so that each repeat goes to another entry
         */
        RequestChain(ScheduledJob job, int repeat, long dueNanos, Set<String> usedEntries) {
            this.job = job;
            this.repeat = repeat;
            this.dueNanos = dueNanos;
            this.key = tokens.key(job.index());
            this.usedEntries = usedEntries;
        }

        void send(int attempt, Set<String> avoided) {
            Target entry = loadBalancer.choose(avoided);
            if (attempt == 0) {
                usedEntries.add(entry.name());
            }
            RequestRecord open = record(attempt, entry, clock.nanos(), Long.MAX_VALUE, new Reply.TimedOut());
            openRequests.add(open);
            request(entry).thenAccept(reply -> {
                RequestRecord ended = record(attempt, entry, open.sentNanos(), clock.nanos(), reply);
                openRequests.remove(open);
                records.add(ended);
                handleReply(ended, entry, avoided);
            });
        }

        private CompletableFuture<Reply> request(Target entry) {
            if (repeat == 0 && job.cancelNanos().isPresent() && !cancellationScheduled) {
                return jobClient
                        .submitWithoutWait(entry, key, body(), requestWait())
                        .thenApply(reply -> scheduleCancellation(reply, entry));
            }
            // A query for the answer carries no deadline, so the final request is a submission with the remaining time.
            Duration pollWait = remaining().minus(FINAL_REQUEST_RESERVE);
            if (!pendingJob.isEmpty() && pollWait.isPositive()) {
                return jobClient.awaitAnswer(entry, pendingJob, limitToRequestTimeout(pollWait));
            }
            return jobClient.submit(entry, key, body(), requestWait());
        }

        private Reply scheduleCancellation(Reply reply, Target entry) {
            if (reply instanceof Reply.Pending accepted) {
                cancellationScheduled = true;
                long delay = job.cancelNanos().getAsLong() - clock.nanos();
                timer.schedule(() -> jobClient.cancel(entry, accepted.job()), delay, TimeUnit.NANOSECONDS);
            }
            return reply;
        }

        private void handleReply(RequestRecord ended, Target entry, Set<String> avoided) {
            pendingJob = ended.reply() instanceof Reply.Pending accepted ? accepted.job() : "";
            switch (ended.reply()) {
                case Reply.Unreachable unreachable -> {
                    loadBalancer.markUnready(entry);
                    Set<String> triedEntries = new HashSet<>(avoided);
                    triedEntries.add(entry.name());
                    boolean untriedEntriesLeft =
                            triedEntries.size() < plan.targets().entries().size();
                    retryAfter(
                            ended,
                            untriedEntriesLeft ? Duration.ZERO : retries().delay(),
                            untriedEntriesLeft ? triedEntries : Set.of());
                }
                case Reply.Closed closed -> retryAfter(ended, retries().delay(), Set.of(entry.name()));
                case Reply.Problem problem
                when isRetryable(problem) -> {
                    Duration requestedDelay = Duration.ofMillis(problem.retryAfterMillis());
                    Duration delay = requestedDelay.compareTo(retries().delay()) > 0
                            ? requestedDelay
                            : retries().delay();
                    retryAfter(ended, delay, Set.of(entry.name()));
                }
                case Reply.Complete complete -> {
                    completedCount.incrementAndGet();
                    completion.complete(null);
                }
                case Reply.Problem problem -> completion.complete(null);
                case Reply.Malformed malformed -> completion.complete(null);
                case Reply.Pending accepted -> retryAfter(ended, Duration.ZERO, Set.of());
                case Reply.TimedOut timedOut -> retryAtOtherEntry(ended, entry);
            }
        }

        private static boolean isRetryable(Reply.Problem problem) {
            return problem.certainty() != Certainty.FAILED && problem.retryAfterMillis() > 0;
        }

        /**
         * Sends the request to another entry after one did not respond in time. Once the deadline has passed, the
         * client does so only once more, to learn the outcome of its key.
         */
        private void retryAtOtherEntry(RequestRecord ended, Target unresponsive) {
            if (finalRequestSent || retries().maximum() == 0) {
                completion.complete(null);
                return;
            }
            finalRequestSent = clock.nanos() - dueNanos >= deadline().toNanos();
            loadBalancer.markUnready(unresponsive);
            send(ended.attempt() + 1, Set.of(unresponsive.name()));
        }

        private void retryAfter(RequestRecord ended, Duration delay, Set<String> avoided) {
            boolean exemptFromLimit = ended.reply() instanceof Reply.Pending
                    || ended.reply() instanceof Reply.Unreachable && !avoided.isEmpty();
            boolean beforeDeadline =
                    clock.nanos() + delay.toNanos() < dueNanos + deadline().toNanos();
            if (!beforeDeadline
                    || (!exemptFromLimit && ended.attempt() >= retries().maximum())) {
                completion.complete(null);
                return;
            }
            timer.schedule(() -> send(ended.attempt() + 1, avoided), delay.toMillis(), TimeUnit.MILLISECONDS);
        }

        private RequestRecord record(int attempt, Target entry, long sentNanos, long endedNanos, Reply reply) {
            return new RequestRecord(job, repeat, attempt, entry.name(), dueNanos, sentNanos, endedNanos, reply);
        }

        private String body() {
            return JobApiCodec.submissionBody(job, tokens, remaining().toMillis());
        }

        /**
         * Returns the time until the client's deadline, at least {@link #MINIMUM_REMAINING_NANOS}. A retry doesn't
         * extend the deadline.
         */
        private Duration remaining() {
            long remainingNanos = dueNanos + deadline().toNanos() - clock.nanos();
            return Duration.ofNanos(Math.max(remainingNanos, MINIMUM_REMAINING_NANOS));
        }

        /**
         * Returns the wait time of a submission: the request timeout of the plan. The final request, and every request
         * without such a timeout, waits until slightly after the deadline.
         */
        private Duration requestWait() {
            Duration requestTimeout = retries().requestTimeout();
            Duration remaining = remaining();
            boolean isFinal =
                    requestTimeout.isZero() || remaining.compareTo(requestTimeout.plus(FINAL_REQUEST_RESERVE)) < 0;
            return isFinal ? remaining.plus(WAIT_BEYOND_DEADLINE) : requestTimeout;
        }

        private Duration limitToRequestTimeout(Duration wait) {
            Duration requestTimeout = retries().requestTimeout();
            return requestTimeout.isZero() || wait.compareTo(requestTimeout) < 0 ? wait : requestTimeout;
        }

        private Duration deadline() {
            return plan.workload().deadline();
        }

        private Workload.Retries retries() {
            return plan.workload().retries();
        }
    }
}
