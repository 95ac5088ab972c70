package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.EndCodec;
import org.chivetally.queue.agent.EndedRun;
import org.chivetally.queue.agent.RunSupervisor;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.queue.entry.PlacementPasses.RunStarter;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.queue.placement.PlacementPolicy;
import org.chivetally.queue.placement.WaitingTasks;
import org.chivetally.queue.placement.Worker;
import org.chivetally.queue.speed.LearnedStretch;
import org.chivetally.settings.SchedulingSettings;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.EndsKept;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.HeldRun;
import org.chivetally.wire.v1.OwnedPartition;
import org.chivetally.wire.v1.RunEnd;
import org.chivetally.wire.v1.RunInventory;
import org.chivetally.wire.v1.RunRefused;
import org.chivetally.wire.v1.WorkerReport;

/** Places the entry's tasks on workers and tracks their runs until these have ended. */
final class RunCoordinator implements InMemoryJobs.Scheduler {
    /**
     * Silence of an agent after which its runs of durable jobs count as lost. If it were shorter, a task could start
     * while its old run is running. The agent stops runs when its newest heartbeat echoed by their owner is 3.7 s old,
     * and renews the lease no longer than 4.05 s. The lease of 1 s then expires by a clock that may be 2% slow, and
     * timers on a slowed machine fire late.
     */
    static final Duration RUN_LOSS_TIMEOUT = Duration.ofMillis(5_700);

    /**
     * The {@link #RUN_LOSS_TIMEOUT} for in-memory jobs. The agent stops runs when its newest heartbeat echoed by this
     * entry is 0.8 s old, and renews the lease no longer than 1.15 s. The lease of 1 s expires by a clock that may be
     * 2% slow.
     */
    static final Duration IN_MEMORY_RUN_LOSS_TIMEOUT = Duration.ofMillis(2_350);

    /** Time without starts for a worker that refused one, but not for lack of room: one heartbeat interval. */
    static final Duration REFUSAL_PAUSE = Duration.ofMillis(250);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final int partitionCount;
    private final Map<Integer, PartitionOwner> partitions;
    private final InMemoryJobs inMemoryJobs;
    private final BooleanSupplier mayReadStaleRequests;
    private final LongSupplier lastResponsiveNanos;
    private final PlacementPolicy placement;
    private final CrashTracker crashes;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final WaitingTasks waiting;
    private final DurableStartGate durableStarts;
    private final StoppingRuns stoppingRuns = new StoppingRuns();
    private final ServiceShares shares;
    private long startsBySpeed;
    private final Optional<QueueShares> queueShares;
    private final BacklogAdmission admission;
    private final PlacementPasses passes;
    private final OverdueRuns overdueRuns;
    private final CrashEvidence evidence;

    /**
     * Creates a coordinator.
     *
     * @param placement policy that chooses workers
     * @param crashes record of the tasks under which minions crashed
     * @param partitionCount number of partitions of the job stream
     * @param partitions the partitions that the entry owns, by number; updated by the entry
     * @param mayStart whether the entry's ownership is certain enough to start tasks
     * @param mayReadStaleRequests whether requests that the entry reads now may be stale
     * @param lastResponsiveNanos when the entry was last known to be responsive, in nanoseconds of the monotonic clock
     * @param scheduling optional scheduling features that are enabled
     */
    RunCoordinator(
            Timers timers,
            PlacementPolicy placement,
            CrashTracker crashes,
            int partitionCount,
            Map<Integer, PartitionOwner> partitions,
            BooleanSupplier mayStart,
            BooleanSupplier mayReadStaleRequests,
            LongSupplier lastResponsiveNanos,
            SchedulingSettings scheduling) {
        this.mayReadStaleRequests = mayReadStaleRequests;
        this.lastResponsiveNanos = lastResponsiveNanos;
        this.placement = placement;
        this.crashes = crashes;
        this.timers = timers;
        this.partitionCount = partitionCount;
        this.partitions = partitions;
        this.inMemoryJobs = new InMemoryJobs(timers, crashes, this);
        this.waiting = new WaitingTasks(scheduling.fairShares());
        this.durableStarts = new DurableStartGate(waiting);
        this.shares = new ServiceShares(timers, waiting, workers.values());
        this.queueShares = scheduling.fairShares()
                ? Optional.of(new QueueShares(timers, waiting, workers.values()))
                : Optional.empty();
        this.admission = new BacklogAdmission(timers, waiting, shares, queueShares, inMemoryJobs);
        this.overdueRuns = new OverdueRuns(
                workers.values(),
                (worker, start) -> stop(worker.process(), start.task().key(), start.run(), jobOwnerOf(start.task())));
        this.evidence = new CrashEvidence(timers, crashes, this::jobOwnerOf);
        this.passes = new PlacementPasses(
                timers, waiting, workers.values(), placement, crashes, shares, queueShares, new RunStarter() {
                    @Override
                    public boolean mayStart() {
                        return mayStart.getAsBoolean();
                    }

                    @Override
                    public void start(Worker worker, Task task, boolean bySpeed) {
                        RunCoordinator.this.start(worker, task, bySpeed);
                    }

                    @Override
                    public void forecastsChanged(long nowNanos) {
                        admission.refuseUnservable(nowNanos);
                    }
                });
    }

