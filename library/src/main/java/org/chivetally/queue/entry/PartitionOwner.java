package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.JobProgress;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.RefusalReason;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.crash.CrashPolicy;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.queue.log.KeyedLog;
import org.chivetally.queue.log.KeyedRecord;
import org.chivetally.queue.log.LogStream;
import org.chivetally.queue.log.NewestValuesReader;
import org.chivetally.queue.log.PartitionWriter;
import org.chivetally.time.Timers;

/**
 * The jobs of one partition at the entry that owns it.
 *
 * <p>A job has up to two records in the log: the job as accepted, removed once it has ended, and its progress. An end
 * that counts is written before it is acknowledged to the agent and before callers see its effect, so that the next
 * owner finds everything that was promised.
 */
final class PartitionOwner implements JobOwner {
    /** Prefix of the key of an accepted job. */
    static final String JOB_PREFIX = "j";

    /** Prefix of the key of a job's progress. */
    static final String PROGRESS_PREFIX = "p";

    /** Writer name of all owners; the log fences writers of the same name by their epochs. */
    static final String WRITER_NAME = "owner";

    /**
     * Run numbers of a task per owner. Runs aren't written to the log, so the next owner's numbers start above all that
     * this owner can have used; a task is started only a handful of times.
     */
    static final long RUNS_PER_EPOCH = 64;

    /** Retry delay sent to callers that are refused because the log takes no writes: outages last seconds. */
    static final Duration LOG_RETRY_AFTER = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration LOAD_RETRY_DELAY = Duration.ofMillis(50);

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final long epoch;
    private final CrashTracker crashes;
    private final PartitionEvents events;
    private final PartitionWriter writer;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, EndedJob> endedJobs = new LinkedHashMap<>();
    private final Map<String, List<Consumer<JobAnswer>>> pendingSubmissions = new HashMap<>();
    /** Number of writes in progress by job id. */
    private final Map<String, Integer> pendingWrites = new HashMap<>();

    private final Set<String> reportedAgents = new HashSet<>();
    private final Set<String> unreportedAgents = new HashSet<>();
    /** Tasks with a limited number of starts whose next start is not counted before the ownership is confirmed. */
    private final Set<Task> uncountedStarts = new LinkedHashSet<>();

    /** Tasks with a crash that is not stored in the log yet. */
    private final Set<Task> tasksWithUnstoredCrash = new HashSet<>();

    private final long openedAtNanos;
    private boolean ready;
    /** Whether it is known which agents may hold runs of the loaded jobs. */
    private boolean agentsKnown;

    private boolean closed;

    PartitionOwner(
            KeyedLog log, Timers timers, LogStream stream, long epoch, CrashTracker crashes, PartitionEvents events) {
        this.crashes = crashes;
        this.log = log;
        this.timers = timers;
        this.stream = stream;
        this.epoch = epoch;
        this.events = events;
        this.writer = new PartitionWriter(log, timers, stream, WRITER_NAME, epoch);
        this.openedAtNanos = timers.nanos();
    }

    /** Fences earlier owners and loads the jobs. */
    void open() {
        writer.open(result -> {
            if (closed) {
                return;
            }
            if (result == PartitionWriter.Result.STORED) {
                load();
            } else {
                loseOwnership("fenced while opening");
            }
        });
    }

    int partition() {
        return stream.partition();
    }

    long epoch() {
        return epoch;
    }

    boolean isReady() {
        return ready && !closed;
    }

    Collection<Job> jobs() {
        return List.copyOf(jobs.values());
    }

    @Override
    public Optional<Task> task(TaskKey key) {
        return Optional.ofNullable(jobs.get(key.jobId())).flatMap(job -> job.task(key));
    }

    @Override
    public FencingToken fencingToken() {
        return new FencingToken(partition(), epoch, false);
    }

    /** Ends the ownership. Requests in progress are answered with {@link JobAnswer.NotOwner}. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        writer.close();
    }

    private void loseOwnership(String reason) {
        if (closed) {
            return;
        }
        EventLine.of("partition-lost")
                .with("partition", partition())
                .with("epoch", epoch)
                .with("reason", reason)
                .log(LOGGER.atWarning());
        close();
        events.lost(this);
    }

    /** Ends the ownership after an agent has reported an owner with a higher epoch. */
    void superseded(long byEpoch) {
        loseOwnership("superseded by epoch " + byEpoch);
    }

    private void load() {
        Map<String, byte[]> records = new HashMap<>();
        new NewestValuesReader(
                        log,
                        timers,
                        stream,
                        LOAD_RETRY_DELAY,
                        () -> !closed,
                        item -> records.put(item.key(), item.value()),
                        () -> restore(records))
                .start();
    }

