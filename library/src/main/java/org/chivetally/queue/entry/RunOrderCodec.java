package org.chivetally.queue.entry;

import org.chivetally.queue.JobCodec;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.placement.Worker;
import org.chivetally.wire.v1.RunStart;
import org.chivetally.wire.v1.RunStop;

/** Builds the messages that order an agent to start or stop a run. */
final class RunOrderCodec {
    private RunOrderCodec() {}

    /** Returns an order to start a run; what depends on the link to the agent is left to the caller. */
    static RunStart.Builder start(Worker.SentStart sent, JobOwner.FencingToken token) {
        Task task = sent.task();
        return RunStart.newBuilder()
                .setNumber(sent.number())
                .setTask(task.key().toString())
                .setRun(sent.run())
                .setPartition(token.partition())
                .setEpoch(token.epoch())
                .setUnkept(token.inMemory())
                .setRoom(JobCodec.encode(task.room()))
                .setPayload(task.job().specification().payload());
    }

    static RunStop.Builder stop(TaskKey task, long run, JobOwner.FencingToken token) {
        return RunStop.newBuilder()
                .setTask(task.toString())
                .setRun(run)
                .setPartition(token.partition())
                .setEpoch(token.epoch())
                .setUnkept(token.inMemory());
    }
}
