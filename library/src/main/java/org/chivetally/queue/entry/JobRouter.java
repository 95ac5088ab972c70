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
 * Answers callers' requests about durable jobs. Each request is sent to the owner of the job's partition, in this
 * process or at another entry, and sent again if the owner changes before it answers. Resending is safe, as the owner
 * identifies a job by its id.
 */
public final class JobRouter {
    /** Retry delay sent to callers while a partition has no owner: a failover takes two to three seconds. */
    static final Duration OWNER_RETRY_AFTER = Duration.ofSeconds(2);

    /**
     * Delay before a request is sent again after the receiver answered that it isn't the owner. The heartbeat that
     * names the new owner arrives in this time.
     */
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

    /** The owners of partitions, as far as this entry has been informed of them. */
    interface OwnerDirectory {
        /** Returns the owner in this process; empty if this entry doesn't own the partition or hasn't loaded it yet. */
        Optional<PartitionOwner> localOwner(int partition);

        /** Returns the link to the other entry that owns the partition, if there is one. */
        Optional<PeerLink> linkToOwner(int partition);

        /** Returns whether this entry may answer that a job does not exist: only while its ownership is confirmed. */
        boolean mayReportUnknownJob();
    }

    /**
     * Submits a job.
     *
     * @param deadlineNanos end of the caller's wait, in nanoseconds of the monotonic clock
     * @param answer receives the answer once
     */
    public void submit(JobSpecification job, long deadlineNanos, Consumer<JobAnswer> answer) {
        Frame frame = Frame.newBuilder()
                .setJobSubmission(JobSubmission.newBuilder().setJob(JobCodec.encode(job)))
                .build();
        route(new PendingRequest(
                job.id(), frame, deadlineNanos, answer, (owner, reply) -> owner.submit(job, reply), true));
    }

    /**
     * Queries the phase of a job.
     *
     * @param deadlineNanos end of the caller's wait, in nanoseconds of the monotonic clock
     * @param answer receives the answer once
     */
    public void query(String jobId, long deadlineNanos, Consumer<JobAnswer> answer) {
        Frame frame = Frame.newBuilder()
                .setJobQuery(JobQuery.newBuilder().setJobId(jobId))
                .build();
        route(new PendingRequest(
                jobId, frame, deadlineNanos, answer, (owner, reply) -> reply.accept(state(owner, jobId)), false));
    }

    /**
     * Cancels a job.
     *
     * @param deadlineNanos end of the caller's wait, in nanoseconds of the monotonic clock
     * @param answer receives the answer once
     */
    public void cancel(String jobId, long deadlineNanos, Consumer<JobAnswer> answer) {
        Frame frame = Frame.newBuilder()
                .setJobCancellation(JobCancellation.newBuilder().setJobId(jobId))
                .build();
        route(new PendingRequest(
                jobId, frame, deadlineNanos, answer, (owner, reply) -> owner.cancel(jobId, reply), false));
    }

    private JobAnswer state(PartitionOwner owner, String jobId) {
        JobAnswer answer = owner.query(jobId);
        if (answer instanceof JobAnswer.UnknownJob && !owners.mayReportUnknownJob()) {
            // Another entry may have taken over the partition and accepted the job, undetected by this one.
            return new JobAnswer.NotOwner();
        }
        return answer;
    }

    private void route(PendingRequest request) {
        lastId++;
        request.id = lastId;
        pending.put(request.id, request);
        boolean sent = send(request);
        if (!sent && pending.containsKey(request.id)) {
            finish(request, notSent(request, "no owner"));
            return;
        }
        long left = request.deadlineNanos - timers.nanos();
        request.timer = timers.after(Duration.ofNanos(Math.max(0, left)), () -> expire(request));
        if (!pending.containsKey(request.id)) {
            request.timer.cancel();
        }
    }

    private void expire(PendingRequest request) {
        if (request.sent) {
            finish(request, notAnswered(request, "no answer in time"));
        } else {
            finish(request, notSent(request, "no owner in time"));
        }
    }

    private static JobAnswer notSent(PendingRequest request, String reason) {
        return request.submission
                ? new JobAnswer.Refused(RefusalReason.OWNER_UNAVAILABLE, OWNER_RETRY_AFTER)
                : new JobAnswer.Unavailable(reason);
    }

    private static JobAnswer notAnswered(PendingRequest request, String reason) {
        return request.submission ? new JobAnswer.Undecided(reason) : new JobAnswer.Unavailable(reason);
    }

    /** Sends the request to the owner; returns whether there was one. */
    private boolean send(PendingRequest request) {
        int partition = Partitions.of(request.jobId, partitionCount);
        Optional<PartitionOwner> local = owners.localOwner(partition);
        if (local.isPresent()) {
            request.sent = true;
            request.sentTo = "";
            request.call.call(local.get(), answer -> receiveAnswer(request, answer));
            return true;
        }
        Optional<PeerLink> remote = owners.linkToOwner(partition);
        if (remote.isEmpty()) {
            return false;
        }
        request.sent = true;
        request.sentTo = remote.get().peer().process();
        remote.get().send(request.frame.toBuilder().setRequestId(request.id).build());
        return true;
    }

    private void receiveAnswer(PendingRequest request, JobAnswer answer) {
        if (!pending.containsKey(request.id)) {
            return;
        }
        if (answer instanceof JobAnswer.NotOwner) {
            timers.after(RETRY_DELAY, () -> retry(request));
            return;
        }
        finish(request, answer);
    }

    private void retry(PendingRequest request) {
        if (pending.containsKey(request.id) && !send(request)) {
            // The partition has no owner at the moment. The request stays pending until its deadline, as an earlier
            // owner may already have stored its effect.
            timers.after(RETRY_DELAY, () -> retry(request));
        }
    }

    private void finish(PendingRequest request, JobAnswer answer) {
        if (pending.remove(request.id) == null) {
            return;
        }
        if (request.timer != null) {
            request.timer.cancel();
        }
        if (!(answer instanceof JobAnswer.State)) {
            EventLine.of("caller-answered")
                    .with("job", request.jobId)
                    .with("answer", answer)
                    .with("owner", request.sentTo)
                    .with("left_ms", (request.deadlineNanos - timers.nanos()) / 1_000_000)
                    .log(LOGGER.atInfo());
        }
        request.answer.accept(answer);
    }

    /** Sends the requests again that were sent over a link that is now closed. */
    void linkLost(String process) {
        for (PendingRequest request : new ArrayList<>(pending.values())) {
            if (process.equals(request.sentTo)) {
                retry(request);
            }
        }
    }

    /** Answers all pending requests before the process ends. */
    public void expireAll() {
        for (PendingRequest request : new ArrayList<>(pending.values())) {
            expire(request);
        }
    }

    /** Handles the reply of another entry. */
    void receiveReply(long id, JobReply reply) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            receiveAnswer(request, JobReplyCodec.decode(reply));
        }
    }

    /** Answers a request that another entry forwarded. */
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

    /** A request to an owner in this process. */
    private interface LocalCall {
        void call(PartitionOwner owner, Consumer<JobAnswer> answer);
    }

    /** A request whose caller has not been answered yet. */
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