    private void restore(Map<String, byte[]> records) {
        long now = timers.nanos();
        records.forEach((key, value) -> {
            try {
                restoreRecord(key, value, records, now);
            } catch (RuntimeException e) {
                // A record of another writer must not keep the partition's other jobs from being loaded.
                EventLine.of("job-unreadable")
                        .with("partition", partition())
                        .with("key", key)
                        .log(LOGGER.atSevere().withCause(e));
            }
        });
        ready = true;
        EventLine.of("partition-owned")
                .with("partition", partition())
                .with("epoch", epoch)
                .with("jobs", jobs.size())
                .with("ended", endedJobs.size())
                .with("took_ms", (now - openedAtNanos) / 1_000_000)
                .log(LOGGER.atInfo());
        events.loaded(this);
    }

    private void restoreRecord(String key, byte[] value, Map<String, byte[]> records, long now) {
        String id = key.substring(1);
        if (key.startsWith(JOB_PREFIX)) {
            restoreJob(id, value, Optional.ofNullable(records.get(PROGRESS_PREFIX + id)), now);
        } else if (!records.containsKey(JOB_PREFIX + id)) {
            JobProgress progress = JobCodec.decodeProgress(value);
            endedJobs.put(id, new EndedJob(progress.phase(), progress.endedAtMillis()));
        }
    }

    private void restoreJob(String id, byte[] value, Optional<byte[]> progress, long now) {
        JobSpecification specification = JobCodec.decodeJob(value);
        if (!specification.id().equals(id)) {
            throw new ChivetallyException(ErrorCode.INTERNAL, "the stored record names job " + specification.id());
        }
        long ageMillis = Math.max(0, timers.epochMillis() - specification.acceptedAtMillis());
        Job job = new Job(specification, now - Duration.ofMillis(ageMillis).toNanos());
        job.restore(progress.map(JobCodec::decodeProgress).orElse(JobProgress.none()), epoch * RUNS_PER_EPOCH + 1);
        if (job.phase().isFinal()) {
            endedJobs.put(id, new EndedJob(job.phase(), job.endedAtMillis()));
        } else {
            jobs.put(id, job);
        }
    }

    /**
     * Sets the agents that may hold runs of the loaded jobs. Tasks that may be running are not started until each of
     * these agents has reported its runs, or has been unreachable for so long that they must have ended.
     */
    void awaitAgents(Collection<String> agents) {
        agentsKnown = true;
        unreportedAgents.addAll(agents);
        unreportedAgents.removeAll(reportedAgents);
        releaseWhenAllReported();
    }

    Set<String> unreportedAgents() {
        return Set.copyOf(unreportedAgents);
    }

    /** Returns when the log assigned the partition to this entry, by the monotonic clock in nanoseconds. */
    long openedAtNanos() {
        return openedAtNanos;
    }

    /** Records that an agent has reported all its runs, and knows this owner. */
    void agentReported(String agent) {
        reportedAgents.add(agent);
        if (unreportedAgents.remove(agent)) {
            releaseWhenAllReported();
        }
    }

    /** Stops waiting for an agent that can't be reached, as none of its runs can still be in progress. */
    void agentLost(String agent) {
        if (unreportedAgents.remove(agent)) {
            EventLine.of("agent-not-awaited")
                    .with("partition", partition())
                    .with("epoch", epoch)
                    .with("agent", agent)
                    .with("waited_ms", (timers.nanos() - openedAtNanos) / 1_000_000)
                    .log(LOGGER.atWarning());
            releaseWhenAllReported();
        }
    }

    /** Tells whether runs that an earlier owner has started may be in progress at agents that haven't reported. */
    private boolean awaitsAgents() {
        return !agentsKnown || !unreportedAgents.isEmpty();
    }

    private void releaseWhenAllReported() {
        if (!isReady() || awaitsAgents()) {
            return;
        }
        List<Task> released = new ArrayList<>();
        for (Job job : jobs.values()) {
            for (Task task : job.tasksIn(Task.Status.UNCERTAIN)) {
                if (!tasksWithUnstoredCrash.contains(task)) {
                    job.markWaiting(task);
                    released.add(task);
                }
            }
        }
        if (!released.isEmpty()) {
            EventLine.of("partition-reconciled")
                    .with("partition", partition())
                    .with("epoch", epoch)
                    .with("tasks_to_start", released.size())
                    .log(LOGGER.atInfo());
            place(released);
        }
    }

