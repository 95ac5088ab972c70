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

/** Plays the callers of a schedule: submits, repeats, cancels and comes back, and keeps a record of every request. */
final class Submitter {
    private static final long SHORTEST_NANOS = 1_000_000;
    private static final Duration AFTER_DEADLINE = Duration.ofMillis(500);
    private static final Duration LAST_REQUEST = Duration.ofSeconds(2);

    private final LoadPlan plan;
    private final Tokens tokens;
    private final Caller caller;
    private final Balancer balancer;
    private final ScheduledExecutorService timer;
    private final RunClock clock;
    private final Queue<CallerRecord> records = new ConcurrentLinkedQueue<>();
    private final Set<CallerRecord> openRequests = ConcurrentHashMap.newKeySet();
    private final AtomicInteger completed = new AtomicInteger();

    Submitter(
            LoadPlan plan,
            Tokens tokens,
            Caller caller,
            Balancer balancer,
            ScheduledExecutorService timer,
            RunClock clock) {
        this.plan = plan;
        this.tokens = tokens;
        this.caller = caller;
        this.balancer = balancer;
        this.timer = timer;
        this.clock = clock;
    }

    /** Sets a timer for each submission; the result completes after the last outcome. */
    CompletableFuture<Void> schedule(List<ScheduledJob> jobs) {
        Set<CompletableFuture<Void>> ends = new HashSet<>();
        for (ScheduledJob job : jobs) {
            Set<String> used = ConcurrentHashMap.newKeySet();
            ends.add(scheduleRequest(job, 0, job.instantNanos(), used));
            for (int copy = 0; copy < job.resubmitNanos().size(); copy++) {
                ends.add(scheduleRequest(job, copy + 1, job.resubmitNanos().get(copy), used));
            }
        }
        return CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new));
    }

    /** Returns all requests; those still open count as timed out now. */
    List<CallerRecord> records() {
        List<CallerRecord> all = new ArrayList<>(records);
        all.addAll(openRequests);
        return all;
    }

    /** Returns the number of requests without a reply. */
    int open() {
        return openRequests.size();
    }

    /** Returns the number of requests with a reply. */
    int answered() {
        return records.size();
    }

    /** Returns the number of whole answers. */
    int completed() {
        return completed.get();
    }

    private CompletableFuture<Void> scheduleRequest(ScheduledJob job, int repeat, long dueNanos, Set<String> used) {
        Chain chain = new Chain(job, repeat, dueNanos, used);
        timer.schedule(() -> chain.send(0, Set.copyOf(used)), dueNanos - clock.nanos(), TimeUnit.NANOSECONDS);
        return chain.end;
    }

    /** Requests of one submission, each sent after the one before ended without an outcome. */
    private final class Chain {
        private final ScheduledJob job;
        private final int repeat;
        private final long dueNanos;
        private final String key;
        private final Set<String> used;
        private final CompletableFuture<Void> end = new CompletableFuture<>();
        private boolean lastAsked;

        /** Creates a chain; {@code used} takes the entries that requests of the same key first went to. */
        Chain(ScheduledJob job, int repeat, long dueNanos, Set<String> used) {
            this.job = job;
            this.repeat = repeat;
            this.dueNanos = dueNanos;
            this.key = tokens.key(job.index());
            this.used = used;
        }

        void send(int attempt, Set<String> avoided) {
            Target entry = balancer.choose(avoided);
            if (attempt == 0) {
                used.add(entry.name());
            }
            CallerRecord open = record(attempt, entry, clock.nanos(), Long.MAX_VALUE, new Reply.TimedOut());
            openRequests.add(open);
            request(entry).thenAccept(reply -> {
                CallerRecord ended = record(attempt, entry, open.sentNanos(), clock.nanos(), reply);
                openRequests.remove(open);
                records.add(ended);
                follow(ended, entry, avoided);
            });
        }

        private CompletableFuture<Reply> request(Target entry) {
            if (repeat == 0 && job.cancelNanos().isPresent()) {
                return requestAndCancel(entry, job.cancelNanos().getAsLong());
            }
            return caller.submit(entry, key, body(), hold());
        }

        private CompletableFuture<Reply> requestAndCancel(Target entry, long cancelNanos) {
            return caller.announce(entry, key, body(), hold()).thenCompose(announced -> {
                if (announced.job().isEmpty()) {
                    return CompletableFuture.completedFuture(announced.reply());
                }
                String name = announced.job();
                timer.schedule(() -> caller.cancel(entry, name), cancelNanos - clock.nanos(), TimeUnit.NANOSECONDS);
                // The question for an answer names no deadline; the last request under the key does.
                return caller.answer(entry, name, hold().minus(LAST_REQUEST))
                        .thenCompose(reply -> reply instanceof Reply.Pending
                                ? caller.submit(entry, key, body(), hold())
                                : CompletableFuture.completedFuture(reply));
            });
        }

        private void follow(CallerRecord ended, Target entry, Set<String> avoided) {
            switch (ended.reply()) {
                case Reply.Unreachable unreachable -> {
                    balancer.markUnready(entry);
                    Set<String> tried = new HashSet<>(avoided);
                    tried.add(entry.name());
                    boolean othersLeft = tried.size() < plan.targets().entries().size();
                    comeBack(ended, othersLeft ? Duration.ZERO : retries().delay(), othersLeft ? tried : Set.of());
                }
                case Reply.Closed closed -> comeBack(ended, retries().delay(), Set.of(entry.name()));
                case Reply.Problem problem
                when mayComeBack(problem) -> {
                    Duration asked = Duration.ofMillis(problem.retryAfterMillis());
                    Duration delay = asked.compareTo(retries().delay()) > 0
                            ? asked
                            : retries().delay();
                    comeBack(ended, delay, Set.of(entry.name()));
                }
                case Reply.Complete complete -> {
                    completed.incrementAndGet();
                    end.complete(null);
                }
                case Reply.Problem problem -> end.complete(null);
                case Reply.Malformed malformed -> end.complete(null);
                case Reply.Pending pending -> comeBack(ended, Duration.ZERO, Set.of());
                case Reply.TimedOut late -> askElsewhere(ended, entry);
            }
        }

        private static boolean mayComeBack(Reply.Problem problem) {
            return problem.certainty() != Certainty.FAILED && problem.retryAfterMillis() > 0;
        }

        /** An entry is silent; a caller whose time is over asks another one once more what became of its key. */
        private void askElsewhere(CallerRecord ended, Target silent) {
            if (lastAsked || retries().most() == 0) {
                end.complete(null);
                return;
            }
            lastAsked = clock.nanos() - dueNanos >= deadline().toNanos();
            balancer.markUnready(silent);
            send(ended.attempt() + 1, Set.of(silent.name()));
        }

        private void comeBack(CallerRecord ended, Duration delay, Set<String> avoided) {
            boolean passedOn = ended.reply() instanceof Reply.Pending
                    || ended.reply() instanceof Reply.Unreachable && !avoided.isEmpty();
            boolean inTime =
                    clock.nanos() + delay.toNanos() < dueNanos + deadline().toNanos();
            if (!inTime || (!passedOn && ended.attempt() >= retries().most())) {
                end.complete(null);
                return;
            }
            timer.schedule(() -> send(ended.attempt() + 1, avoided), delay.toMillis(), TimeUnit.MILLISECONDS);
        }

        private CallerRecord record(int attempt, Target entry, long sentNanos, long endedNanos, Reply reply) {
            return new CallerRecord(job, repeat, attempt, entry.name(), dueNanos, sentNanos, endedNanos, reply);
        }

        private String body() {
            return JobInterface.submission(job, tokens, left().toMillis());
        }

        /** Returns what is left of the caller's own deadline: one who comes back doesn't wait for longer. */
        private Duration left() {
            long nanos = dueNanos + deadline().toNanos() - clock.nanos();
            return Duration.ofNanos(Math.max(nanos, SHORTEST_NANOS));
        }

        /** Returns how long one request is held: somewhat beyond the deadline, or as long as a caller's patience. */
        private Duration hold() {
            Duration patience = retries().patience();
            Duration whole = left().plus(AFTER_DEADLINE);
            return patience.isZero() || whole.compareTo(patience) < 0 ? whole : patience;
        }

        private Duration deadline() {
            return plan.workload().deadline();
        }

        private Workload.Retries retries() {
            return plan.workload().retries();
        }
    }
}
