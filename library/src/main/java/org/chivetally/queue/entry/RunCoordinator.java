package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
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
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.RefusalReason;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.EndCodec;
import org.chivetally.queue.agent.EndedRun;
import org.chivetally.queue.agent.RunSupervisor;
import org.chivetally.queue.crash.CrashWatch;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.queue.placement.AdmissionPolicy;
import org.chivetally.queue.placement.PlacementPolicy;
import org.chivetally.queue.placement.SharedProcessors;
import org.chivetally.queue.placement.WaitingTasks;
import org.chivetally.queue.placement.Worker;
import org.chivetally.queue.share.Division;
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
import org.chivetally.wire.v1.RunStart;
import org.chivetally.wire.v1.RunStop;
import org.chivetally.wire.v1.WorkerReport;

/** Places the tasks of the entry's partitions on workers and follows their runs, until their ends are known. */
final class RunCoordinator implements UnkeptJobs.Admission {
    /**
     * Silence after which an agent's runs are given up: the agent stops them when the owner's knowledge of it is 3.7 s
     * old, and renews no longer than 4.05 s; the lease of 1 s then ends by a clock that may be 2% slow, and timers on a
     * slowed machine fire late. Any sooner, a task could be started beside its old run.
     */
    static final Duration ABSENCE = Duration.ofMillis(5_700);

    /**
     * Silence after which the runs of unkept jobs are given up. The agent stops them when this entry's knowledge of it
     * is 0.8 s old, and renews no longer than 1.15 s; the lease of 1 s then ends by a clock that may be 2% slow.
     */
    static final Duration UNKEPT_ABSENCE = Duration.ofMillis(2_350);

    /**
     * Time from the start of an entry in which no job is refused for the backlog. Agents that start with it are linked
     * and know their minions within 1.5 s; until then it knows few workers and would take the service for overloaded.
     */
    static final Duration SETTLING = Duration.ofSeconds(2);

    /** Pause of a worker that refused a start for another reason than room: one interval of heartbeats. */
    static final Duration REFUSAL_PAUSE = Duration.ofMillis(250);

    /**
     * When to come back to a service without a failure domain in use: operators work in minutes, but may be done soon.
     */
    static final Duration EVACUATION_RETRY = Duration.ofSeconds(5);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final int partitionCount;
    private final Map<Integer, PartitionOwner> partitions;
    private final UnkeptJobs unkept;
    private final BooleanSupplier stoodStill;
    private final LongSupplier keptUpAtNanos;
    private final PlacementPolicy placement;
    private final CrashWatch crashes;
    private final long startedAtNanos;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, PeerLink> links = new HashMap<>();
    private final WaitingTasks waiting;
    private final ServiceShares shares;
    private long startsBySpeed;
    private final Optional<QueueShares> queueShares;
    private final PlacementPasses passes;

    /**
     * Creates a coordinator.
     *
     * @param placement where tasks go
     * @param crashes what decides about tasks under which minions crashed
     * @param partitions the entry's partitions by number, kept up by the entry
     * @param mayStart whether the entry is sure enough of its ownership to start anything
     * @param stoodStill whether what the entry reads now may be old
     * @param keptUpAtNanos when the entry last kept up with what it is to read, by the steady clock
     * @param scheduling parts of scheduling that are switched on
     */
    RunCoordinator(
            Timers timers,
            PlacementPolicy placement,
            CrashWatch crashes,
            int partitionCount,
            Map<Integer, PartitionOwner> partitions,
            BooleanSupplier mayStart,
            BooleanSupplier stoodStill,
            LongSupplier keptUpAtNanos,
            SchedulingSettings scheduling) {
        this.stoodStill = stoodStill;
        this.keptUpAtNanos = keptUpAtNanos;
        this.placement = placement;
        this.crashes = crashes;
        this.timers = timers;
        this.partitionCount = partitionCount;
        this.partitions = partitions;
        this.unkept = new UnkeptJobs(timers, crashes, this);
        this.startedAtNanos = timers.nanos();
        this.waiting = new WaitingTasks(scheduling.fairShares());
        this.shares = new ServiceShares(timers, waiting, workers.values());
        this.queueShares = scheduling.fairShares()
                ? Optional.of(new QueueShares(timers, waiting, workers.values()))
                : Optional.empty();
        this.passes = new PlacementPasses(
                timers, waiting, workers.values(), placement, crashes, shares, queueShares, new PlacementPasses.Runs() {
                    @Override
                    public boolean mayStart() {
                        return mayStart.getAsBoolean();
                    }

                    @Override
                    public void start(Worker worker, Task task, boolean bySpeed) {
                        RunCoordinator.this.start(worker, task, bySpeed);
                    }

                    @Override
                    public void outlookChanged(long nowNanos) {
                        refuseWithoutProspect(nowNanos);
                    }
                });
    }