    /** Accepts a job; a repeated submission of the same id gets the same answer. */
    void submit(JobSpecification specification, Consumer<JobAnswer> answer) {
        String id = specification.id();
        if (!isReady()) {
            answer.accept(new JobAnswer.NotOwner());
            return;
        }
        if (jobs.containsKey(id) || endedJobs.containsKey(id)) {
            answer.accept(new JobAnswer.Accepted());
            return;
        }
        List<Consumer<JobAnswer>> waitingCallers = pendingSubmissions.get(id);
        if (waitingCallers != null) {
            waitingCallers.add(answer);
            return;
        }
        Optional<JobAnswer.Refused> refusal = refusal(specification);
        if (refusal.isPresent()) {
            EventLine.of("job-refused")
                    .with("job", id)
                    .with("queue", specification.terms().queue())
                    .with("reason", refusal.get().reason().text())
                    .with("retry_ms", refusal.get().retryAfter().toMillis())
                    .log(LOGGER.atInfo());
            answer.accept(refusal.get());
            return;
        }
        pendingSubmissions.put(id, new ArrayList<>(List.of(answer)));
        KeyedRecord stored =
                new KeyedRecord(JOB_PREFIX + id, JobCodec.encode(specification).toByteArray());
        writer.write(List.of(stored), true, result -> submissionWritten(specification, result));
    }

