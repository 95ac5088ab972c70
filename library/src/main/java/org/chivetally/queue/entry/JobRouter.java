package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RefusalReason;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.JobCancellation;
import org.chivetally.wire.v1.JobQuery;
import org.chivetally.wire.v1.JobReply;
import org.chivetally.wire.v1.JobSubmission;

/**
 * Answers callers of this entry: asks the owner of the job's partition, here or at another entry, and asks again when
 * the owner changes meanwhile. All three calls may be repeated, as the owner knows a job by its id.
 */
public final class JobRouter {
    /** When to come back while a partition has no owner: a failover takes two to three seconds. */
    static final Duration OWNER_RETRY_AFTER = Duration.ofSeconds(2);

    /** Pause before an owner that denied it is asked again; its beat with the new owner comes meanwhile. */
    static final Duration RETRY_DELAY = Duration.ofMillis(60);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final int partitionCount;
    private final OwnerDirectory owners;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private long lastId;

    JobRouter(Timers timers, int partitionCount, OwnerDirectory owners) {
        this.timers = timers;
        this.partitionCount = partitionCount;
        this.owners = owners;
    }

    /** Who owns a partition, as far as this entry knows. */
    interface OwnerDirectory {
        /** Returns this entry's own partition when it is ready for callers. */
        Optional<PartitionOwner> localOwner(int partition);

        /** Returns the link to the entry that owns the partition. */
        Optional<PeerLink> linkToOwner(int partition);

        /** Tells whether this entry may say that a job does not exist. */
        boolean mayReportUnknownJob();
    }

    /**
     * Submits a job.
     *
     * @param deadlineNanos when the caller gives up, by the steady clock
     */
    public void submit(JobSpecification job, long deadlineNanos, Consumer<JobAnswer> answer) {
        Frame frame = Frame.newBuilder()
                .setJobSubmission(JobSubmission.newBuilder().setJob(JobCodec.encode(job)))
                .build();
        route(new PendingRequest(
                job.id(), frame, deadlineNanos, answer, (owner, told) -> owner.submit(job, told), true));
    }

    /** Asks how far a job is. */
    public void query(String jobId, long deadlineNanos, Consumer<JobAnswer> answer) {
        Frame frame = Frame.newBuilder()
                .setJobQuery(JobQuery.newBuilder().setJobId(jobId))
                .build();
        route(new PendingRequest(
                jobId, frame, deadlineNanos, answer, (owner, told) -> told.accept(state(owner, jobId)), false));
    }

    /** Cancels a job. */
    public void cancel(String jobId, long deadlineNanos, Consumer<JobAnswer> answer) {
        Frame frame = Frame.newBuilder()
                .setJobCancellation(JobCancellation.newBuilder().setJobId(jobId))
                .build();
        route(new PendingRequest(
                jobId, frame, deadlineNanos, answer, (owner, told) -> owner.cancel(jobId, told), false));
    }

    private JobAnswer state(PartitionOwner owner, String jobId) {
        JobAnswer answer = owner.query(jobId);
        if (answer instanceof JobAnswer.UnknownJob && !owners.mayReportUnknownJob()) {
            // Another entry may have taken the partition over, and jobs with it, without this one having noticed.
            return new JobAnswer.NotOwner();
        }
        return answer;
    }

    private void route(PendingRequest question) {
        lastId++;
        question.id = lastId;
        pending.put(question.id, question);
        boolean asked = send(question);
        if (!asked && pending.containsKey(question.id)) {
            finish(question, notSent(question, "no owner"));
            return;
        }
        long left = question.deadlineNanos - timers.nanos();
        question.timer = timers.after(Duration.ofNanos(Math.max(0, left)), () -> expire(question));
        if (!pending.containsKey(question.id)) {
            question.timer.cancel();
        }
    }

    private void expire(PendingRequest question) {
        if (question.sent) {
            finish(question, notAnswered(question, "no answer in time"));
        } else {
            finish(question, notSent(question, "no owner in time"));
        }
    }

    private static JobAnswer notSent(PendingRequest question, String reason) {
        return question.submission
                ? new JobAnswer.Refused(RefusalReason.OWNER_UNAVAILABLE, OWNER_RETRY_AFTER)
                : new JobAnswer.Unavailable(reason);
    }

    private static JobAnswer notAnswered(PendingRequest question, String reason) {
        return question.submission ? new JobAnswer.Undecided(reason) : new JobAnswer.Unavailable(reason);
    }

