package org.chivetally.coordination;

import java.util.OptionalLong;
import org.chivetally.job.JobId;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** What a coordinator learns. */
public sealed interface DispatchEvent {
    /**
     * A job was submitted here; its tasks are queued, and slots chosen, but nothing starts before {@link JobClaimed}.
     *
     * @param generation the claim's if it is known already, as it is of a job taken over; else 1
     */
    record JobSubmitted(JobId job, JobSpecification specification, ServicePolicy service, int generation)
            implements DispatchEvent {
        /** Creates the event of a job that no other coordinator had. */
        public JobSubmitted(JobId job, JobSpecification specification, ServicePolicy service) {
            this(job, specification, service, 1);
        }
    }

    /**
     * The claim of a submitted job was read back as won; generation 1 may start, a later one inquires first. Every
     * agent that may hold tasks of a job taken over was named by an event before this one.
     *
     * @param claimedAfterNanos for a job taken over, a time of this process's clock after which its first claim was
     *     written, and so any task of it started; empty when none is known
     */
    record JobClaimed(JobId job, int generation, OptionalLong claimedAfterNanos) implements DispatchEvent {
        /** Creates the event of a claim of unknown age. */
        public JobClaimed(JobId job, int generation) {
            this(job, generation, OptionalLong.empty());
        }
    }

    /** The claim was lost or given up: the job is dropped without an outcome, as nothing of it started here. */
    record JobWithdrawn(JobId job) implements DispatchEvent {}

    /**
     * The log shows that another coordinator took the job over. Sent before {@link LeaseChanged} says that a lost lease
     * is held again: a job taken over in between must not go on here.
     */
    record JobTakenOver(JobId job) implements DispatchEvent {}

    /** The caller cancelled the job. */
    record JobCancelled(JobId job) implements DispatchEvent {}

    /** A connection to an agent is open and its Hello arrived; reopened ones count as well. */
    record AgentConnected(AgentId agent, Hello hello) implements DispatchEvent {}

    /** No connection to the agent can be used now: silent or closed. Attempts in flight there are in doubt. */
    record AgentUnreachable(AgentId agent) implements DispatchEvent {}

    /**
     * The members' records name an incarnation, of which nothing else may be known here: no connection to it was open
     * yet, or it ended before this process started. It may hold tasks of jobs that are taken over.
     *
     * @param service service that its minion runs
     */
    record AgentNamed(AgentId agent, String service) implements DispatchEvent {}

    /**
     * Entries of two failure domains hear nothing of the agent. Enough to try idempotent tasks elsewhere; no proof, so
     * that all others stay in doubt.
     */
    record AgentPresumedGone(AgentId agent) implements DispatchEvent {}

    /** Whether the agent, whose connections failed again and again, is given one task at a time only. */
    record AgentHeldDown(AgentId agent, boolean held) implements DispatchEvent {}

    /**
     * The incarnation has ended beyond doubt: a newer one of the process runs, or it left and closed its connections.
     */
    record AgentGone(AgentId agent) implements DispatchEvent {}

    /** A frame of an agent arrived. */
    record FrameReceived(AgentId agent, Frame frame) implements DispatchEvent {}

    /** A team's limits changed. */
    record TeamChanged(TeamPolicy team) implements DispatchEvent {}

    /** The share of team quotas that this entry may use changed: one part in this many entries. */
    record EntriesChanged(int entries) implements DispatchEvent {}

    /** Whether this process holds its lease changed. */
    record LeaseChanged(boolean held) implements DispatchEvent {}

    /** Time passed; sent at least every 20 ms while anything waits. */
    record Ticked() implements DispatchEvent {}
}