    private Optional<JobAnswer.Refused> refusal(JobSpecification specification) {
        if (writer.isStalled()) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.LOG_UNAVAILABLE, LOG_RETRY_AFTER));
        }
        return events.refuse(new Job(specification, timers.nanos()));
    }

    private void submissionWritten(JobSpecification specification, PartitionWriter.Result result) {
        JobAnswer answer = switch (result) {
            case STORED -> new JobAnswer.Accepted();
            case REFUSED -> new JobAnswer.Refused(RefusalReason.LOG_UNAVAILABLE, LOG_RETRY_AFTER);
            case FENCED -> new JobAnswer.NotOwner();
        };
        if (result == PartitionWriter.Result.STORED) {
            Job job = new Job(specification, timers.nanos());
            jobs.put(specification.id(), job);
            EventLine.of("job-accepted")
                    .with("job", specification.id())
                    .with("queue", specification.terms().queue())
                    .with("partition", partition())
                    .with("epoch", epoch)
                    .with("tasks", specification.taskCount())
                    .log(LOGGER.atInfo());
            events.ready(job.tasksIn(Task.Status.WAITING));
        }
        for (Consumer<JobAnswer> caller : pendingSubmissions.remove(specification.id())) {
            caller.accept(answer);
        }
        loseOwnershipIfFenced(result);
    }

    private void loseOwnershipIfFenced(PartitionWriter.Result result) {
        if (result == PartitionWriter.Result.FENCED) {
            loseOwnership("fenced");
        }
    }

    /** Returns the phase of a job. */
    JobAnswer query(String id) {
        if (!isReady()) {
            return new JobAnswer.NotOwner();
        }
        Job job = jobs.get(id);
        if (job != null) {
            return new JobAnswer.State(job.reportedPhase());
        }
        EndedJob end = endedJobs.get(id);
        if (end != null) {
            return new JobAnswer.State(end.phase());
        }
        return pendingSubmissions.containsKey(id) ? new JobAnswer.State(JobPhase.QUEUED) : new JobAnswer.UnknownJob();
    }

    /** Cancels a job, and answers after the cancellation is stored. */
    void cancel(String id, Consumer<JobAnswer> answer) {
        if (!isReady()) {
            answer.accept(new JobAnswer.NotOwner());
            return;
        }
        List<Consumer<JobAnswer>> waitingCallers = pendingSubmissions.get(id);
        if (waitingCallers != null) {
            waitingCallers.add(accepted -> cancel(id, answer));
            return;
        }
        Job job = jobs.get(id);
        if (job == null) {
            answer.accept(endedJobs.containsKey(id) ? new JobAnswer.Cancelled() : new JobAnswer.UnknownJob());
            return;
        }
        if (!job.phase().isFinal()) {
            job.finish(JobPhase.CANCELLED, timers.epochMillis());
            events.ended(job);
        }
        writeEnd(job, stored -> answer.accept(stored ? new JobAnswer.Cancelled() : new JobAnswer.NotOwner()));
    }

    @Override
    public void ended(Task task, long run, RunOutcome outcome, Runnable acknowledge) {
        Job job = task.job();
        boolean wasFinal = job.phase().isFinal();
        List<Task> ready = job.recordRunEnd(task, run, outcome, timers.epochMillis());
        if (!wasFinal) {
            applyCrashLimits(task, run, outcome);
        }
        boolean ended = !wasFinal && job.phase().isFinal();
        if (outcome == RunOutcome.CRASHED && !wasFinal && !ended) {
            storeCrash(task, acknowledge);
            return;
        }
        if (!ready.isEmpty() && !job.phase().isFinal()) {
            placeWhenAllReported(ready);
        }
        if (outcome != RunOutcome.DONE && outcome != RunOutcome.FAILED && !ended) {
            acknowledge.run();
            return;
        }
        if (wasFinal) {
            reportedAgain(task, acknowledge);
            return;
        }
        storeEnd(job, acknowledge);
    }

    /** Stores the effect of a run's end on its job, after which the minion may discard the end. */
    private void storeEnd(Job job, Runnable acknowledge) {
        if (job.phase().isFinal()) {
            events.ended(job);
            writeEnd(job, stored -> acknowledgeIfStored(stored, acknowledge));
        } else {
            write(job, List.of(progressOf(job)), stored -> acknowledgeIfStored(stored, acknowledge));
        }
    }

    @Override
    public void earlierRunFailed(Task task, long run, String worker, Runnable acknowledge) {
        task.job().recordFailure(task, run, worker, timers.epochMillis());
        storeEnd(task.job(), acknowledge);
    }

    /**
     * Has ready tasks placed, or holds them like the loaded ones while agents have not reported. The previous owner may
     * have received the same end and started these tasks at an agent that still accepts its starts.
     */
    private void placeWhenAllReported(List<Task> tasks) {
        if (!awaitsAgents()) {
            place(tasks);
            return;
        }
        for (Task task : tasks) {
            task.job().markUncertain(task);
        }
    }

    @Override
    public void earlierRunCrashed(Task task, long run, Runnable acknowledge) {
        Job job = task.job();
        if (job.phase().isFinal() || task.status() == Task.Status.DONE || !task.recordCrash(run)) {
            reportedAgain(task, acknowledge);
            return;
        }
        boolean overLimit = crashes.recordCrash(task, run);
        if (task.status() == Task.Status.PLACED
                && CrashPolicy.isBounded(task.crashes().crashes())) {
            // Its current run was started before this crash was reported here.
            task.adjustBoundedStarts(1);
        }
        if (overLimit) {
            failJob(task);
            storeEnd(job, acknowledge);
        } else {
            storeCrash(task, acknowledge);
        }
    }

    /**
     * Stores the crash of a task before the task is started again. So each run that crashed a minion is in the log
     * before the next run exists, whichever owner receives the report.
     */
    private void storeCrash(Task task, Runnable acknowledge) {
        tasksWithUnstoredCrash.add(task);
        events.withdrawn(task);
        write(task.job(), List.of(progressOf(task.job())), stored -> {
            tasksWithUnstoredCrash.remove(task);
            if (!stored) {
                return;
            }
            acknowledge.run();
            if (!isReady() || task.job().phase().isFinal()) {
                return;
            }
            if (task.status() == Task.Status.WAITING) {
                placeWhenAllReported(List.of(task));
            } else {
                releaseWhenAllReported();
            }
        });
    }

    /**
     * Fails the job of a task that has crashed as many minions as the crash limit allows, or that has no starts left.
     */
    private void applyCrashLimits(Task task, long run, RunOutcome outcome) {
        if (outcome == RunOutcome.NEVER_STARTED
                && CrashPolicy.isBounded(task.crashes().crashes())) {
            task.adjustBoundedStarts(-1);
        }
        boolean overLimit = outcome == RunOutcome.CRASHED && crashes.recordCrash(task, run);
        if (!task.job().phase().isFinal() && (overLimit || hasNoStartsLeft(task))) {
            failJob(task);
        }
    }

    private static void acknowledgeIfStored(boolean stored, Runnable acknowledge) {
        if (stored) {
            acknowledge.run();
        }
    }

    private static boolean hasNoStartsLeft(Task task) {
        return task.status() != Task.Status.DONE
                && CrashPolicy.hasUsedUpStarts(
                        task.crashes().crashes(), task.crashes().boundedStarts());
    }

    private void failJob(Task task) {
        crashes.recordGivenUp(task);
        task.job().finish(JobPhase.FAILED, timers.epochMillis());
    }

    /**
     * Has tasks placed; a task whose starts are limited is placed only after its start is counted in the log, one with
     * a crash that is not stored only after that is stored, and one with too many suspected crashes only after these
     * are confirmed or disproved.
     */
    private void place(List<Task> tasks) {
        List<Task> unbounded = new ArrayList<>();
        for (Task task : tasks) {
            if (tasksWithUnstoredCrash.contains(task) || crashes.holdBack(task, timers.nanos())) {
                continue;
            }
            if (CrashPolicy.isBounded(task.crashes().crashes())) {
                countStart(task);
            } else {
                unbounded.add(task);
            }
        }
        if (!unbounded.isEmpty()) {
            events.ready(unbounded);
        }
    }

    @Override
    public void reconsider(Task task) {
        if (isReady()
                && !task.job().phase().isFinal()
                && task.status() == Task.Status.WAITING
                && !tasksWithUnstoredCrash.contains(task)) {
            placeWhenAllReported(List.of(task));
        }
    }

    /** Counts the starts that were deferred until the log confirms the ownership. */
    void ownershipConfirmed() {
        List<Task> tasks = List.copyOf(uncountedStarts);
        uncountedStarts.clear();
        for (Task task : tasks) {
            if (task.status() == Task.Status.WAITING && !tasksWithUnstoredCrash.contains(task)) {
                countStart(task);
            }
        }
    }

    private void countStart(Task task) {
        Job job = task.job();
        if (job.phase().isFinal()) {
            return;
        }
        if (!events.mayStartTasks()) {
            uncountedStarts.add(task);
            return;
        }
        if (hasNoStartsLeft(task)) {
            failJob(task);
            events.ended(job);
            writeEnd(job, stored -> {});
            return;
        }
        task.adjustBoundedStarts(1);
        write(job, List.of(progressOf(job)), stored -> {
            boolean isWaiting = task.status() == Task.Status.WAITING
                    && !job.phase().isFinal()
                    && !tasksWithUnstoredCrash.contains(task);
            if (stored && isWaiting && isReady()) {
                events.ready(List.of(task));
            }
        });
    }

    /**
     * Acknowledges a repeated end only while no write of its job is in progress. Agents repeat unacknowledged ends
     * every 0.5 s, also while the log takes no writes. If such an end were acknowledged, the minion would discard an
     * end that is in no log, and the next owner would start the task again. An end that is not acknowledged here is
     * reported again.
     */
    @Override
    public void reportedAgain(Task task, Runnable acknowledge) {
        if (!pendingWrites.containsKey(task.key().jobId())) {
            acknowledge.run();
        }
    }

    private void write(Job job, List<KeyedRecord> records, Consumer<Boolean> answer) {
        String id = job.specification().id();
        pendingWrites.merge(id, 1, Integer::sum);
        writer.write(records, false, result -> {
            pendingWrites.computeIfPresent(id, (same, count) -> count > 1 ? count - 1 : null);
            answer.accept(result == PartitionWriter.Result.STORED);
            loseOwnershipIfFenced(result);
        });
    }

    private void writeEnd(Job job, Consumer<Boolean> answer) {
        String id = job.specification().id();
        List<KeyedRecord> records = List.of(progressOf(job), KeyedRecord.tombstone(JOB_PREFIX + id));
        write(job, records, stored -> {
            if (stored) {
                endStored(job);
            }
            answer.accept(stored);
        });
    }

    private void endStored(Job job) {
        job.markEndStored();
        String id = job.specification().id();
        if (jobs.remove(id) == null) {
            return;
        }
        endedJobs.put(id, new EndedJob(job.phase(), job.endedAtMillis()));
        EventLine.of("job-ended")
                .with("job", id)
                .with("queue", job.specification().terms().queue())
                .with("phase", job.phase())
                .with("age_ms", (timers.nanos() - job.acceptedAtNanos()) / 1_000_000)
                .log(LOGGER.atInfo());
    }

    private static KeyedRecord progressOf(Job job) {
        return new KeyedRecord(PROGRESS_PREFIX + job.specification().id(), JobCodec.encode(job.progress()));
    }

    /**
     * Removes the jobs that ended before a time, whose state is no longer retained.
     *
     * @param millis the time, in milliseconds since the epoch
     */
    void purgeEndedBefore(long millis) {
        List<KeyedRecord> tombstones = new ArrayList<>();
        endedJobs.entrySet().removeIf(entry -> {
            boolean old = entry.getValue().atMillis() < millis;
            if (old) {
                tombstones.add(KeyedRecord.tombstone(PROGRESS_PREFIX + entry.getKey()));
            }
            return old;
        });
        if (!tombstones.isEmpty()) {
            writer.write(tombstones, false, this::loseOwnershipIfFenced);
        }
    }

    /** Final phase of a job, and when it ended. */
    private record EndedJob(JobPhase phase, long atMillis) {}
}
