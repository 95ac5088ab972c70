package org.chivetally.queue.entry;

import java.time.Duration;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.RefusalReason;
import org.chivetally.wire.v1.JobReply;
import org.chivetally.wire.v1.JobVerdict;

/** Converts answers about jobs to and from the frames between entries. */
final class JobReplyCodec {
    private JobReplyCodec() {}

    static JobReply encode(JobAnswer answer) {
        JobReply.Builder reply = JobReply.newBuilder();
        switch (answer) {
            case JobAnswer.Accepted accepted -> reply.setVerdict(JobVerdict.JOB_VERDICT_ACCEPTED);
            case JobAnswer.Refused refused ->
                reply.setVerdict(JobVerdict.JOB_VERDICT_REFUSED)
                        .setReason(refused.reason().text())
                        .setRetryAfterMillis((int) refused.retryAfter().toMillis());
            case JobAnswer.UnknownJob unknown -> reply.setVerdict(JobVerdict.JOB_VERDICT_UNKNOWN_JOB);
            case JobAnswer.State state ->
                reply.setVerdict(JobVerdict.JOB_VERDICT_STATE).setPhase(JobCodec.encode(state.phase()));
            case JobAnswer.Cancelled cancelled -> reply.setVerdict(JobVerdict.JOB_VERDICT_CANCELLED);
            // Where another owner may have the answer, the requesting entry is sent to look for that owner.
            case JobAnswer.NotOwner other -> reply.setVerdict(JobVerdict.JOB_VERDICT_NOT_OWNER);
            case JobAnswer.Undecided undecided -> reply.setVerdict(JobVerdict.JOB_VERDICT_NOT_OWNER);
            case JobAnswer.Unavailable unavailable -> reply.setVerdict(JobVerdict.JOB_VERDICT_NOT_OWNER);
        }
        return reply.build();
    }

    static JobAnswer decode(JobReply reply) {
        return switch (reply.getVerdict()) {
            case JOB_VERDICT_ACCEPTED -> new JobAnswer.Accepted();
            case JOB_VERDICT_REFUSED ->
                new JobAnswer.Refused(
                        RefusalReason.of(reply.getReason()), Duration.ofMillis(reply.getRetryAfterMillis()));
            case JOB_VERDICT_UNKNOWN_JOB -> new JobAnswer.UnknownJob();
            case JOB_VERDICT_STATE -> new JobAnswer.State(JobCodec.decode(reply.getPhase()));
            case JOB_VERDICT_CANCELLED -> new JobAnswer.Cancelled();
            case JOB_VERDICT_NOT_OWNER, JOB_VERDICT_UNSPECIFIED, UNRECOGNIZED -> new JobAnswer.NotOwner();
        };
    }
}
