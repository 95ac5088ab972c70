package org.chivetally.agent;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;

/** One admitted attempt of a task, from waiting over running to its kept result. */
final class Attempt {
    /** Error of a result whose text was dropped for space. */
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

    /** Sends the outcome to another connection from now on. */
    void redirectTo(PeerId newPeer, Peers.ProcessKey newProcess) {
        if (!newProcess.equals(process)) {
            // Request ids are counted by each process, so this one means nothing to the new process.
            requestId = 0;
        }
        peer = newPeer;
        process = newProcess;
    }

    Attempt earlier() {
        return earlier;
    }

    /** Notes the attempt of the same task that this one takes the place of. */
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

    /** Marks the begin of the run and gives up the payload. */
    ByteString begin(long nowNanos) {
        ByteString taken = payload;
        startedNanos = nowNanos;
        payload = ByteString.EMPTY;
        return taken;
    }

    /** Tells whether the run had begun at a time. */
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

    /** Drops the texts for space; what is left says only that the attempt started. */
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

    /** Returns the bytes that the kept texts take in a frame. */
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

    /** Times of an attempt by the agent's clock, in nanoseconds. */
    record Times(long receivedNanos, long queueEndNanos, long leaseEndNanos) {}
}
