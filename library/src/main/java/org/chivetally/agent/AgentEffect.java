package org.chivetally.agent;

import com.google.protobuf.ByteString;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;

/** An action that {@link AgentState} requests; the agent's actor executes effects in order. */
public sealed interface AgentEffect {
    /** Send a task to the minion; the payload is JSON text in UTF-8. */
    record RunOnMinion(String attemptId, String jobId, int taskIndex, ByteString payload) implements AgentEffect {}

    /** Cancel the request of an attempt to the minion; a later answer to it is ignored. */
    record AbandonRun(String attemptId) implements AgentEffect {}

    /** Send a frame over an open connection; dropped when the connection is closed. */
    record SendTo(PeerId peer, Frame frame) implements AgentEffect {}

    /** The drain is complete; the process may stop. */
    record ReadyToStop() implements AgentEffect {}

    /** Write one line to the log. */
    record WriteLine(EventLine line) implements AgentEffect {}

    /** Count a wasted message. */
    record CountWaste(WasteKind kind) implements AgentEffect {}

    /** Kinds of wasted messages: those that made no progress; written out as a metric label. */
    enum WasteKind {
        /** A start of an attempt or a task that the agent has already answered or admitted. */
        REPEATED_START,
        /** An answer of the minion to an attempt that has already ended. */
        LATE_ANSWER,
        /** A result or refusal for a process that has no open connection. */
        UNDELIVERED,
        /** An inquiry of a coordinator whose job another coordinator has taken over. */
        OLD_INQUIRY
    }
}
