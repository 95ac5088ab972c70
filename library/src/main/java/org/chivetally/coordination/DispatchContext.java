package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.job.JobId;
import org.chivetally.placement.AgentView;
import org.chivetally.placement.Fleet;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Report;

/** State that the parts of a dispatcher share, and the effects of the event at hand. */
final class DispatchContext {
    final DispatchSettings settings;
    final RandomGenerator random;
    final Fleet fleet;
    final Attempts attempts;
    final DecisionLog log;
    final AlarmQueue alarms = new AlarmQueue();
    final TeamLedger teams = new TeamLedger();
    final FinishedJobs finished = new FinishedJobs();
    final Map<JobId, JobProgress> jobs = new HashMap<>();
    final Set<JobProgress> takingOver = new LinkedHashSet<>();
    private final Map<String, ServiceProgress> services = new LinkedHashMap<>();
    private final Set<ServiceProgress> touched = new LinkedHashSet<>();
    private final Set<ServiceProgress> backlogged = new LinkedHashSet<>();
    private List<DispatchEffect> effects = new ArrayList<>();

    long now;
    private boolean leaseHeld;
    private long leaseHeldSince;

    DispatchContext(DispatchSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.fleet = new Fleet(
                settings.policy().overcommittedSlots(),
                settings.fencing().goneRetention().toNanos());
        this.attempts = new Attempts(this);
        this.log = new DecisionLog(this);
    }

    ServiceProgress service(String name) {
        return services.computeIfAbsent(name, key -> new ServiceProgress(key, fleet.of(key), settings));
    }

    Iterable<ServiceProgress> services() {
        return services.values();
    }

    boolean leaseHeld() {
        return leaseHeld;
    }

    void changeLease(boolean held) {
        if (held && !leaseHeld) {
            leaseHeldSince = now;
        }
        leaseHeld = held;
        services.values().forEach(this::touch);
    }

    /**
     * Tells whether the lease was not held at some time of the job's life. Another coordinator may have taken the job
     * over then and started its tasks, so that "not run" may be false without this process having started anything.
     */
    boolean mayBeTakenOver(JobProgress job) {
        return !leaseHeld || leaseHeldSince - job.submittedAt > 0;
    }

    /** Names of services come from callers; without this, made-up ones would fill the memory. */
    void forgetIfUnused(ServiceProgress service) {
        boolean unused = service.waiting == 0 && service.running == 0 && service.runTimes.count() == 0;
        if (unused && service.fleet.agents().isEmpty()) {
            services.remove(service.name, service);
            touched.remove(service);
            fleet.removeServiceWithoutAgents(service.name);
        }
    }

    /** Marks a service whose waiting tasks may find an agent now. */
    void touch(ServiceProgress service) {
        touched.add(service);
    }

    List<ServiceProgress> takeTouched() {
        if (touched.isEmpty()) {
            return List.of();
        }
        List<ServiceProgress> taken = new ArrayList<>(touched);
        touched.clear();
        return taken;
    }

    List<ServiceProgress> backlogged() {
        return new ArrayList<>(backlogged);
    }

    void resumeLanes(TeamAccount team) {
        for (WaitingQueue.Lane lane : teams.takeUnblocked(team)) {
            lane.queue.resume(lane);
            touch(lane.queue.service);
        }
    }

    /** Takes in a report of an agent; its service's tasks may find a free slot by it. */
    void reported(AgentView agent, Report report) {
        fleet.applyReport(agent, report, now);
        if (agent.helloReceived()) {
            touch(service(agent.service()));
        }
    }

    /** Moves a task to another stage and keeps the counts of what waits in step. */
    void move(TaskProgress task, TaskProgress.Stage stage) {
        int change = (stage.waits() ? 1 : 0) - (task.stage.waits() ? 1 : 0);
        task.stage = stage;
        if (change != 0) {
            countWaiting(task.job, change);
        }
    }

    void countWaiting(JobProgress job, int change) {
        job.service.waiting += change;
        teams.countWaiting(job.team, change);
        if (job.service.waiting > 0) {
            backlogged.add(job.service);
        } else {
            backlogged.remove(job.service);
        }
    }

    void enqueue(TaskProgress task) {
        move(task, TaskProgress.Stage.QUEUED);
        queueOf(task.job).addLast(task);
        touch(task.job.service);
    }

    void enqueueFirst(TaskProgress task) {
        move(task, TaskProgress.Stage.QUEUED);
        queueOf(task.job).addFirst(task);
        touch(task.job.service);
    }

    WaitingQueue queueOf(JobProgress job) {
        return job.service.queue(job.policy.claimMode());
    }

    void emit(DispatchEffect effect) {
        effects.add(effect);
    }

    void send(AgentView agent, Frame frame) {
        effects.add(new DispatchEffect.SendFrame(agent.id(), frame));
    }

    void waste(WasteKind kind) {
        effects.add(new DispatchEffect.CountWaste(kind));
    }

    /** Asks an agent for a report, and with it a new ticket, unless that is under way. */
    void refresh(AgentView agent) {
        if (agent.refreshPending(now) || !agent.reachable()) {
            return;
        }
        fleet.refreshSent(agent, now);
        send(
                agent,
                Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build());
    }

    List<DispatchEffect> takeEffects() {
        List<DispatchEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
