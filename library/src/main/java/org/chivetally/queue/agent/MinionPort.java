package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/** Calls to the minion beside the agent. The callback of each call runs once, on the event loop. */
public interface MinionPort {
    /**
     * Starts a run.
     *
     * @param minionId id of the incarnation that is meant; a minion with another id refuses the call
     * @param request the start
     * @param callback receives the result
     */
    void start(String minionId, StartRequest request, Consumer<StartResult> callback);

    /**
     * Stops a run.
     *
     * @param minionId id of the incarnation that is meant; a minion with another id refuses the call
     * @param run the run
     * @param token fencing token
     * @param callback receives whether the minion accepted the stop
     */
    void stop(String minionId, RunKey run, long token, Consumer<Boolean> callback);

    /**
     * Renews the lease, acknowledges ends, and requests the lists of running and ended runs. This is a long poll: the
     * minion may hold its answer back until a run ends.
     *
     * @param minionId id of the incarnation that is meant; a minion with another id refuses the call
     * @param request the poll
     * @param callback receives the result
     */
    void poll(String minionId, PollRequest request, Consumer<PollResult> callback);

    /**
     * Request to start a run.
     *
     * @param run the run
     * @param payload payload of the job
     * @param leaseEndMillis end of the lease on the minion's clock in milliseconds, unless it is renewed; a later start
     *     is refused
     * @param token fencing token, by which the minion refuses calls of agents that were replaced
     * @param checkpoint where to resume from; empty to start from the beginning
     */
    record StartRequest(RunKey run, String payload, long leaseEndMillis, long token, String checkpoint) {}

    /**
     * Request to poll the minion.
     *
     * @param token fencing token, by which the minion refuses calls of agents that were replaced
     * @param acknowledgedThrough the minion may discard the ends up to this sequence
     * @param leaseEndMillis new end of the lease of all runs, on the minion's clock in milliseconds; empty to leave it
     * @param maximumWait how long the minion may wait for an end before it answers
     */
    record PollRequest(long token, long acknowledgedThrough, OptionalLong leaseEndMillis, Duration maximumWait) {
        /** Returns the same request with another maximum wait. */
        PollRequest withMaximumWait(Duration newMaximumWait) {
            return new PollRequest(token, acknowledgedThrough, leaseEndMillis, newMaximumWait);
        }
    }

    /** The result of a start. */
    sealed interface StartResult {
        /**
         * The run was started.
         *
         * @param clockMillis the minion's clock in its answer, in milliseconds
         */
        record Started(long clockMillis) implements StartResult {}

        /**
         * The run wasn't started, and this request will never start it.
         *
         * @param reason for logs
         * @param fenced whether the fencing token was too low
         */
        record Rejected(String reason, boolean fenced) implements StartResult {}

        /**
         * The request wasn't sent and never will be, as no connection was open in time or the minion's address refused
         * it. This doesn't show whether the minion is up.
         *
         * @param reason for logs
         */
        record NotSent(String reason) implements StartResult {}

        /**
         * The run may have been started, or may be started later.
         *
         * @param reason for logs
         */
        record Unknown(String reason) implements StartResult {}
    }

    /** The result of a poll. */
    sealed interface PollResult {
        /**
         * The minion's lists.
         *
         * @param startedAtMillis start time of the incarnation that answers, in milliseconds since 1970; 0 if it
         *     reports none
         * @param clockMillis the minion's clock, in milliseconds
         * @param running runs in progress, all of them
         * @param ends ends that were not acknowledged, in the order of their sequence
         * @param endsTruncated whether the minion may have further ends, which it lists once these are acknowledged; a
         *     run that is in neither list may have ended
         */
        record Lists(
                long startedAtMillis,
                long clockMillis,
                List<RunKey> running,
                List<ListedEnd> ends,
                boolean endsTruncated)
                implements PollResult {
            /** Copies the lists. */
            public Lists {
                running = List.copyOf(running);
                ends = List.copyOf(ends);
            }

            /** Creates the lists of a minion that reports no start time and lists all of its ends. */
            public Lists(long clockMillis, List<RunKey> running, List<ListedEnd> ends) {
                this(0, clockMillis, running, ends, false);
            }
        }

        /**
         * The minion has another id, or it refused the agent's fencing token.
         *
         * @param reason for logs
         * @param fenced whether the fencing token was too low
         */
        record Refused(String reason, boolean fenced) implements PollResult {}

        /**
         * The minion's address refused the connection: the minion's process has ended, or the minion is cut off.
         *
         * @param reason for logs
         */
        record ConnectionRefused(String reason) implements PollResult {}

        /**
         * No usable answer arrived. The minion may be cut off, suspended or slow, and its runs may go on.
         *
         * @param reason for logs
         */
        record Unknown(String reason) implements PollResult {}
    }

    /**
     * An end in the minion's list.
     *
     * @param sequence number of the end in this incarnation, from 1
     * @param run the run
     * @param outcome how it ended
     * @param checkpoint the latest checkpoint; empty for none
     */
    record ListedEnd(long sequence, RunKey run, RunOutcome outcome, String checkpoint) {
        /** Rejects null components. */
        public ListedEnd {
            Objects.requireNonNull(run, "run");
            Objects.requireNonNull(outcome, "outcome");
        }

        /** Returns the end with the name of the incarnation that listed it. */
        EndedRun toEndedRun(String incarnation) {
            return new EndedRun(incarnation, sequence, run, outcome, checkpoint);
        }
    }
}
