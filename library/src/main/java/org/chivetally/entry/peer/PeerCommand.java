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
    /** Ask a coordinator for its job's outcome until it answers or the question is forgotten. */
    record QueryOutcome(Coordinator coordinator, JobId job, String key) implements PeerCommand {}

    /** The answer is no longer wanted. */
    record CancelOutcomeQuery(JobId job) implements PeerCommand {}

    /** Ask all other entries whether they have a job of a key, which this one would know if it was claimed before. */
    record QueryKey(SubmissionKey key, long sinceNanos, CompletableFuture<Boolean> unknownToAll)
            implements PeerCommand {}

    /** Ask a coordinator to cancel its job. */
    record CancelJob(Coordinator coordinator, JobId job) implements PeerCommand {}

    /** The transport reports about a connection to an entry. */
    record Signal(LinkSignal signal) implements PeerCommand {}

    /** The members changed. */
    record MembersChanged(MemberList members) implements PeerCommand {}

    /** Ask an entry whether it reaches a member. */
    record QuerySuspicion(Incarnation entry, Incarnation suspect) implements PeerCommand {}

    /** Another entry asks whether an entry can be reached. */
    record Probe(Incarnation entry, Consumer<Boolean> alive) implements PeerCommand {}

    /** Send a frame to an entry; lost when it can't be reached now. */
    record Send(String processId, Frame frame) implements PeerCommand {}

    /** Ends the actor. */
    record Stop() implements PeerCommand {}

    /** Time passed. */
    record Tick() implements PeerCommand {}
}
