package org.chivetally.entry.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.MemberList;
import org.chivetally.job.JobId;
import org.chivetally.wire.v1.Frame;

/** Messages of {@link PeerActor}. */
public sealed interface PeerCommand {
    /** Queries a coordinator for the outcome of its job until it answers or the query is cancelled. */
    record QueryOutcome(Coordinator coordinator, JobId job, String key) implements PeerCommand {}

    /** Cancels the outcome query of a job. */
    record CancelOutcomeQuery(JobId job) implements PeerCommand {}

    /**
     * Queries all other entries whether they have a job with a key.
     *
     * @param sinceNanos time of the monotonic clock from which on this entry may have missed claims; a key that was
     *     claimed earlier is known here
     * @param unknownToAll completed with true if no other entry can have such a job; with false if one has it or
     *     nothing is proven
     */
    record QueryKey(SubmissionKey key, long sinceNanos, CompletableFuture<Boolean> unknownToAll)
            implements PeerCommand {}

    /** Requests a coordinator to cancel its job. */
    record CancelJob(Coordinator coordinator, JobId job) implements PeerCommand {}

    /** The transport reports a change or a frame of a connection to an entry. */
    record Signal(LinkSignal signal) implements PeerCommand {}

    /** The list of members changed. */
    record MembersChanged(MemberList members) implements PeerCommand {}

    /** Queries an entry whether it reaches a suspected member. */
    record QuerySuspicion(Incarnation entry, Incarnation suspect) implements PeerCommand {}

    /** Another entry asks whether an entry is reachable; {@code alive} receives the answer. */
    record Probe(Incarnation entry, Consumer<Boolean> alive) implements PeerCommand {}

    /** Sends a frame to an entry; the frame is discarded if the entry is unreachable. */
    record Send(String processId, Frame frame) implements PeerCommand {}

    /** Stops the actor. */
    record Stop() implements PeerCommand {}

    /** Periodic timer message. */
    record Tick() implements PeerCommand {}
}
