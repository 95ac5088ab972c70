package org.chivetally.agent;

import java.util.List;
import org.chivetally.wire.v1.Inquiry;
import org.chivetally.wire.v1.Start;

/** What an agent learns. */
public sealed interface AgentEvent {
    /** A connection is open; its far end is not known yet. */
    record PeerConnected(PeerId peer) implements AgentEvent {}

    /** The far end of a connection said who it is. */
    record PeerIdentified(PeerId peer, String processId, String incarnation) implements AgentEvent {}

    /** A connection is closed. */
    record PeerDisconnected(PeerId peer) implements AgentEvent {}

    /** A coordinator asks to run one task once. */
    record StartRequested(PeerId peer, long requestId, Start start) implements AgentEvent {}

    /** A coordinator gives up the waiting tasks of jobs. */
    record CancelRequested(PeerId peer, List<String> jobIds) implements AgentEvent {
        /** Copies the list. */
        public CancelRequested {
            jobIds = List.copyOf(jobIds);
        }
    }

    /** A coordinator asks what became of a job here. */
    record InquiryRequested(PeerId peer, long requestId, Inquiry inquiry) implements AgentEvent {}

    /** A peer asks for a sign of life. */
    record HeartbeatRequested(PeerId peer, long requestId) implements AgentEvent {}

    /** A request to the minion ended. */
    record MinionAnswered(String attemptId, MinionAnswer answer) implements AgentEvent {}

    /** The minion's state was read, by a request sent at a reading of the clock. */
    record MinionReported(MinionState state, long requestedNanos) implements AgentEvent {}

    /** Another configuration is in force. */
    record Configured(AgentConfiguration configuration) implements AgentEvent {}

    /** The process is to stop. */
    record DrainRequested(String reason) implements AgentEvent {}

    /** Time passed; sent at least every 20 ms while a task waits or runs. */
    record Ticked() implements AgentEvent {}
}
