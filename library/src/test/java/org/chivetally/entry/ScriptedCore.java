package org.chivetally.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.TaskSpecification;

/** Answers each claimed job with its payloads; holds jobs of the service "held"; refuses all while it is full. */
final class ScriptedCore implements DispatchCore {
    private final Map<JobId, JobSpecification> open = new HashMap<>();
    private final List<DispatchEvent> events = new CopyOnWriteArrayList<>();
    private volatile boolean full;
    private volatile boolean releasing;

    void fill(boolean isFull) {
        full = isFull;
    }

    /** Lets held jobs end at the next tick. */
    void releaseHeld() {
        releasing = true;
    }

    /** Returns the events of one type so far. */
    <T extends DispatchEvent> List<T> events(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public List<DispatchEffect> handle(DispatchEvent event, long nowNanos) {
        if (!(event instanceof DispatchEvent.Ticked)) {
            events.add(event);
        }
        return switch (event) {
            case DispatchEvent.JobSubmitted submitted -> submitted(submitted);
            case DispatchEvent.JobClaimed claimed -> claimed(claimed.job());
            case DispatchEvent.JobCancelled cancelled ->
                end(cancelled.job(), failure(ErrorCode.CANCELLED, "cancelled"));
            case DispatchEvent.JobWithdrawn withdrawn -> {
                open.remove(withdrawn.job());
                yield List.of();
            }
            case DispatchEvent.Ticked ticked -> releasing ? completeAll() : List.of();
            default -> List.of();
        };
    }

    private List<DispatchEffect> submitted(DispatchEvent.JobSubmitted submitted) {
        open.put(submitted.job(), submitted.specification());
        return full ? end(submitted.job(), failure(ErrorCode.OVERLOADED, "full")) : List.of();
    }

    private List<DispatchEffect> claimed(JobId job) {
        JobSpecification specification = open.get(job);
        boolean held = specification == null || specification.service().equals("held");
        return held ? List.of() : complete(job);
    }

    private List<DispatchEffect> completeAll() {
        List<DispatchEffect> effects = new ArrayList<>();
        List.copyOf(open.keySet()).forEach(job -> effects.addAll(complete(job)));
        return effects;
    }

    private List<DispatchEffect> complete(JobId job) {
        List<String> payloads =
                open.get(job).tasks().stream().map(TaskSpecification::payload).toList();
        return end(job, new JobOutcome.Complete(payloads));
    }

    private List<DispatchEffect> end(JobId job, JobOutcome outcome) {
        return open.remove(job) == null ? List.of() : List.of(new DispatchEffect.JobFinished(job, outcome));
    }

    private static JobOutcome failure(ErrorCode code, String detail) {
        return new JobOutcome.Failure(code, JobOutcome.Certainty.NOT_RUN, detail, List.of(), 1_500);
    }
}
