package org.chivetally.agent;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;

/** An admitted attempt of a task, while it waits, while it runs, and with its retained result. */
final class Attempt {
    /** Error of an attempt whose result was discarded for space. */
    static final String RESULT_DISCARDED = "result no longer kept";

    final String id;
    final String jobId;
    final int taskIndex;
    final int generation;
    final boolean idempotent;
    final long receivedNanos;
    final long queueEndNanos;
    final long leaseEndNanos;

    private PeerId peer;
    private Peers.ProcessKey process;
    private long requestId;
    private ByteString payload;
    private Attempt earlier;
    private long startedNanos;
    private long endedNanos;
    private TaskStatus status = TaskStatus.TASK_STATUS_RUNNING;
    private String body = "";
    private String error = "";

    Attempt(Start start, PeerId peer, Peers.ProcessKey process, long requestId, Times times) {
        this.id = start.getAttemptId();
        this.jobId = start.getJobId();
        this.taskIndex = start.getTaskIndex();
        this.generation = start.getGeneration();
        this.idempotent = start.getIdempotent();
        this.payload = start.getPayloadBytes();
        this.peer = peer;
        this.process = process;
        this.requestId = requestId;
        this.receivedNanos = times.receivedNanos();
        this.queueEndNanos = times.queueEndNanos();
        this.leaseEndNanos = times.leaseEndNanos();
    }

    PeerId peer() {
        return peer;
    }

    Peers.ProcessKey process() {
        return process;
    }

    long requestId() {
        return requestId;
    }

    /** Redirects the outcome to another connection. */
    void redirectTo(PeerId newPeer, Peers.ProcessKey newProcess) {
        if (!newProcess.equals(process)) {
            // Each process numbers its own requests, so the id of the old process is not valid for the new one.
            requestId = 0;
        }
        peer = newPeer;
        process = newProcess;
    }

    Attempt earlier() {
        return earlier;
    }

    /** Sets the earlier attempt of the same task that this one replaces; null for none. */
    void setEarlier(Attempt previous) {
        earlier = previous;
    }

    boolean ended() {
        return status != TaskStatus.TASK_STATUS_RUNNING;
    }

    TaskStatus status() {
        return status;
    }

    String body() {
        return body;
    }

    String error() {
        return error;
    }

    long endedNanos() {
        return endedNanos;
    }

    /** Marks the attempt as started, and returns its payload, which is no longer stored. */
    ByteString begin(long nowNanos) {
        ByteString taken = payload;
        startedNanos = nowNanos;
        payload = ByteString.EMPTY;
        return taken;
    }

    /** Returns whether the attempt had started at a time of the agent's clock, in nanoseconds. */
    boolean startedBy(long nanos) {
        return nanos - startedNanos >= 0;
    }

    void end(TaskStatus newStatus, String newBody, String newError, long nowNanos) {
        status = newStatus;
        body = newBody;
        error = newError;
        endedNanos = nowNanos;
        earlier = null;
    }

    /** Discards the result for space; the attempt stays known as started, with an unknown outcome. */
    void discardResult() {
        status = TaskStatus.TASK_STATUS_UNKNOWN;
        body = "";
        error = RESULT_DISCARDED;
    }

    boolean mayWait(long nowNanos) {
        return nowNanos - queueEndNanos < 0 && nowNanos - leaseEndNanos < 0;
    }

    boolean leaseExpired(long nowNanos) {
        return nowNanos - leaseEndNanos >= 0;
    }

    long queueMicros() {
        return (startedNanos - receivedNanos) / 1_000;
    }

    long runMicros() {
        return (endedNanos - startedNanos) / 1_000;
    }

    /** Returns the size of the result in a frame, in bytes. */
    int resultBytes() {
        return CodedOutputStream.computeStringSizeNoTag(body) + CodedOutputStream.computeStringSizeNoTag(error);
    }

    TaskState toTaskState() {
        return TaskState.newBuilder()
                .setTaskIndex(taskIndex)
                .setAttemptId(id)
                .setStatus(status)
                .setBody(body)
                .setError(error)
                .build();
    }

    /**
     * Times of an attempt by the agent's clock, in nanoseconds: its receipt and the ends of its queue time and lease.
     */
    record Times(long receivedNanos, long queueEndNanos, long leaseEndNanos) {}
}
