package org.chivetally.coordination;

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
     */
    record JobSubmitted(JobId job, JobSpecification specification, ServicePolicy service) implements DispatchEvent {}

    /** The claim of a submitted job was read back as won; generation 1 may start, a later one inquires first. */
    record JobClaimed(JobId job, int generation) implements DispatchEvent {}

    /** The claim was lost or given up: the job is dropped without an outcome, as nothing of it started here. */
    record JobWithdrawn(JobId job) implements DispatchEvent {}

    /** The caller cancelled the job. */
    record JobCancelled(JobId job) implements DispatchEvent {}

    /** A connection to an agent is open and its Hello arrived; reopened ones count as well. */
    record AgentConnected(AgentId agent, Hello hello) implements DispatchEvent {}

    /** No connection to the agent can be used now: silent or closed. Attempts in flight there are in doubt. */
    record AgentUnreachable(AgentId agent) implements DispatchEvent {}

    /** The agent's process is gone beyond doubt (a newer incarnation announced itself, or the view dropped it). */
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
