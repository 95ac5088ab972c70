package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
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
 * The jobs of one partition, at the entry that owns it.
 *
 * <p>Each job has up to two keys in the log: the job as accepted, until it has ended, and its progress. An end that
 * counts is written before the agent is told that it is kept, and before callers see its effect; so whatever a later
 * owner finds in the log is all that was promised.
 */
final class PartitionOwner implements JobOwner {
    /** Prefix of the key that holds a job as accepted. */
    static final String JOB_PREFIX = "j";

    /** Prefix of the key that holds a job's progress. */
    static final String PROGRESS_PREFIX = "p";

    /** Name under which owners write; the log fences writers of the same name by their epochs. */
    static final String WRITER_NAME = "owner";

    /**
     * Numbers that an owner may use for a task's runs. Runs aren't written to the log, so the next owner's numbers
     * begin above all that this one can have used; a task is started a handful of times.
     */
    static final long RUNS_PER_EPOCH = 64;

    /** When to come back after a refusal because the log takes nothing: outages last seconds. */
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
    /** Writes in progress by job. */
    private final Map<String, Integer> pendingWrites = new HashMap<>();

    private final Set<String> unreportedAgents = new HashSet<>();
    /** Tasks with a crash that is not stored yet. */
    private final Set<Task> tasksWithUnstoredCrash = new HashSet<>();

    private final long openedAtNanos;
    private boolean ready;
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

    /** Fences earlier owners and reads the jobs. */
    void open() {
        writer.open(result -> {
            if (closed) {
                return;
            }
            if (result == PartitionWriter.Result.STORED) {
                load();
            } else {
                loseOwnership("fenced at opening");
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

    /** Ends the ownership here; callers in progress are told to ask another owner. */
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

    /** Ends the ownership, as an agent has heard of a later owner. */
    void superseded(long byEpoch) {
        loseOwnership("replaced by epoch " + byEpoch);
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
            String id = key.substring(1);
            if (key.startsWith(JOB_PREFIX)) {
                restoreJob(id, value, Optional.ofNullable(records.get(PROGRESS_PREFIX + id)), now);
            } else if (!records.containsKey(JOB_PREFIX + id)) {
                JobProgress progress = JobCodec.decodeProgress(value);
                endedJobs.put(id, new EndedJob(progress.phase(), progress.endedAtMillis()));
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

    private void restoreJob(String id, byte[] value, Optional<byte[]> progress, long now) {
        JobSpecification specification = JobCodec.decodeJob(value);
        long ageMillis = Math.max(0, timers.epochMillis() - specification.acceptedAtMillis());
        Job job = new Job(specification, now - Duration.ofMillis(ageMillis).toNanos());
        job.restore(progress.map(JobCodec::decodeProgress).orElse(JobProgress.none()), epoch * RUNS_PER_EPOCH + 1);
        if (job.phase().isFinal()) {
            endedJobs.put(id, new EndedJob(job.phase(), job.endedAtMillis()));
        } else {
            jobs.put(id, job);
        }
    }

    /** Names the agents that may hold runs of the loaded jobs; those tasks wait until each has told or can't tell. */
    void awaitAgents(Collection<String> agents) {
        unreportedAgents.addAll(agents);
        releaseWhenAllReported();
    }

    Set<String> unreportedAgents() {
        return Set.copyOf(unreportedAgents);
    }

    long openedAtNanos() {
        return openedAtNanos;
    }

    /** Notes that all of an agent's runs are known, or that none of them can go on. */
    void agentReported(String agent) {
        if (unreportedAgents.remove(agent)) {
            releaseWhenAllReported();
        }
    }

    private void releaseWhenAllReported() {
        if (!isReady() || !unreportedAgents.isEmpty()) {
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

    /** Takes a job on; the same id again gets the same answer. */
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

    /** Tells how far a job is. */
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

    /** Cancels a job; answers once that is stored. */
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
    public void ended(Task task, RunOutcome outcome, Runnable acknowledge) {
        Job job = task.job();
        boolean wasFinal = job.phase().isFinal();
        List<Task> ready = job.recordRunEnd(task, outcome, timers.epochMillis());
        if (!wasFinal) {
            applyCrashLimits(task, outcome);
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
        if (job.phase().isFinal()) {
            events.ended(job);
            writeEnd(job, stored -> acknowledgeIfStored(stored, acknowledge));
            return;
        }
        write(job, List.of(progressOf(job)), stored -> acknowledgeIfStored(stored, acknowledge));
    }

    /**
     * Has tasks placed whose turn has come; while agents aren't heard they wait for these like all that was loaded. The
     * owner before may have been told the same end, and have started them at an agent that takes its starts still.
     */
    private void placeWhenAllReported(List<Task> tasks) {
        if (unreportedAgents.isEmpty()) {
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
            // It was started before anybody here knew of this crash.
            task.adjustBoundedStarts(1);
        }
        if (overLimit) {
            failJob(task);
            events.ended(job);
            writeEnd(job, stored -> acknowledgeIfStored(stored, acknowledge));
        } else {
            storeCrash(task, acknowledge);
        }
    }

    /**
     * Stores the crashes of a task before it is started again: each run under which a minion crashed is then in the log
     * before the next one exists, whichever owner hears of it.
     */
    private void storeCrash(Task task, Runnable acknowledge) {
        tasksWithUnstoredCrash.add(task);
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

    /** Gives a task up that has crashed as many minions as are allowed, or that may be started no more. */
    private void applyCrashLimits(Task task, RunOutcome outcome) {
        if (outcome == RunOutcome.NEVER_STARTED
                && CrashPolicy.isBounded(task.crashes().crashes())) {
            task.adjustBoundedStarts(-1);
        }
        boolean overLimit = outcome == RunOutcome.CRASHED && crashes.recordCrash(task, task.lastRun());
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

    /** Has tasks placed, those whose starts are bounded only once the start is counted in the log. */
    private void place(List<Task> tasks) {
        List<Task> unbounded = new ArrayList<>();
        for (Task task : tasks) {
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

    private void countStart(Task task) {
        Job job = task.job();
        if (job.phase().isFinal()) {
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
            boolean waits = task.status() == Task.Status.WAITING && !job.phase().isFinal();
            if (stored && waits && isReady()) {
                events.ready(List.of(task));
            }
        });
    }

    /**
     * Keeps an end only while nothing of its job is being written. Agents tell open ends again every half second, also
     * while the log takes no writes: kept then, the minion forgets an end that no log has, and the next owner starts
     * the task again. What is left out here is told again.
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

    /** Forgets jobs that ended longer ago than their state has to be kept. */
    void purgeEndedBefore(long millis) {
        List<KeyedRecord> drops = new ArrayList<>();
        endedJobs.entrySet().removeIf(entry -> {
            boolean old = entry.getValue().atMillis() < millis;
            if (old) {
                drops.add(KeyedRecord.tombstone(PROGRESS_PREFIX + entry.getKey()));
            }
            return old;
        });
        if (!drops.isEmpty()) {
            writer.write(drops, false, this::loseOwnershipIfFenced);
        }
    }

    /** How and when a job ended. */
    private record EndedJob(JobPhase phase, long atMillis) {}
}
