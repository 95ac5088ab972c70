package org.chivetally.agent;

import com.google.protobuf.ByteString;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;

/** What an agent wants done; its shell carries effects out in order. */
public sealed interface AgentEffect {
    /** Send a task to the minion; the payload is JSON text in UTF-8. */
    record RunOnMinion(String attemptId, String jobId, int taskIndex, ByteString payload) implements AgentEffect {}

    /** Break off the request of an attempt; a later answer to it is ignored. */
    record AbandonRun(String attemptId) implements AgentEffect {}

    /** Send a frame. */
    record SendTo(PeerId peer, Frame frame) implements AgentEffect {}

    /** Draining is over; the process may stop. */
    record ReadyToStop() implements AgentEffect {}

    /** Write one line for a decision. */
    record WriteLine(EventLine line) implements AgentEffect {}

    /** Count a message that did no good. */
    record CountWaste(WasteKind kind) implements AgentEffect {}

    /** Kinds of messages that did no good. */
    enum WasteKind {
        /** A start of an attempt that is known here already. */
        REPEATED_START,
        /** An answer of the minion to an attempt that has ended. */
        LATE_ANSWER,
        /** A result or refusal whose process has no open connection. */
        UNDELIVERED,
        /** An inquiry of a generation that another coordinator has taken over from. */
        OLD_INQUIRY
    }
}
