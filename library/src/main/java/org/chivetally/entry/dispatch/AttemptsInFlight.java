package org.chivetally.entry.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.InquiryAnswer;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;

/**
 * Which agents owe an answer, so that their connections are watched closely.
 *
 * <p>A heartbeat that the dispatcher wants before a start is one such answer: an idle connection that is dead is
 * noticed when it is to be used, and not only at its next regular heartbeat.
 *
 * <p>Decides about heartbeats only; what an attempt's outcome is, is decided by the dispatcher. An answer that never
 * comes stops counting some time after the attempt's lease.
 */
final class AttemptsInFlight {
    private static final long MARGIN_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long INQUIRY_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long HEARTBEAT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final String INQUIRY = "inquiry/";
    private static final String HEARTBEAT = "heartbeat";

    private final Map<String, Map<String, Long>> awaited = new HashMap<>();

    /** Notes a frame that was sent to an agent. */
    void sent(String processId, Frame frame, long now) {
        if (frame.hasStart()) {
            Start start = frame.getStart();
            long longest = (start.getLeaseMillis() + start.getQueueMillis()) * NANOS_PER_MILLI;
            await(processId, start.getAttemptId(), now + longest + MARGIN_NANOS);
        }
        if (frame.hasHeartbeat()) {
            await(processId, HEARTBEAT, now + HEARTBEAT_NANOS);
        }
        if (frame.hasInquiry()) {
            await(processId, INQUIRY + frame.getInquiry().getJobId(), now + INQUIRY_NANOS);
        }
    }

    /** Notes a frame that arrived from an agent. */
    void received(String processId, Frame frame) {
        Map<String, Long> open = awaited.get(processId);
        if (open == null) {
            return;
        }
        switch (frame.getBodyCase()) {
            case RESULT -> open.remove(frame.getResult().getAttemptId());
            case REFUSAL -> open.remove(frame.getRefusal().getAttemptId());
            case HEARTBEAT -> open.remove(HEARTBEAT);
            case INQUIRY_ANSWER -> answered(open, frame.getInquiryAnswer());
            default -> {
                return;
            }
        }
        dropIfEmpty(processId, open);
    }

    /** Forgets an agent. */
    void forget(String processId) {
        awaited.remove(processId);
    }

    /** Tells whether the agent owes an answer. */
    boolean awaits(String processId) {
        return awaited.containsKey(processId);
    }

    /** Forgets answers that are overdue for long. */
    void expire(long now) {
        awaited.values().forEach(open -> open.values().removeIf(end -> now - end >= 0));
        awaited.values().removeIf(Map::isEmpty);
    }

    private void await(String processId, String what, long end) {
        awaited.computeIfAbsent(processId, name -> new HashMap<>()).put(what, end);
    }

    private static void answered(Map<String, Long> open, InquiryAnswer answer) {
        open.remove(INQUIRY + answer.getJobId());
        for (TaskState task : answer.getTasksList()) {
            if (task.getStatus() != TaskStatus.TASK_STATUS_RUNNING) {
                open.remove(task.getAttemptId());
            }
        }
    }

    private void dropIfEmpty(String processId, Map<String, Long> open) {
        if (open.isEmpty()) {
            awaited.remove(processId);
        }
    }
}
