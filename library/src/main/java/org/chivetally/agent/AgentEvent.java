package org.chivetally.agent;

import java.util.List;
import org.chivetally.wire.v1.Inquiry;
import org.chivetally.wire.v1.Start;

/** An input of {@link AgentState}. */
public sealed interface AgentEvent {
    /** A connection was opened; the process at its far end is not identified yet. */
    record PeerConnected(PeerId peer) implements AgentEvent {}

    /** The far end of a connection identified its process. */
    record PeerIdentified(PeerId peer, String processId, String incarnation) implements AgentEvent {}

    /** A connection was closed. */
    record PeerDisconnected(PeerId peer) implements AgentEvent {}

    /** A coordinator requests one attempt of a task. */
    record StartRequested(PeerId peer, long requestId, Start start) implements AgentEvent {}

    /** A coordinator cancels the waiting tasks of jobs. */
    record CancelRequested(PeerId peer, List<String> jobIds) implements AgentEvent {
        /** Copies the list. */
        public CancelRequested {
            jobIds = List.copyOf(jobIds);
        }
    }

    /** A coordinator requests the state of all tasks of a job on this agent. */
    record InquiryRequested(PeerId peer, long requestId, Inquiry inquiry) implements AgentEvent {}

    /** A peer sent a heartbeat that is to be answered. */
    record HeartbeatRequested(PeerId peer, long requestId) implements AgentEvent {}

    /** A request to the minion completed or failed. */
    record MinionAnswered(String attemptId, MinionAnswer answer) implements AgentEvent {}

    /**
     * The minion's state was read.
     *
     * @param requestedNanos when the request was sent, by the agent's clock, in nanoseconds
     */
    record MinionReported(MinionState state, long requestedNanos) implements AgentEvent {}

    /** A configuration was received and applied. */
    record Configured(AgentConfiguration configuration) implements AgentEvent {}

    /** The process is to stop gracefully. */
    record DrainRequested(String reason) implements AgentEvent {}

    /** Time passed; sent at least every 20 ms while a task waits or runs. */
    record Ticked() implements AgentEvent {}
}
