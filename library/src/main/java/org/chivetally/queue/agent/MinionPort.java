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
    void start(String minionId, StartRequest request, Consumer<StartResult> callback);

    /** Stops a run; tells whether the minion took the order. */
    void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback);

    /** Renews the lease and looks at what runs and what has ended. */
    void poll(String minionId, PollRequest request, Consumer<PollResult> callback);

    /**
     * What a start carries.
     *
     * @param run the run
     * @param payload text of the job
     * @param leaseEndMillis when the lease ends unless renewed, on the minion's clock; the start is refused after it
     * @param token fences calls of agents that were replaced
     * @param checkpoint where to resume from; empty for the beginning
     */
    record StartRequest(RunKey run, String payload, long leaseEndMillis, long token, String checkpoint) {}

    /**
     * What a look carries.
     *
     * @param token fences calls of agents that were replaced
     * @param acknowledgedThrough ends up to this sequence are forgotten by the minion
     * @param leaseEndMillis when the lease of all that runs ends, on the minion's clock; empty to leave it
     * @param maximumWait how long the minion may wait for an end
     */
    record PollRequest(long token, long acknowledgedThrough, OptionalLong leaseEndMillis, Duration maximumWait) {
        /** Returns the same look with another wait. */
        PollRequest withMaximumWait(Duration newMaximumWait) {
            return new PollRequest(token, acknowledgedThrough, leaseEndMillis, newMaximumWait);
        }
    }

    /** What became of a start. */
    sealed interface StartResult {
        /** The run is there. */
        record Started(long clockMillis) implements StartResult {}

        /** Nothing was started, and this start never will be. */
        record Rejected(String reason, boolean fenced) implements StartResult {}

        /** The start never left, as nobody listens at the minion's address. */
        record Unreachable(String reason) implements StartResult {}

        /** It was or wasn't started, or will be. */
        record Unknown(String reason) implements StartResult {}
    }

    /** What became of a look. */
    sealed interface PollResult {
        /**
         * The minion's lists.
         *
         * @param startedAtMillis start of the incarnation that lists, in milliseconds since 1970; 0 when it tells none
         * @param clockMillis its clock
         * @param running what runs there
         * @param ends ends that it was not told to forget
         */
        record Lists(long startedAtMillis, long clockMillis, List<RunKey> running, List<ListedEnd> ends)
                implements PollResult {
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
        record Refused(String reason, boolean fenced) implements PollResult {}

        /** Nobody listens at the minion's address. */
        record Unreachable(String reason) implements PollResult {}

        /** No answer that could be used. */
        record Unknown(String reason) implements PollResult {}
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
        EndedRun toEndedRun(String incarnation) {
            return new EndedRun(incarnation, sequence, run, outcome, checkpoint);
        }
    }
}
