package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/** Calls to the minion beside the agent. Each answers once, on the event loop. */
public interface MinionPort {
    /** Starts a run. */
    void start(String boot, StartOrder order, Consumer<StartAnswer> answer);

    /** Stops a run; tells whether the minion took the order. */
    void stop(String boot, RunKey run, long token, Consumer<Boolean> answer);

    /** Renews the lease and looks at what runs and what has ended. */
    void look(String boot, LookOrder order, Consumer<LookAnswer> answer);

    /**
     * What a start carries.
     *
     * @param run the run
     * @param payload text of the job
     * @param leaseUntilMillis when the lease ends unless renewed, on the minion's clock; the start is refused after it
     * @param token fences calls of agents that were replaced
     * @param checkpoint where to resume from; empty for the beginning
     */
    record StartOrder(RunKey run, String payload, long leaseUntilMillis, long token, String checkpoint) {}

    /**
     * What a look carries.
     *
     * @param token fences calls of agents that were replaced
     * @param keptThrough ends up to this sequence are forgotten by the minion
     * @param leaseUntilMillis when the lease of all that runs ends, on the minion's clock; empty to leave it
     * @param longestWait how long the minion may wait for an end
     */
    record LookOrder(long token, long keptThrough, OptionalLong leaseUntilMillis, Duration longestWait) {
        /** Returns the same look with another wait. */
        LookOrder waiting(Duration wait) {
            return new LookOrder(token, keptThrough, leaseUntilMillis, wait);
        }
    }

    /** What became of a start. */
    sealed interface StartAnswer {
        /** The run is there. */
        record Started(long clockMillis) implements StartAnswer {}

        /** Nothing was started, and this start never will be. */
        record Rejected(String reason, boolean fenced) implements StartAnswer {}

        /** The start never left, as nobody listens at the minion's address. */
        record Unreachable(String reason) implements StartAnswer {}

        /** It was or wasn't started, or will be. */
        record Unknown(String reason) implements StartAnswer {}
    }

    /** What became of a look. */
    sealed interface LookAnswer {
        /**
         * The minion's lists.
         *
         * @param bornAtMillis start of the incarnation that lists, in milliseconds since 1970; 0 when it tells none
         * @param clockMillis its clock
         * @param running what runs there
         * @param ends ends that it was not told to forget
         */
        record Lists(long bornAtMillis, long clockMillis, List<RunKey> running, List<ListedEnd> ends)
                implements LookAnswer {
            /** Copies the lists. */
            public Lists {
                running = List.copyOf(running);
                ends = List.copyOf(ends);
            }

            /** Creates the lists of a minion that does not tell its start. */
            public Lists(long clockMillis, List<RunKey> running, List<ListedEnd> ends) {
                this(0, clockMillis, running, ends);
            }
        }

        /** The minion is another boot, or refuses this agent's token. */
        record Refused(String reason, boolean fenced) implements LookAnswer {}

        /** Nobody listens at the minion's address. */
        record Unreachable(String reason) implements LookAnswer {}

        /** No answer that could be used. */
        record Unknown(String reason) implements LookAnswer {}
    }

    /**
     * An end in the minion's list.
     *
     * @param sequence its number in this boot, from 1
     * @param run the run
     * @param outcome how it ended
     * @param checkpoint newest checkpoint; empty for none
     */
    record ListedEnd(long sequence, RunKey run, RunOutcome outcome, String checkpoint) {
        /** Refuses missing parts. */
        public ListedEnd {
            Objects.requireNonNull(run, "run");
            Objects.requireNonNull(outcome, "outcome");
        }

        /** Returns the end as one of a minion by the name of its incarnation. */
        EndedRun of(String minion) {
            return new EndedRun(minion, sequence, run, outcome, checkpoint);
        }
    }
}
