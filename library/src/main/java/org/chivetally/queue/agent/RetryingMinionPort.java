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
 * Calls to a minion, repeated while they get no answer.
 *
 * <p>The load it answers: a minion leaves a share of its calls unanswered, or carries them out without an answer. A job
 * of eight tasks has one such start in every third job at one call in twenty, and waiting it out costs more than the
 * job's objective allows. All calls are idempotent: a start that is there already is answered as started, and a copy
 * that is carried out after the run was stopped or has ended is refused, as is one after its lease.
 */
public final class RetryingMinionPort implements MinionPort {
    /** Attempts of one call: with every second call lost, one start in 250 is left for its owner to doubt. */
    static final int MAXIMUM_ATTEMPTS = 8;

    /**
     * Longest wait of a look while answers get lost. A lost look holds back all ends that come in its time, and nothing
     * tells it from one that waits.
     */
    static final Duration MAXIMUM_WAIT_AFTER_LOSS = Duration.ofMillis(30);

    /** Time for which answers count as getting lost after one was: at one call in twenty lost, several come in it. */
    static final Duration LOSS_MEMORY = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final RetryTimeoutEstimator retryTimeout = new RetryTimeoutEstimator();
    private OptionalLong lastLossNanos = OptionalLong.empty();

    /**
     * Creates a port that repeats the calls of another.
     *
     * @param port makes each attempt
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

    /** A refusal of one copy doesn't keep another one, which may still be on its way, from being carried out. */
    private static StartResult withUnansweredAttempts(StartResult answer) {
        return answer instanceof StartResult.Started
                ? answer
                : new StartResult.Unknown("refused beside an attempt without an answer");
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
        return lastLossNanos.isPresent() && timers.nanos() - lastLossNanos.getAsLong() < LOSS_MEMORY.toNanos();
    }

    /**
     * Makes one attempt of a call.
     *
     * @param <A> what is answered
     */
    private interface Attempt<A> {
        /** Makes the attempt of that number, from 1. */
        void send(int number, Consumer<A> answer);
    }

    /**
     * One call and its attempts, until one of them is answered or all are given up.
     *
     * @param <A> what is answered
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
         * Creates a call that isn't made yet.
         *
         * @param name for logs
         * @param heldBack how long the minion may hold the answer of an attempt back, by its number
         * @param attempt makes one attempt
         * @param isSettled whether an answer says what became of its attempt
         * @param besideUnsettled what an answer means beside attempts of which nothing is known
         * @param result told once
         */
        private Call(
                String name,
                IntFunction<Duration> heldBack,
                Attempt<A> attempt,
                Predicate<A> isSettled,
                UnaryOperator<A> besideUnsettled,
                Consumer<A> result) {
            this.name = name;
            this.maximumHold = heldBack;
            this.attempt = attempt;
            this.isConclusive = isSettled;
            this.withUnansweredAttempts = besideUnsettled;
            this.callback = result;
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
