package org.chivetally.coordination;

import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;

/** What a coordinator wants done; its shell carries effects out in order. */
public sealed interface DispatchEffect {
    /** Smallest request id that a dispatcher gives; those of the shell stay below. */
    long FIRST_REQUEST_ID = 1L << 62;

    /**
     * Send a frame on the agent's usable connection. The shell sets the request id of a frame that has none; an Inquiry
     * comes with its own, from {@link #FIRST_REQUEST_ID} on, by which its answer is told from answers to earlier ones.
     */
    record SendFrame(AgentId agent, Frame frame) implements DispatchEffect {}

    /** The job has its final outcome. */
    record JobFinished(JobId job, JobOutcome outcome) implements DispatchEffect {}

    /** Write one line for a decision. */
    record WriteLine(EventLine line) implements DispatchEffect {}

    /** Count a message that did no good. */
    record CountWaste(WasteKind kind) implements DispatchEffect {}

    /** Kinds of messages that did no good. */
    enum WasteKind {
        /** A start that the agent refused. */
        REFUSED,
        /** A second result of one attempt. */
        DUPLICATE,
        /** A result after the job was final. */
        LATE,
        /** A frame that matches nothing. */
        STRAY
    }
}
