package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.List;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.job.JobOutcome.Failure;

/** Decides what is certain about the work of a job that fails. */
final class OutcomeJudge {
    private OutcomeJudge() {}

    /**
     * Returns the failure of a job as it stands.
     *
     * @param mayBeTakenOver whether another coordinator may have started any task that is not done
     */
    static Failure failure(
            JobProgress job, boolean mayBeTakenOver, ErrorCode code, String detail, long retryAfterMillis) {
        List<Integer> unknown = new ArrayList<>();
        boolean ran = false;
        for (TaskProgress task : job.tasks) {
            boolean done = task.stage == TaskProgress.Stage.DONE;
            if (task.mayHaveStarted() || mayBeTakenOver && !done) {
                unknown.add(task.index);
            }
            ran |= done || task.ran;
        }
        Certainty certainty = Certainty.NOT_RUN;
        if (!unknown.isEmpty()) {
            certainty = Certainty.UNKNOWN;
        } else if (ran) {
            certainty = Certainty.FAILED;
        }
        return new Failure(code, certainty, detail, unknown, retryAfterMillis);
    }
}
