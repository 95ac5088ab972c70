package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunKey;
import org.chivetally.time.Timers;

/**
 * Retries the calls to a minion until they are answered.
 *
 * <p>A faulty minion leaves a share of its calls unanswered, and may have executed them. With one call in twenty lost,
 * every third job of eight tasks has an unanswered start, and waiting for its timeout takes longer than the job's
 * objective allows. All calls are idempotent: the minion confirms a start of a run that it has already, and refuses a
 * duplicate that arrives after the run was stopped or has ended, or after its lease.
 */
public final class RetryingMinionPort implements MinionPort {
    /** Maximum number of attempts of a call. With half of all calls lost, one start in 250 remains unconfirmed. */
    static final int MAXIMUM_ATTEMPTS = 8;

    /**
     * Longest wait of a poll while calls are being lost. A lost poll delays all ends that occur meanwhile, and it can't
     * be distinguished from one that waits for an end.
     */
    static final Duration MAXIMUM_WAIT_AFTER_LOSS = Duration.ofMillis(30);

    /**
     * How long calls count as being lost after a loss. With one call in twenty lost, several losses occur in this time.
     */
    static final Duration RECENT_LOSS_WINDOW = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final RetryTimeoutEstimator retryTimeout = new RetryTimeoutEstimator();
    private OptionalLong lastLossNanos = OptionalLong.empty();

    /**
     * Creates a port that retries the calls of another one.
     *
     * @param port sends each attempt
     */
    public RetryingMinionPort(Timers timers, MinionPort port) {
        this.timers = timers;
        this.port = port;
    }

    @Override
    public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
        new Call<StartResult>(
                        "start " + request.run(),
                        number -> Duration.ZERO,
                        (number, received) -> port.start(minionId, request, received),
                        received -> !(received instanceof StartResult.Unknown),
                        RetryingMinionPort::withUnansweredAttempts,
                        callback)
                .attempt();
    }

    /** A refusal of one attempt doesn't keep the minion from executing another one that may still be in transit. */
    private static StartResult withUnansweredAttempts(StartResult answer) {
        return answer instanceof StartResult.Started
                ? answer
                : new StartResult.Unknown("refused while another attempt is unanswered");
    }

    @Override
    public void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback) {
        new Call<Boolean>(
                        "stop " + run,
                        number -> Duration.ZERO,
                        (number, received) -> port.stop(minionId, run, token, received),
                        accepted -> accepted,
                        UnaryOperator.identity(),
                        callback)
                .attempt();
    }

    @Override
    public void poll(String minionId, PollRequest request, Consumer<PollResult> callback) {
        boolean shortened = hasRecentLoss() && request.maximumWait().compareTo(MAXIMUM_WAIT_AFTER_LOSS) > 0;
        PollRequest first = shortened ? request.withMaximumWait(MAXIMUM_WAIT_AFTER_LOSS) : request;
        PollRequest repeated = request.withMaximumWait(Duration.ZERO);
        new Call<PollResult>(
                        "look",
                        number -> number == 1 ? first.maximumWait() : Duration.ZERO,
                        (number, received) -> port.poll(minionId, number == 1 ? first : repeated, received),
                        received -> !(received instanceof PollResult.Unknown),
                        UnaryOperator.identity(),
                        callback)
                .attempt();
    }

    private boolean hasRecentLoss() {
        return lastLossNanos.isPresent() && timers.nanos() - lastLossNanos.getAsLong() < RECENT_LOSS_WINDOW.toNanos();
    }

    /**
     * Sends one attempt of a call.
     *
     * @param <A> type of the answer
     */
    private interface Attempt<A> {
        /**
         * Sends an attempt.
         *
         * @param number number of the attempt, from 1
         * @param answer receives its answer
         */
        void send(int number, Consumer<A> answer);
    }

    /**
     * A call with all of its attempts. It ends when one of them is answered or the last one has failed.
     *
     * @param <A> type of the answer
     */
    private final class Call<A> {
        private final String name;
        private final IntFunction<Duration> maximumHold;
        private final Attempt<A> attempt;
        private final Predicate<A> isConclusive;
        private final UnaryOperator<A> withUnansweredAttempts;
        private final Consumer<A> callback;
        private int attempts;
        private int unansweredAttempts;
        private boolean finished;
        private Timers.Timer retryTimer = () -> {};

        /**
         * Creates a call. {@link #attempt()} sends the first attempt.
         *
         * @param name for logs
         * @param maximumHold how long the minion may hold back its answer, by the number of the attempt
         * @param attempt sends one attempt
         * @param isConclusive whether an answer tells if its attempt was executed
         * @param withUnansweredAttempts converts an answer that is received while other attempts are unanswered
         * @param callback receives the result once
         */
        private Call(
                String name,
                IntFunction<Duration> maximumHold,
                Attempt<A> attempt,
                Predicate<A> isConclusive,
                UnaryOperator<A> withUnansweredAttempts,
                Consumer<A> callback) {
            this.name = name;
            this.maximumHold = maximumHold;
            this.attempt = attempt;
            this.isConclusive = isConclusive;
            this.withUnansweredAttempts = withUnansweredAttempts;
            this.callback = callback;
        }

        private void attempt() {
            attempts++;
            unansweredAttempts++;
            int number = attempts;
            long sentAtNanos = timers.nanos();
            Duration hold = maximumHold.apply(number);
            retryTimer = timers.after(hold.plus(retryTimeout.timeout()), () -> retry(number));
            attempt.send(number, answer -> answered(answer, hold.isZero(), timers.nanos() - sentAtNanos));
        }

        private void retry(int number) {
            lastLossNanos = OptionalLong.of(timers.nanos());
            if (finished || number >= MAXIMUM_ATTEMPTS) {
                return;
            }
            EventLine.of("call-repeated")
                    .with("call", name)
                    .with("attempts", number)
                    .log(LOGGER.atInfo());
            attempt();
        }

        private void answered(A answer, boolean immediate, long durationNanos) {
            boolean conclusive = isConclusive.test(answer);
            unansweredAttempts -= conclusive ? 1 : 0;
            if (conclusive && immediate) {
                retryTimeout.observe(durationNanos);
            }
            boolean awaitsAnswer = !conclusive && attempts < MAXIMUM_ATTEMPTS;
            if (finished || awaitsAnswer) {
                return;
            }
            finished = true;
            retryTimer.cancel();
            callback.accept(unansweredAttempts > 0 ? withUnansweredAttempts.apply(answer) : answer);
        }
    }
}