    /** Returns the shares of this entry in each service's workers. */
    ServiceShares shares() {
        return shares;
    }

    /** Returns the fair shares of queues; empty unless they are enabled. */
    Optional<QueueShares> queueShares() {
        return queueShares;
    }

    /** Returns the jobs that are held in the memory of this entry only. */
    InMemoryJobs inMemoryJobs() {
        return inMemoryJobs;
    }

    @Override
    public Optional<JobAnswer.Refused> refuse(Job job) {
        return admission.refuse(job);
    }

    @Override
    public Duration retryAfter(Job job) {
        return admission.retryAfter(job);
    }

    @Override
    public boolean mayReadStaleRequests() {
        return mayReadStaleRequests.getAsBoolean();
    }

    /** Returns the names of all agents with a link. */
    Set<String> linkedAgents() {
        return new HashSet<>(links.keySet());
    }

    /** Returns whether an agent has runs that this entry has started or taken over. */
    boolean hasRunsAt(String agent) {
        Worker worker = workers.get(agent);
        return worker != null && worker.hasRuns();
    }

    /** Returns whether this entry has no waiting task and no run. */
    boolean isIdle() {
        if (!waiting.isEmpty() || inMemoryJobs.size() > 0) {
            return false;
        }
        for (Worker worker : workers.values()) {
            if (worker.hasRuns()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the ratio of task durations on the slowest and fastest workers; 1 while speeds aren't learned. */
    double speedSpread() {
        return placement.speedSpread();
    }

    /** Returns the number of starts for which the worker was chosen by its learned speed. */
    long startsBySpeed() {
        return startsBySpeed;
    }

    @Override
    public void ready(List<Task> tasks) {
        Job last = null;
        for (Task task : tasks) {
            if (durableStarts.holdBack(task) || stoppingRuns.holdBack(task)) {
                continue;
            }
            waiting.add(task, timers.nanos());
            if (task.job() != last) {
                last = task.job();
                waiting.reorder(last, timers.nanos());
            }
        }
        passes.schedule();
    }

    /** Removes a waiting task until it is ready again. */
    void withdrawn(Task task) {
        waiting.remove(task);
        durableStarts.remove(task);
        crashes.withdraw(task);
        stoppingRuns.withdraw(task);
    }

    /** Allows the start of tasks of durable jobs, or holds those that are ready back until it is allowed. */
    void allowDurableStarts(boolean allowed) {
        if (allowed) {
            ready(durableStarts.open());
        } else {
            durableStarts.close(partitions.values());
        }
    }

    /** Removes the waiting tasks of a job and stops its runs. */
    @Override
    public void ended(Job job) {
        crashes.removeJob(job);
        for (Task task : job.tasks()) {
            withdrawn(task);
            task.worker().ifPresent(name -> stopAtEndOfJob(name, task));
        }
    }

    private void stopAtEndOfJob(String workerName, Task task) {
        if (!task.job().isDurable()) {
            // The caller may submit the job again. The id of a durable job that has ended starts nothing any more.
            stoppingRuns.add(workerName, task.key(), task.currentRun());
        }
        stop(workerName, task.key(), task.currentRun(), jobOwnerOf(task));
    }

    /** Removes the tasks of a partition that another process owns now. */
    void partitionLost(PartitionOwner partition) {
        for (Job job : partition.jobs()) {
            crashes.removeJob(job);
            for (Task task : job.tasks()) {
                withdrawn(task);
                stoppingRuns.discard(task);
                task.worker().map(workers::get).ifPresent(worker -> worker.remove(task.key()));
            }
        }
    }

    private void stop(String workerName, TaskKey task, long run, Optional<JobOwner> owner) {
        PeerLink link = links.get(workerName);
        if (owner.isEmpty() || link == null) {
            // The run is stopped when the agent reconnects and lists it in its inventory, as its job has ended.
            return;
        }
        link.send(Frame.newBuilder()
                .setRunStop(RunOrderCodec.stop(task, run, owner.get().fencingToken()))
                .build());
    }

    /** Registers the link to an agent. */
    void up(PeerLink link) {
        String process = link.peer().process();
        links.put(process, link);
        worker(process).linkOpened(link);
    }

    /** Removes the closed link to an agent. */
    void down(PeerLink link) {
        String process = link.peer().process();
        if (links.remove(process, link)) {
            worker(process).linkClosed();
        }
    }

    private Worker worker(String process) {
        return workers.computeIfAbsent(process, name -> new Worker(name, timers.nanos()));
    }

    /** Applies an agent's report on its worker. */
    void report(PeerLink link, WorkerReport report) {
        Worker worker = worker(link.peer().process());
        worker.recordReport(
                new Worker.Report(
                        report.getMinion(),
                        report.getService(),
                        JobCodec.decode(report.getCapacity()),
                        JobCodec.decode(report.getFree()),
                        report.getAccepting(),
                        report.getLabelsList(),
                        report.getFailureDomain(),
                        report.getStartsSeen()),
                timers.nanos());
        worker.learnedStretch(new LearnedStretch(report.getStretchPermille(), report.getStretchRuns()));
        worker.recordSuspectRuns(report.getSuspectedRuns());
        evidence.applyReport(link.peer(), report);
        passes.schedule();
    }

    /**
     * Compares this entry's runs at an agent with those that the agent holds: adopts runs that a former owner started,
     * stops unneeded ones, and records missing ones as lost.
     */
    void reconcile(PeerLink link, RunInventory inventory) {
        report(link, inventory.getReport());
        Worker worker = worker(link.peer().process());
        loseSupersededPartitions(inventory.getFencedList());
        Set<TaskKey> held = new HashSet<>();
        Set<RunKey> heldRuns = new HashSet<>();
        for (HeldRun run : inventory.getRunsList()) {
            TaskKey.parse(run.getTask()).ifPresent(task -> {
                held.add(task);
                heldRuns.add(new RunKey(task, run.getRun()));
                reconcileRun(worker, task, run);
            });
        }
        readyAfterStops(stoppingRuns.retain(worker, heldRuns));
        ends(link, inventory.getEndsList());
        evidence.applyInventory(link.peer(), inventory.getEndsList());
        for (Worker.SentStart start : worker.inProgress()) {
            // Only a run that is held shows that the start isn't lost; ends of earlier runs are listed until stored.
            if (!held.contains(start.task().key()) && !worker.isUnacknowledged(start)) {
                finishRun(worker, start, RunOutcome.LOST, () -> {});
            }
        }
        for (OwnedPartition fenced : inventory.getFencedList()) {
            PartitionOwner owner = partitions.get(fenced.getPartition());
            if (owner != null && owner.isReady() && owner.epoch() == fenced.getEpoch()) {
                owner.agentReported(worker.process());
            }
        }
    }

    /**
     * Ends the ownership of partitions for which an agent reports a later owner. That one may have taken ends that the
     * agent no longer lists. Counted as lost here, their tasks would start again at an agent that it hasn't reached.
     */
    private void loseSupersededPartitions(List<OwnedPartition> fenced) {
        for (OwnedPartition fence : fenced) {
            PartitionOwner owner = partitions.get(fence.getPartition());
            if (owner != null && owner.epoch() < fence.getEpoch()) {
                owner.superseded(fence.getEpoch());
            }
        }
    }

    private Optional<PartitionOwner> ownerOf(TaskKey task) {
        PartitionOwner owner = partitions.get(Partitions.of(task.jobId(), partitionCount));
        return owner != null && owner.isReady() ? Optional.of(owner) : Optional.empty();
    }

    /** Returns the owner of a task's job; empty if the job is durable and this entry no longer owns its partition. */
    private Optional<JobOwner> jobOwnerOf(Task task) {
        return task.job().isDurable() ? ownerOf(task.key()).map(JobOwner.class::cast) : Optional.of(inMemoryJobs);
    }

    private Optional<Task> task(TaskKey key) {
        Optional<Task> known = inMemoryJobs.task(key);
        return known.isPresent() ? known : ownerOf(key).flatMap(owner -> owner.task(key));
    }

    private void reconcileRun(Worker worker, TaskKey key, HeldRun run) {
        if (!run.getUnkept() && ownerOf(key).isEmpty()) {
            return;
        }
        Optional<JobOwner> owner =
                run.getUnkept() ? Optional.of(inMemoryJobs) : ownerOf(key).map(JobOwner.class::cast);
        Optional<Task> known = owner.flatMap(candidate -> candidate.task(key));
        boolean needed = known.isPresent() && !known.get().job().phase().isFinal();
        if (needed && isAdoptable(known.get())) {
            Task task = known.get();
            withdrawn(task);
            task.job().recordPlacement(task, worker.process(), run.getRun());
            worker.adopt(task, run.getRun(), timers.nanos());
            return;
        }
        boolean tracked = needed
                && worker.inProgress(key)
                        .map(start -> start.run() == run.getRun())
                        .orElse(false);
        if (!tracked) {
            EventLine.of("run-unwanted")
                    .with("task", key)
                    .with("run", run.getRun())
                    .with("worker", worker.process())
                    .log(LOGGER.atInfo());
            if (needed || run.getUnkept()) {
                stoppingRuns.add(worker.process(), key, run.getRun());
            }
            stop(worker.process(), key, run.getRun(), owner);
        }
    }

    private void readyAfterStops(List<Task> tasks) {
        if (!tasks.isEmpty()) {
            ready(tasks);
        }
    }

    /**
     * Tells whether a run of the task that an agent holds becomes its run in progress. A former owner may have started
     * it after the ends of earlier steps that it couldn't store. If the run were stopped instead, the task would start
     * again as soon as these ends are known, and both runs would be in progress until the stop has taken effect.
     */
    private static boolean isAdoptable(Task task) {
        return switch (task.status()) {
            case UNCERTAIN -> true;
            case BLOCKED, WAITING -> task.job().isDurable();
            case PLACED, DONE -> false;
        };
    }

    /** Handles ends of runs that an agent reports. */
    void ends(PeerLink link, List<RunEnd> ends) {
        Worker worker = worker(link.peer().process());
        for (RunEnd encoded : ends) {
            EndCodec.decode(encoded).ifPresent(end -> end(link, worker, end));
        }
    }

    private void end(PeerLink link, Worker worker, EndedRun end) {
        TaskKey key = end.run().task();
        readyAfterStops(stoppingRuns.remove(worker.process(), key, end.run().run()));
        Runnable acknowledge = () -> acknowledge(link, end);
        Optional<Worker.SentStart> start =
                worker.inProgress(key).filter(sent -> sent.run() == end.run().run());
        if (end.outcome() == RunOutcome.CRASH_SUSPECTED) {
            start.map(Worker.SentStart::task)
                    .or(() -> task(key))
                    .ifPresent(task ->
                            evidence.suspect(link.peer(), task, end.run().run(), end.incarnation()));
        }
        if (start.isPresent()) {
            if (end.outcome() == RunOutcome.NEVER_STARTED) {
                // A worker that can't start runs always has room, and would be chosen again at once for every task.
                worker.pauseStarts(timers.nanos() + REFUSAL_PAUSE.toNanos());
            }
            finishRun(worker, start.get(), end.outcome(), acknowledge);
            return;
        }
        Optional<Task> known = task(key);
        if (known.isEmpty()) {
            // The job has ended. If another entry owns the partition, the end is left for that owner to store.
            ownerOf(key).ifPresent(owner -> acknowledge.run());
            return;
        }
        Task task = known.get();
        jobOwnerOf(task).ifPresent(owner -> endUntrackedRun(worker, owner, task, end, acknowledge));
    }

    /**
     * Handles the end of a run that is not in progress here: a former owner started it, it counted as lost, or its end
     * is reported again.
     */
    private void endUntrackedRun(Worker worker, JobOwner owner, Task task, EndedRun end, Runnable acknowledge) {
        long run = end.run().run();
        if (end.outcome() == RunOutcome.CRASHED) {
            owner.earlierRunCrashed(task, run, acknowledge);
            evidence.releaseTasks();
        } else if (end.outcome() == RunOutcome.LOST) {
            evidence.disprove(task, run);
            owner.reportedAgain(task, acknowledge);
        } else if (end.outcome() == RunOutcome.CRASH_SUSPECTED) {
            holdBackIfWaiting(owner, task);
        } else if (!hasEffect(task, end)) {
            owner.reportedAgain(task, acknowledge);
        } else if (end.outcome() == RunOutcome.FAILED) {
            logEnd(worker, task, run, end.outcome());
            owner.earlierRunFailed(task, run, worker.process(), acknowledge);
        } else {
            // Stops the current run, so that the work isn't done twice.
            task.worker().ifPresent(name -> stop(name, task.key(), task.currentRun(), Optional.of(owner)));
            withdrawn(task);
            task.job().recordPlacement(task, worker.process(), run);
            recordEnd(worker, task, run, end.outcome(), acknowledge);
        }
    }

    /** Has a waiting task placed again, as one more crash of it is suspected. */
    private void holdBackIfWaiting(JobOwner owner, Task task) {
        if (waiting.remove(task)) {
            owner.reconsider(task);
        }
    }

    /** Returns whether the end of an untracked run changes its task: the task is done, or one more run has failed. */
    private static boolean hasEffect(Task task, EndedRun end) {
        if (task.job().phase().isFinal() || task.status() == Task.Status.DONE) {
            return false;
        }
        return switch (end.outcome()) {
            case DONE -> true;
            case FAILED -> !task.hasFailedIn(end.run().run());
            case STOPPED, LAPSED, BROKEN, ALONE, LOST, NEVER_STARTED, CRASHED, CRASH_SUSPECTED -> false;
        };
    }

    private void acknowledge(PeerLink link, EndedRun end) {
        if (end.sequence() == 0) {
            return;
        }
        link.send(Frame.newBuilder()
                .setEndsKept(EndsKept.newBuilder().setMinion(end.incarnation()).addSequences(end.sequence()))
                .build());
    }

    private void finishRun(Worker worker, Worker.SentStart start, RunOutcome outcome, Runnable acknowledge) {
        if (outcome == RunOutcome.DONE) {
            placement.recordEnd(worker, start, timers.nanos());
            crashes.removeTask(start.task());
        }
        worker.remove(start.task().key());
        readyAfterStops(stoppingRuns.remove(worker.process(), start.task().key(), start.run()));
        recordEnd(worker, start.task(), start.run(), outcome, acknowledge);
    }

    private void recordEnd(Worker worker, Task task, long run, RunOutcome outcome, Runnable acknowledge) {
        logEnd(worker, task, run, outcome);
        jobOwnerOf(task).ifPresent(owner -> owner.ended(task, run, outcome, acknowledge));
        passes.schedule();
    }

    private void logEnd(Worker worker, Task task, long run, RunOutcome outcome) {
        if (outcome == RunOutcome.FAILED
                && worker.health().recordFailedRun(task.key().jobId(), timers.nanos())) {
            EventLine.of("worker-avoided").with("worker", worker.process()).log(LOGGER.atWarning());
        }
        EventLine.of("run-ended")
                .with("task", task.key())
                .with("run", run)
                .with("worker", worker.process())
                .with("outcome", outcome)
                .with("failures", task.failures())
                .log(LOGGER.atInfo());
    }

    /** Handles an agent's refusal to start a run. */
    void refused(PeerLink link, RunRefused refused) {
        report(link, refused.getReport());
        Worker worker = worker(link.peer().process());
        if (refused.getFencedBy() > 0) {
            // If this entry started the task at another agent, which the new owner has not reached, it could run twice.
            TaskKey.parse(refused.getTask())
                    .flatMap(this::ownerOf)
                    .filter(owner -> owner.epoch() < refused.getFencedBy())
                    .ifPresent(owner -> owner.superseded(refused.getFencedBy()));
        }
        Optional<Worker.SentStart> start = TaskKey.parse(refused.getTask())
                .flatMap(worker::inProgress)
                .filter(sent -> sent.run() == refused.getRun());
        if (start.isEmpty()) {
            return;
        }
        String reason = refused.getReason();
        if (!RunSupervisor.NO_ROOM.equals(reason) && !RunSupervisor.SUSPECT_HELD.equals(reason)) {
            worker.pauseStarts(timers.nanos() + REFUSAL_PAUSE.toNanos());
        }
        finishRun(worker, start.get(), RunOutcome.NEVER_STARTED, () -> {});
    }

    /** Ends lost runs, and refuses jobs that are too late. */
    void sweep() {
        long now = timers.nanos();
        for (Worker worker : List.copyOf(workers.values())) {
            if (!worker.isLinked()) {
                expireRuns(worker, worker.nanosSinceContact(now));
            }
        }
        overdueRuns.moveFromSlowWorkers(now);
        evidence.releaseTasks();
        admission.refuseUnservable(now);
        queueShares.ifPresent(QueueShares::updateContention);
        passes.schedule();
    }

    private void expireRuns(Worker worker, long silentNanos) {
        int count = 0;
        for (Worker.SentStart start : worker.inProgress()) {
            Duration timeout = start.task().job().isDurable() ? RUN_LOSS_TIMEOUT : IN_MEMORY_RUN_LOSS_TIMEOUT;
            if (silentNanos > timeout.toNanos()) {
                finishRun(worker, start, RunOutcome.LOST, () -> {});
                count++;
            }
        }
        if (count > 0) {
            EventLine.of("runs-given-up")
                    .with("worker", worker.process())
                    .with("runs", count)
                    .with("silent_ms", silentNanos / 1_000_000)
                    .log(LOGGER.atWarning());
        }
        if (silentNanos > RUN_LOSS_TIMEOUT.toNanos() && worker.inProgress().isEmpty()) {
            workers.remove(worker.process());
            readyAfterStops(stoppingRuns.retain(worker, Set.of()));
        }
    }

    private void start(Worker worker, Task task, boolean bySpeed) {
        Optional<JobOwner> owner = jobOwnerOf(task);
        PeerLink link = links.get(worker.process());
        if (owner.isEmpty() || link == null) {
            return;
        }
        JobOwner.FencingToken token = owner.get().fencingToken();
        waiting.remove(task);
        long run = task.lastRun() + 1;
        long now = timers.nanos();
        double expectedMillis = placement.expectedMillis(task);
        Worker.SentStart sent = worker.send(task, run, now, expectedMillis);
        task.job().recordPlacement(task, worker.process(), run);
        // Agents refuse a second suspect, so a suspect that joins another one is sent as an ordinary task.
        boolean isolated = crashes.isSuspect(task) && !worker.holdsSuspect();
        if (isolated) {
            worker.addSuspect(task.key());
        } else if (crashes.isSuspect(task)) {
            worker.inProgress().forEach(other -> crashes.recordStart(other.task(), false));
        }
        crashes.recordStart(task, isolated);
        EventLine placed = EventLine.of("run-placed")
                .with("task", task.key())
                .with("run", run)
                .with("worker", worker.process())
                .with("free_millicores", worker.freeRoom().processorMillis())
                .with("waited_ms", (now - task.job().acceptedAtNanos()) / 1_000_000)
                .with("report_age_ms", (now - worker.lastReportAtNanos()) / 1_000_000)
                .with("waiting", waiting.size());
        if (bySpeed) {
            startsBySpeed++;
            placed = placed.with("stretch", Math.round(100 * worker.stretch()) / 100.0);
        }
        placed.log(LOGGER.atInfo());
        link.recordEchoSent(now);
        link.send(Frame.newBuilder()
                .setRunStart(RunOrderCodec.start(sent, token)
                        .setSuspected(isolated)
                        .setEchoNanos(link.peerStampNanos())
                        .setStampAgeNanos(link.stampAgeNanos(lastResponsiveNanos.getAsLong()))
                        .setEstimatedMillis(
                                placement.learnsSpeeds()
                                        ? Math.max(0, task.step().estimatedMillis())
                                        : 0))
                .build());
    }
}
