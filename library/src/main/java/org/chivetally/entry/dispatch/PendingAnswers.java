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
 * Answers that agents have yet to send. The links to these agents use the heartbeat interval of active connections.
 *
 * <p>A heartbeat that the dispatcher requests before a start counts as a pending answer. A dead idle connection is
 * thereby detected when it is to be used, not only at its next regular heartbeat.
 *
 * <p>Affects heartbeats only; the dispatcher determines the outcome of an attempt. A missing answer is dropped when its
 * deadline passes; that of an attempt is {@link #ANSWER_MARGIN_NANOS} after its queue time and lease.
 */
final class PendingAnswers {
    private static final long ANSWER_MARGIN_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long INQUIRY_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long HEARTBEAT_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final String INQUIRY_PREFIX = "inquiry/";
    private static final String HEARTBEAT_KEY = "heartbeat";

    private final Map<String, Map<String, Long>> deadlinesByAgent = new HashMap<>();

    /** Records the answer that a frame sent to an agent requires, if any; {@code now} is in nanoseconds. */
    void sent(String processId, Frame frame, long now) {
        if (frame.hasStart()) {
            Start start = frame.getStart();
            long longestNanos = (start.getLeaseMillis() + start.getQueueMillis()) * NANOS_PER_MILLI;
            add(processId, start.getAttemptId(), now + longestNanos + ANSWER_MARGIN_NANOS);
        }
        if (frame.hasHeartbeat()) {
            add(processId, HEARTBEAT_KEY, now + HEARTBEAT_TIMEOUT_NANOS);
        }
        if (frame.hasInquiry()) {
            add(processId, INQUIRY_PREFIX + frame.getInquiry().getJobId(), now + INQUIRY_TIMEOUT_NANOS);
        }
    }

    /** Removes the pending answers that a frame from an agent contains. */
    void received(String processId, Frame frame) {
        Map<String, Long> pending = deadlinesByAgent.get(processId);
        if (pending == null) {
            return;
        }
        switch (frame.getBodyCase()) {
            case RESULT -> pending.remove(frame.getResult().getAttemptId());
            case REFUSAL -> pending.remove(frame.getRefusal().getAttemptId());
            case HEARTBEAT -> pending.remove(HEARTBEAT_KEY);
            case INQUIRY_ANSWER -> removeAnswered(pending, frame.getInquiryAnswer());
            default -> {
                return;
            }
        }
        removeIfEmpty(processId, pending);
    }

    /** Removes all pending answers of an agent. */
    void remove(String processId) {
        deadlinesByAgent.remove(processId);
    }

    /** Returns whether an answer of the agent is pending. */
    boolean hasPending(String processId) {
        return deadlinesByAgent.containsKey(processId);
    }

    /** Removes answers whose deadline has passed; {@code now} is in nanoseconds. */
    void expire(long now) {
        deadlinesByAgent.values().forEach(pending -> pending.values().removeIf(deadline -> now - deadline >= 0));
        deadlinesByAgent.values().removeIf(Map::isEmpty);
    }

    private void add(String processId, String answerKey, long deadlineNanos) {
        deadlinesByAgent.computeIfAbsent(processId, name -> new HashMap<>()).put(answerKey, deadlineNanos);
    }

    private static void removeAnswered(Map<String, Long> pending, InquiryAnswer answer) {
        pending.remove(INQUIRY_PREFIX + answer.getJobId());
        for (TaskState task : answer.getTasksList()) {
            if (task.getStatus() != TaskStatus.TASK_STATUS_RUNNING) {
                pending.remove(task.getAttemptId());
            }
        }
    }

    private void removeIfEmpty(String processId, Map<String, Long> pending) {
        if (pending.isEmpty()) {
            deadlinesByAgent.remove(processId);
        }
    }
}
