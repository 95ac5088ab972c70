package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
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
        new StartCall(boot, order, answer).attempt();
    }

    @Override
    public void stop(String boot, RunKey run, long token, Consumer<Boolean> answer) {
        new StopCall(boot, run, token, answer).attempt();
    }

    @Override
    public void look(String boot, LookOrder order, Consumer<LookAnswer> answer) {
        boolean shortened = isLossy() && order.longestWait().compareTo(LOSSY_WAIT) > 0;
        LookOrder first = shortened ? order.waiting(LOSSY_WAIT) : order;
        new LookCall(boot, first, answer).attempt();
    }

    private boolean isLossy() {
        return lostAtNanos.isPresent() && timers.nanos() - lostAtNanos.getAsLong() < LOSSY_MEMORY.toNanos();
    }

    /**
     * One call and its attempts, until one of them is answered or all are given up.
     *
     * @param <A> what is answered
     */
    private abstract class Call<A> {
        private final Consumer<A> result;
        private int attempts;
        private int unsettled;
        private boolean finished;
        private Timers.Timer repetition = () -> {};

        private Call(Consumer<A> result) {
            this.result = result;
        }

        /** Makes the attempt of that number, from 1. */
        abstract void send(int number, Consumer<A> answer);

        /** Returns how long the minion may hold the answer of an attempt back. */
        abstract Duration heldBack(int number);

        /** Tells whether an answer says what became of the attempt. */
        abstract boolean isSettled(A answer);

        /** Returns what an answer means beside attempts of which nothing is known. */
        abstract A besideUnsettled(A answer);

        abstract String name();

        final void attempt() {
            attempts++;
            unsettled++;
            int number = attempts;
            long sentAtNanos = timers.nanos();
            Duration heldBack = heldBack(number);
            repetition = timers.after(heldBack.plus(answerTimes.patience()), () -> repeat(number));
            send(number, answer -> answered(answer, heldBack.isZero(), timers.nanos() - sentAtNanos));
        }

        private void repeat(int number) {
            lostAtNanos = OptionalLong.of(timers.nanos());
            if (finished || number >= MOST_ATTEMPTS) {
                return;
            }
            EventLine.of("call-repeated")
                    .with("call", name())
                    .with("attempts", number)
                    .log(LOGGER.atInfo());
            attempt();
        }

        private void answered(A answer, boolean atOnce, long tookNanos) {
            boolean settled = isSettled(answer);
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
            result.accept(unsettled > 0 ? besideUnsettled(answer) : answer);
        }
    }

    private final class StartCall extends Call<StartAnswer> {
        private final String boot;
        private final StartOrder order;

        private StartCall(String boot, StartOrder order, Consumer<StartAnswer> result) {
            super(result);
            this.boot = boot;
            this.order = order;
        }

        @Override
        void send(int number, Consumer<StartAnswer> answer) {
            port.start(boot, order, answer);
        }

        @Override
        Duration heldBack(int number) {
            return Duration.ZERO;
        }

        @Override
        boolean isSettled(StartAnswer answer) {
            return !(answer instanceof StartAnswer.Unknown);
        }

        /** A refusal of one copy doesn't keep another one, which may still be on its way, from being carried out. */
        @Override
        StartAnswer besideUnsettled(StartAnswer answer) {
            return answer instanceof StartAnswer.Started
                    ? answer
                    : new StartAnswer.Unknown("refused beside an attempt without an answer");
        }

        @Override
        String name() {
            return "start " + order.run();
        }
    }

    private final class StopCall extends Call<Boolean> {
        private final String boot;
        private final RunKey run;
        private final long token;

        private StopCall(String boot, RunKey run, long token, Consumer<Boolean> result) {
            super(result);
            this.boot = boot;
            this.run = run;
            this.token = token;
        }

        @Override
        void send(int number, Consumer<Boolean> answer) {
            port.stop(boot, run, token, answer);
        }

        @Override
        Duration heldBack(int number) {
            return Duration.ZERO;
        }

        @Override
        boolean isSettled(Boolean taken) {
            return taken;
        }

        @Override
        Boolean besideUnsettled(Boolean taken) {
            return taken;
        }

        @Override
        String name() {
            return "stop " + run;
        }
    }

    private final class LookCall extends Call<LookAnswer> {
        private final String boot;
        private final LookOrder order;

        private LookCall(String boot, LookOrder order, Consumer<LookAnswer> result) {
            super(result);
            this.boot = boot;
            this.order = order;
        }

        @Override
        void send(int number, Consumer<LookAnswer> answer) {
            port.look(boot, number == 1 ? order : order.waiting(Duration.ZERO), answer);
        }

        @Override
        Duration heldBack(int number) {
            return number == 1 ? order.longestWait() : Duration.ZERO;
        }

        @Override
        boolean isSettled(LookAnswer answer) {
            return !(answer instanceof LookAnswer.Unknown);
        }

        @Override
        LookAnswer besideUnsettled(LookAnswer answer) {
            return answer;
        }

        @Override
        String name() {
            return "look";
        }
    }
}