    /** Returns what this entry may use of the workers beside the other entries. */
    ServiceShares shares() {
        return shares;
    }

    /** Returns how queues share the workers; empty unless that is switched on. */
    Optional<QueueShares> queueShares() {
        return queueShares;
    }

    /** Returns the jobs that only this entry knows. */
    UnkeptJobs unkept() {
        return unkept;
    }

    @Override
    public Optional<JobAnswer.Refused> refuse(Job job) {
        String service = job.specification().terms().service();
        if (shares.isEvacuated(service)) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.EVACUATED, EVACUATION_RETRY));
        }
        Optional<Duration> refusal = isSettling() ? Optional.empty() : refuseForBacklog(job);
        if (refusal.isEmpty()) {
            shares.arrived(job.specification());
        }
        return refusal.map(retry -> new JobAnswer.Refused(RefusalReason.BACKLOG, retry));
    }

    private Optional<Duration> refuseForBacklog(Job job) {
        if (queueShares.isPresent()) {
            return queueShares.get().refuse(job);
        }
        QueueTerms terms = job.specification().terms();
        long ahead = waiting.workAhead(terms.service(), terms.priority());
        return AdmissionPolicy.refuse(
                job, timers.nanos(), ahead, shares.of(terms.service()).forBacklog());
    }

    @Override
    public Duration retryAfter(Job job) {
        return queueShares.isPresent() ? queueShares.get().givenBack(job) : UnkeptJobs.RETRY;
    }

    @Override
    public boolean hasStoodStill() {
        return stoodStill.getAsBoolean();
    }

    private boolean isSettling() {
        return timers.nanos() - startedAtNanos < SETTLING.toNanos();
    }

    private void refuseWithoutProspect(long now) {
        unkept.refuseHopeless();
        if (isSettling()) {
            return;
        }
        for (String service : waiting.services()) {
            SharedProcessors processors = shares.of(service);
            if (processors.capacityMillis() > 0) {
                refuseOvertaken(service, waiting.withoutProspect(service, processors.spare(), now));
            }
        }
    }

    /** Refuses jobs that others go before for too long; not those of a queue whose share covers all that it needs. */
    private void refuseOvertaken(String service, List<Job> overtaken) {
        if (overtaken.isEmpty()) {
            return;
        }
        Optional<Division> division = queueShares.map(all -> all.division(service));
        for (Job job : overtaken) {
            boolean hasTurn = division.isPresent()
                    && division.get().isSatisfied(job.specification().terms().queue());
            if (!hasTurn) {
                unkept.refuseOvertaken(job);
            }
        }
    }

    /** Tells whether runs that this entry started, or took over, are in progress at an agent. */
    boolean hasRunsAt(String agent) {
        Worker worker = workers.get(agent);
        return worker != null && worker.hasRuns();
    }

    /** Tells whether nothing that this entry knows of waits or runs. */
    boolean isIdle() {
        if (!waiting.isEmpty() || unkept.size() > 0) {
            return false;
        }
        for (Worker worker : workers.values()) {
            if (worker.hasRuns()) {
                return false;
            }
        }
        return true;
    }

    /** Returns how many times as long the slowest workers take as the fastest; 1 while speeds aren't learned. */
    double speedSpread() {
        return placement.speedSpread();
    }

    /** Returns how many starts went to a worker that was chosen by its speed. */
    long startsBySpeed() {
        return startsBySpeed;
    }

    /** Returns the names of all agents that are linked. */
    Set<String> linkedAgents() {
        return new HashSet<>(links.keySet());
    }

    @Override
    public void ready(List<Task> tasks) {
        Job last = null;
        for (Task task : tasks) {
            waiting.add(task, timers.nanos());
            if (task.job() != last) {
                last = task.job();
                waiting.reorder(last, timers.nanos());
            }
        }
        passes.arm();
    }

    /** Drops what waits of a job and stops what runs. */
    @Override
    public void ended(Job job) {
        crashes.ended(job);
        for (Task task : job.tasks()) {
            waiting.remove(task);
            task.worker().ifPresent(name -> stop(name, task.key(), task.lastRun(), homeOf(task)));
        }
    }

    /** Forgets the tasks of a partition that another process owns now. */
    void partitionLost(PartitionOwner partition) {
        for (Job job : partition.jobs()) {
            crashes.ended(job);
            for (Task task : job.tasks()) {
                waiting.remove(task);
                task.worker().map(workers::get).ifPresent(worker -> worker.remove(task.key()));
            }
        }
    }

    private void stop(String workerName, TaskKey task, long run, Optional<RunHome> home) {
        PeerLink link = links.get(workerName);
        if (home.isEmpty() || link == null) {
            // The agent is told when it is linked again: a run of an ended job in its inventory is stopped.
            return;
        }
        RunHome.RunAuthority authority = home.get().authority();
        link.send(Frame.newBuilder()
                .setRunStop(RunStop.newBuilder()
                        .setTask(task.toString())
                        .setRun(run)
                        .setPartition(authority.partition())
                        .setEpoch(authority.epoch())
                        .setUnkept(authority.unkept()))
                .build());
    }

    /** Notes a link to an agent. */
    void up(PeerLink link) {
        String process = link.peer().process();
        links.put(process, link);
        worker(process).linked(link);
    }

    /** Notes that the link to an agent is gone. */
    void down(PeerLink link) {
        String process = link.peer().process();
        if (links.remove(process, link)) {
            worker(process).unlinked();
        }
    }

    private Worker worker(String process) {
        return workers.computeIfAbsent(process, name -> new Worker(name, timers.nanos()));
    }

    /** Notes what an agent tells about its worker. */
    void report(PeerLink link, WorkerReport report) {
        Worker worker = worker(link.peer().process());
        worker.report(
                new Worker.View(
                        report.getMinion(),
                        report.getService(),
                        JobCodec.decode(report.getCapacity()),
                        JobCodec.decode(report.getFree()),
                        report.getAccepting(),
                        report.getLabelsList(),
                        report.getFailureDomain(),
                        report.getStartsSeen()),
                timers.nanos());
        worker.learned(new LearnedStretch(report.getStretchPermille(), report.getStretchRuns()));
        worker.reportSuspects(report.getSuspectedRuns());
        passes.arm();
    }

    /** Brings the own view in line with everything that an agent holds. */
    void inventory(PeerLink link, RunInventory inventory) {
        report(link, inventory.getReport());
        Worker worker = worker(link.peer().process());
        giveUpReplaced(inventory.getFencedList());
        Set<TaskKey> listed = new HashSet<>();
        for (HeldRun run : inventory.getRunsList()) {
            TaskKey.parse(run.getTask()).ifPresent(task -> {
                listed.add(task);
                held(worker, task, run);
            });
        }
        for (RunEnd end : inventory.getEndsList()) {
            // A crash is told until it is stored, and says nothing of a later run of the task.
            EndCodec.decode(end)
                    .filter(ended -> ended.outcome() != RunOutcome.CRASHED)
                    .ifPresent(ended -> listed.add(ended.run().task()));
        }
        ends(link, inventory.getEndsList());
        for (Worker.Sent start : worker.sent()) {
            if (!listed.contains(start.task().key()) && !worker.isUnseen(start)) {
                finished(worker, start, RunOutcome.LOST, () -> {});
            }
        }
        for (OwnedPartition fenced : inventory.getFencedList()) {
            PartitionOwner owner = partitions.get(fenced.getPartition());
            if (owner != null && owner.isReady() && owner.epoch() == fenced.getEpoch()) {
                owner.agentHeard(worker.process());
            }
        }
    }

    /**
     * Gives up the partitions for which an agent has heard of a later owner. That one may have taken ends there, which
     * are listed no more: taken for lost, the runs would be started again, at an agent that it has not reached yet.
     */
    private void giveUpReplaced(List<OwnedPartition> fenced) {
        for (OwnedPartition fence : fenced) {
            PartitionOwner owner = partitions.get(fence.getPartition());
            if (owner != null && owner.epoch() < fence.getEpoch()) {
                owner.replaced(fence.getEpoch());
            }
        }
    }

    private Optional<PartitionOwner> ownerOf(TaskKey task) {
        PartitionOwner owner = partitions.get(Partitions.of(task.jobId(), partitionCount));
        return owner != null && owner.isReady() ? Optional.of(owner) : Optional.empty();
    }

    /** Returns where the job of a task is known; empty when its partition isn't this entry's any more. */
    private Optional<RunHome> homeOf(Task task) {
        return task.job().isKept() ? ownerOf(task.key()).map(RunHome.class::cast) : Optional.of(unkept);
    }

    private Optional<Task> task(TaskKey key) {
        Optional<Task> known = unkept.task(key);
        return known.isPresent() ? known : ownerOf(key).flatMap(owner -> owner.task(key));
    }

    private void held(Worker worker, TaskKey key, HeldRun run) {
        if (!run.getUnkept() && ownerOf(key).isEmpty()) {
            return;
        }
        Optional<RunHome> home =
                run.getUnkept() ? Optional.of(unkept) : ownerOf(key).map(RunHome.class::cast);
        Optional<Task> known = home.flatMap(place -> place.task(key));
        boolean wanted = known.isPresent() && !known.get().job().phase().isFinal();
        if (wanted && known.get().status() == Task.Status.UNCERTAIN) {
            Task task = known.get();
            task.job().place(task, worker.process(), run.getRun());
            worker.adopt(task, run.getRun(), timers.nanos());
            return;
        }
        boolean ours = wanted
                && worker.sent(key).map(start -> start.run() == run.getRun()).orElse(false);
        if (!ours) {
            EventLine.of("run-unwanted")
                    .with("task", key)
                    .with("run", run.getRun())
                    .with("worker", worker.process())
                    .log(LOGGER.atInfo());
            stop(worker.process(), key, run.getRun(), home);
        }
    }

    /** Notes ends of runs. */
    void ends(PeerLink link, List<RunEnd> ends) {
        Worker worker = worker(link.peer().process());
        for (RunEnd encoded : ends) {
            EndCodec.decode(encoded).ifPresent(end -> end(link, worker, end));
        }
    }

    private void end(PeerLink link, Worker worker, EndedRun end) {
        TaskKey key = end.run().task();
        Runnable kept = () -> keep(link, end);
        Optional<Worker.Sent> start =
                worker.sent(key).filter(sent -> sent.run() == end.run().run());
        if (start.isPresent()) {
            if (end.outcome() == RunOutcome.NEVER_STARTED) {
                // A worker that can't start has room all the time and would be chosen again at once, for every task.
                worker.pause(timers.nanos() + REFUSAL_PAUSE.toNanos());
            }
            finished(worker, start.get(), end.outcome(), kept);
            return;
        }
        Optional<Task> known = task(key);
        if (known.isEmpty()) {
            // Of a job that has ended. An end that is another owner's to store is told to that one.
            ownerOf(key).ifPresent(owner -> kept.run());
            return;
        }
        Task task = known.get();
        if (end.outcome() == RunOutcome.CRASHED) {
            homeOf(task).ifPresent(home -> home.crashedBefore(task, end.run().run(), kept));
            return;
        }
        if (task.status() == Task.Status.UNCERTAIN || isLastWord(task, end)) {
            stopNewerRun(task);
            endedUnseen(worker, task, end, kept);
        } else {
            homeOf(task).ifPresent(home -> home.toldAgain(task, kept));
        }
    }

    /** Tells whether a run that this entry no longer followed has done the task, so that no other run is needed. */
    private static boolean isLastWord(Task task, EndedRun end) {
        return task.status() != Task.Status.DONE && end.outcome() == RunOutcome.DONE;
    }

    /** Stops the run in progress of a task that an earlier run has done: the work must not be done twice. */
    private void stopNewerRun(Task task) {
        task.worker().ifPresent(name -> stop(name, task.key(), task.lastRun(), homeOf(task)));
    }

    private void endedUnseen(Worker worker, Task task, EndedRun end, Runnable kept) {
        boolean counts = end.outcome() == RunOutcome.DONE || end.outcome() == RunOutcome.FAILED;
        if (!counts) {
            kept.run();
            return;
        }
        waiting.remove(task);
        task.job().place(task, worker.process(), end.run().run());
        settle(worker, task, end.run().run(), end.outcome(), kept);
    }

    private void keep(PeerLink link, EndedRun end) {
        if (end.sequence() == 0) {
            return;
        }
        link.send(Frame.newBuilder()
                .setEndsKept(EndsKept.newBuilder().setMinion(end.incarnation()).addSequences(end.sequence()))
                .build());
    }

    private void finished(Worker worker, Worker.Sent start, RunOutcome outcome, Runnable kept) {
        if (outcome == RunOutcome.DONE) {
            placement.ended(worker, start, timers.nanos());
            crashes.cleared(start.task());
        }
        worker.remove(start.task().key());
        settle(worker, start.task(), start.run(), outcome, kept);
    }

    private void settle(Worker worker, Task task, long run, RunOutcome outcome, Runnable kept) {
        if (outcome == RunOutcome.FAILED && worker.health().failed(task.key().jobId(), timers.nanos())) {
            EventLine.of("worker-avoided").with("worker", worker.process()).log(LOGGER.atWarning());
        }
        EventLine.of("run-ended")
                .with("task", task.key())
                .with("run", run)
                .with("worker", worker.process())
                .with("outcome", outcome)
                .with("failures", task.failures())
                .log(LOGGER.atInfo());
        homeOf(task).ifPresent(home -> home.ended(task, outcome, kept));
        passes.arm();
    }

    /** Notes that an agent did not start a run. */
    void refused(PeerLink link, RunRefused refused) {
        report(link, refused.getReport());
        Worker worker = worker(link.peer().process());
        if (refused.getFencedBy() > 0) {
            // Started elsewhere, at an agent that the later owner has not reached, the task could run twice.
            TaskKey.parse(refused.getTask())
                    .flatMap(this::ownerOf)
                    .filter(owner -> owner.epoch() < refused.getFencedBy())
                    .ifPresent(owner -> owner.replaced(refused.getFencedBy()));
        }
        Optional<Worker.Sent> start =
                TaskKey.parse(refused.getTask()).flatMap(worker::sent).filter(sent -> sent.run() == refused.getRun());
        if (start.isEmpty()) {
            return;
        }
        String reason = refused.getReason();
        if (!RunSupervisor.NO_ROOM.equals(reason) && !RunSupervisor.SUSPECT_HELD.equals(reason)) {
            worker.pause(timers.nanos() + REFUSAL_PAUSE.toNanos());
        }
        finished(worker, start.get(), RunOutcome.NEVER_STARTED, () -> {});
    }

    /** Gives up the runs of agents that have been silent too long, and lets tasks pass on whose turn is over. */
    void sweep() {
        long now = timers.nanos();
        for (Worker worker : List.copyOf(workers.values())) {
            if (!worker.isLinked()) {
                giveUp(worker, worker.silentNanos(now));
            }
        }
        for (PartitionOwner owner : partitions.values()) {
            boolean over = now - owner.openedAtNanos() > ABSENCE.toNanos();
            for (String agent : over ? owner.unheardAgents() : Set.<String>of()) {
                if (!links.containsKey(agent)) {
                    owner.agentHeard(agent);
                }
            }
        }
        moveFromSlowWorkers(now);
        refuseWithoutProspect(now);
        queueShares.ifPresent(QueueShares::look);
        passes.arm();
    }

    /**
     * Stops overdue runs of unkept jobs on slow workers, so that they start again elsewhere: tasks that stand still
     * would hold their callers until the time limit. Not when many workers look slow, as then something else is.
     */
    private void moveFromSlowWorkers(long now) {
        List<Worker> slow = new ArrayList<>();
        int open = 0;
        for (Worker worker : workers.values()) {
            open += worker.isOpen(now) ? 1 : 0;
            boolean late = !worker.newlyOverdue(now).isEmpty();
            if (worker.health().isSlow()) {
                slow.add(worker);
                if (late) {
                    EventLine.of("worker-slow")
                            .with("worker", worker.process())
                            .with("overdue", worker.overdue().size())
                            .log(LOGGER.atWarning());
                }
            }
        }
        if (PlacementPolicy.AVOIDED_PART * slow.size() > open) {
            return;
        }
        for (Worker worker : slow) {
            for (Worker.Sent start : worker.overdue()) {
                if (!start.task().job().isKept() && !start.task().job().phase().isFinal()) {
                    stop(worker.process(), start.task().key(), start.run(), homeOf(start.task()));
                }
            }
        }
    }

    private void giveUp(Worker worker, long silentNanos) {
        int count = 0;
        for (Worker.Sent start : worker.sent()) {
            Duration absence = start.task().job().isKept() ? ABSENCE : UNKEPT_ABSENCE;
            if (silentNanos > absence.toNanos()) {
                finished(worker, start, RunOutcome.LOST, () -> {});
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
        if (silentNanos > ABSENCE.toNanos() && worker.sent().isEmpty()) {
            workers.remove(worker.process());
        }
    }

    private void start(Worker worker, Task task, boolean bySpeed) {
        Optional<RunHome> home = homeOf(task);
        PeerLink link = links.get(worker.process());
        if (home.isEmpty() || link == null) {
            return;
        }
        RunHome.RunAuthority authority = home.get().authority();
        waiting.remove(task);
        long run = task.lastRun() + 1;
        long now = timers.nanos();
        double expectedMillis = placement.expectedMillis(task);
        Worker.Sent sent = worker.send(task, run, now, expectedMillis);
        task.job().place(task, worker.process(), run);
        // One that shares the worker with another suspect would be refused, were it sent as one.
        boolean isolated = crashes.isSuspect(task) && !worker.holdsSuspect();
        if (isolated) {
            worker.sentSuspect(task.key());
        } else if (crashes.isSuspect(task)) {
            worker.sent().forEach(beside -> crashes.sent(beside.task(), false));
        }
        crashes.sent(task, isolated);
        EventLine placed = EventLine.of("run-placed")
                .with("task", task.key())
                .with("run", run)
                .with("worker", worker.process())
                .with("free_millicores", worker.free().processorMillis())
                .with("waited_ms", (now - task.job().acceptedAtNanos()) / 1_000_000)
                .with("report_age_ms", (now - worker.heardAtNanos()) / 1_000_000)
                .with("waiting", waiting.size());
        if (bySpeed) {
            startsBySpeed++;
            placed = placed.with("stretch", Math.round(100 * worker.stretch()) / 100.0);
        }
        placed.log(LOGGER.atInfo());
        link.echoSent(now);
        link.send(Frame.newBuilder()
                .setRunStart(RunStart.newBuilder()
                        .setNumber(sent.number())
                        .setTask(task.key().toString())
                        .setRun(run)
                        .setPartition(authority.partition())
                        .setEpoch(authority.epoch())
                        .setUnkept(authority.unkept())
                        .setSuspected(isolated)
                        .setEchoNanos(link.peerStampNanos())
                        .setStampAgeNanos(link.stampAgeNanos(keptUpAtNanos.getAsLong()))
                        .setEstimatedMillis(
                                placement.learnsSpeeds()
                                        ? Math.max(0, task.step().estimatedMillis())
                                        : 0)
                        .setRoom(JobCodec.encode(task.room()))
                        .setPayload(task.job().specification().payload()))
                .build());
    }
}