    /** Asks the owner; tells whether there was one to ask. */
    private boolean send(PendingRequest question) {
        int partition = Partitions.of(question.jobId, partitionCount);
        Optional<PartitionOwner> local = owners.localOwner(partition);
        if (local.isPresent()) {
            question.sent = true;
            question.sentTo = "";
            question.call.call(local.get(), answer -> receiveAnswer(question, answer));
            return true;
        }
        Optional<PeerLink> remote = owners.linkToOwner(partition);
        if (remote.isEmpty()) {
            return false;
        }
        question.sent = true;
        question.sentTo = remote.get().peer().process();
        remote.get().send(question.frame.toBuilder().setRequestId(question.id).build());
        return true;
    }

    private void receiveAnswer(PendingRequest question, JobAnswer answer) {
        if (!pending.containsKey(question.id)) {
            return;
        }
        if (answer instanceof JobAnswer.NotOwner) {
            timers.after(RETRY_DELAY, () -> retry(question));
            return;
        }
        finish(question, answer);
    }

    private void retry(PendingRequest question) {
        if (pending.containsKey(question.id) && !send(question)) {
            // Nobody owns the partition for the moment. The question stays open until its deadline, as what was asked
            // may already be stored.
            timers.after(RETRY_DELAY, () -> retry(question));
        }
    }

    private void finish(PendingRequest question, JobAnswer answer) {
        if (pending.remove(question.id) == null) {
            return;
        }
        if (question.timer != null) {
            question.timer.cancel();
        }
        if (!(answer instanceof JobAnswer.State)) {
            EventLine.of("caller-answered")
                    .with("job", question.jobId)
                    .with("answer", answer)
                    .with("owner", question.sentTo)
                    .with("left_ms", (question.deadlineNanos - timers.nanos()) / 1_000_000)
                    .log(LOGGER.atInfo());
        }
        question.answer.accept(answer);
    }

    /** Asks again what was asked at a process whose link is gone. */
    void linkLost(String process) {
        for (PendingRequest question : new ArrayList<>(pending.values())) {
            if (process.equals(question.sentTo)) {
                retry(question);
            }
        }
    }

    /** Answers all callers that still wait, as the process ends now. */
    public void expireAll() {
        for (PendingRequest question : new ArrayList<>(pending.values())) {
            expire(question);
        }
    }

    /** Takes the answer of another entry. */
    void receiveReply(long id, JobReply reply) {
        PendingRequest question = pending.get(id);
        if (question != null) {
            receiveAnswer(question, JobReplyCodec.decode(reply));
        }
    }

    /** Answers a question that another entry passed on. */
    void serve(PeerLink link, Frame frame) {
        long id = frame.getRequestId();
        Consumer<JobAnswer> reply = answer -> link.send(Frame.newBuilder()
                .setRequestId(id)
                .setJobReply(JobReplyCodec.encode(answer))
                .build());
        switch (frame.getBodyCase()) {
            case JOB_SUBMISSION -> {
                JobSpecification job = JobCodec.decode(frame.getJobSubmission().getJob());
                ownerOf(job.id())
                        .ifPresentOrElse(
                                owner -> owner.submit(job, reply), () -> reply.accept(new JobAnswer.NotOwner()));
            }
            case JOB_QUERY -> {
                String jobId = frame.getJobQuery().getJobId();
                reply.accept(ownerOf(jobId).map(owner -> state(owner, jobId)).orElse(new JobAnswer.NotOwner()));
            }
            default -> {
                String jobId = frame.getJobCancellation().getJobId();
                ownerOf(jobId)
                        .ifPresentOrElse(
                                owner -> owner.cancel(jobId, reply), () -> reply.accept(new JobAnswer.NotOwner()));
            }
        }
    }

    private Optional<PartitionOwner> ownerOf(String jobId) {
        return owners.localOwner(Partitions.of(jobId, partitionCount));
    }

    /** Returns the number of callers that wait for an answer. */
    public int pendingRequests() {
        return pending.size();
    }

    /** How an owner in this process is asked. */
    private interface LocalCall {
        void call(PartitionOwner owner, Consumer<JobAnswer> answer);
    }

    /** A caller that waits. */
    private static final class PendingRequest {
        private final String jobId;
        private final Frame frame;
        private final long deadlineNanos;
        private final Consumer<JobAnswer> answer;
        private final LocalCall call;
        private final boolean submission;
        private long id;
        private boolean sent;
        private String sentTo = "";
        private Timers.Timer timer;

        private PendingRequest(
                String jobId,
                Frame frame,
                long deadlineNanos,
                Consumer<JobAnswer> answer,
                LocalCall call,
                boolean submission) {
            this.jobId = jobId;
            this.frame = frame;
            this.deadlineNanos = deadlineNanos;
            this.answer = answer;
            this.call = call;
            this.submission = submission;
        }
    }
}
