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
public final class RepeatingMinionPort implements MinionPort {
    /** Attempts of one call: with every second call lost, one start in 250 is left for its owner to doubt. */
    static final int MOST_ATTEMPTS = 8;

    /**
     * Longest wait of a look while answers get lost. A lost look holds back all ends that come in its time, and nothing
     * tells it from one that waits.
     */
    static final Duration LOSSY_WAIT = Duration.ofMillis(30);

    /** Time for which answers count as getting lost after one was: at one call in twenty lost, several come in it. */
    static final Duration LOSSY_MEMORY = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final AnswerTimes answerTimes = new AnswerTimes();
    private OptionalLong lostAtNanos = OptionalLong.empty();

    /**
     * Creates a port that repeats the calls of another.
     *
     * @param port makes each attempt
     */
    public RepeatingMinionPort(Timers timers, MinionPort port) {
        this.timers = timers;
        this.port = port;
    }

    @Override
    public void start(String boot, StartOrder order, Consumer<StartAnswer> answer) {
        new Call<StartAnswer>(
                        "start " + order.run(),
                        number -> Duration.ZERO,
                        (number, told) -> port.start(boot, order, told),
                        told -> !(told instanceof StartAnswer.Unknown),
                        RepeatingMinionPort::besideUnsettled,
                        answer)
                .attempt();
    }

    /** A refusal of one copy doesn't keep another one, which may still be on its way, from being carried out. */
    private static StartAnswer besideUnsettled(StartAnswer answer) {
        return answer instanceof StartAnswer.Started
                ? answer
                : new StartAnswer.Unknown("refused beside an attempt without an answer");
    }

    @Override
    public void stop(String boot, RunKey run, long token, Consumer<Boolean> answer) {
        new Call<Boolean>(
                        "stop " + run,
                        number -> Duration.ZERO,
                        (number, told) -> port.stop(boot, run, token, told),
                        taken -> taken,
                        UnaryOperator.identity(),
                        answer)
                .attempt();
    }

    @Override
    public void look(String boot, LookOrder order, Consumer<LookAnswer> answer) {
        boolean shortened = isLossy() && order.longestWait().compareTo(LOSSY_WAIT) > 0;
        LookOrder first = shortened ? order.waiting(LOSSY_WAIT) : order;
        LookOrder repeated = order.waiting(Duration.ZERO);
        new Call<LookAnswer>(
                        "look",
                        number -> number == 1 ? first.longestWait() : Duration.ZERO,
                        (number, told) -> port.look(boot, number == 1 ? first : repeated, told),
                        told -> !(told instanceof LookAnswer.Unknown),
                        UnaryOperator.identity(),
                        answer)
                .attempt();
    }

    private boolean isLossy() {
        return lostAtNanos.isPresent() && timers.nanos() - lostAtNanos.getAsLong() < LOSSY_MEMORY.toNanos();
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
        private final IntFunction<Duration> heldBack;
        private final Attempt<A> attempt;
        private final Predicate<A> isSettled;
        private final UnaryOperator<A> besideUnsettled;
        private final Consumer<A> result;
        private int attempts;
        private int unsettled;
        private boolean finished;
        private Timers.Timer repetition = () -> {};

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
            this.heldBack = heldBack;
            this.attempt = attempt;
            this.isSettled = isSettled;
            this.besideUnsettled = besideUnsettled;
            this.result = result;
        }

        private void attempt() {
            attempts++;
            unsettled++;
            int number = attempts;
            long sentAtNanos = timers.nanos();
            Duration held = heldBack.apply(number);
            repetition = timers.after(held.plus(answerTimes.patience()), () -> repeat(number));
            attempt.send(number, answer -> answered(answer, held.isZero(), timers.nanos() - sentAtNanos));
        }

        private void repeat(int number) {
            lostAtNanos = OptionalLong.of(timers.nanos());
            if (finished || number >= MOST_ATTEMPTS) {
                return;
            }
            EventLine.of("call-repeated")
                    .with("call", name)
                    .with("attempts", number)
                    .log(LOGGER.atInfo());
            attempt();
        }

        private void answered(A answer, boolean atOnce, long tookNanos) {
            boolean settled = isSettled.test(answer);
            unsettled -= settled ? 1 : 0;
            if (settled && atOnce) {
                answerTimes.observe(tookNanos);
            }
            boolean mayStillBeAnswered = !settled && attempts < MOST_ATTEMPTS;
            if (finished || mayStillBeAnswered) {
                return;
            }
            finished = true;
            repetition.cancel();
            result.accept(unsettled > 0 ? besideUnsettled.apply(answer) : answer);
        }
    }
}
