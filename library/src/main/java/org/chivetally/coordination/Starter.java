package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.job.TaskSpecification;
import org.chivetally.placement.AgentView;
import org.chivetally.placement.PlacementChoice;
import org.chivetally.placement.PlacementPolicy;
import org.chivetally.placement.Placer;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Start;

/** Sends waiting tasks to agents. */
final class Starter {
    private static final int MAXIMUM_SET_ASIDE = 8;
    private static final int REFRESH_LOOKS = 8;
    private static final int REFRESHES = 2;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DispatchContext context;
    private final Placer placer;
    private final PlacementPolicy policy;
    private final Admission admission;
    private final long ticketFreshness;
    private final long ticketEnd;
    private final long agentQueue;

    Starter(DispatchContext context, Admission admission) {
        this.context = context;
        this.admission = admission;
        DispatchSettings settings = context.settings;
        this.policy = settings.policy();
        this.ticketFreshness = settings.fencing().ticketFreshness().toNanos();
        this.ticketEnd = settings.fencing().ticketEndNanos();
        this.agentQueue = settings.queues().agentQueue().toNanos();
        this.placer = new Placer(policy, settings.failureDomain(), ticketFreshness, context.random);
    }

    /** Places waiting tasks of a service as long as agents take them. */
    void place(ServiceProgress service) {
        for (WaitingQueue queue : service.openQueues(context.leaseHeld())) {
            place(service, queue);
        }
    }

    private void place(ServiceProgress service, WaitingQueue queue) {
        List<TaskProgress> setAside = new ArrayList<>();
        while (queue.size() > 0 && policy.hasCandidates(service.fleet) && setAside.size() < MAXIMUM_SET_ASIDE) {
            TaskProgress task = queue.poll();
            if (task == null) {
                break;
            }
            if (isTooLate(task.job)) {
                queue.putBack(task);
                admission.shed(task.job);
                continue;
            }
            if (start(task)) {
                continue;
            }
            setAside.add(task);
            if (task.need.equals(Resources.NONE) && task.avoid.isEmpty()) {
                break;
            }
        }
        for (TaskProgress task : setAside.reversed()) {
            queue.putBack(task);
        }
    }

    /** Tells whether work on a job would be wasted: nothing of it ran, and there is no time left for one task. */
    private boolean isTooLate(JobProgress job) {
        return !job.touched
                && context.settings.queues().shedding()
                && context.now + job.service.medianNanos() - job.deadlineAt > 0
                && !context.mayBeTakenOver(job);
    }

    private boolean start(TaskProgress task) {
        ServiceProgress service = task.job.service;
        PlacementChoice choice = placer.choose(service.fleet, task.need, task.avoid, context.now);
        choice.staleTickets().forEach(context::refresh);
        if (choice.agent().isEmpty()) {
            return false;
        }
        if (task.starts == 0) {
            service.retryBudget.firstAttempt();
        }
        Attempt attempt = send(task, choice.agent().get());
        service.drainRate.left(service.queued() > 0, context.now);
        context.log.placed(attempt, choice);
        return true;
    }

    /** Starts a second copy of a straggler if an agent is free and nothing waits for it. */
    void speculate(Attempt straggler) {
        TaskProgress task = straggler.task;
        ServiceProgress service = task.job.service;
        boolean wanted = task.live.size() == 1 && !straggler.inDoubt && service.queued() == 0;
        boolean allowed = mayStart(task.job) && task.job.team.mayRunMore() && service.fleet.hasFreeSlot();
        if (!wanted || !allowed || !service.speculationBudget.take(context.now)) {
            return;
        }
        task.avoid.add(straggler.agent.id());
        PlacementChoice choice = placer.choose(service.fleet, task.need, task.avoid, context.now);
        Optional<AgentView> agent = choice.agent().filter(other -> other != straggler.agent);
        if (agent.isPresent()) {
            context.log.speculated(send(task, agent.get()), straggler);
        }
    }

    private boolean mayStart(JobProgress job) {
        return context.leaseHeld() || job.policy.claimMode() == ClaimMode.MEMORY;
    }

    private Attempt send(TaskProgress task, AgentView agent) {
        JobProgress job = task.job;
        job.touched = true;
        task.starts++;
        String id = job.id.text() + "/" + task.index + "/" + job.generation + "/" + task.starts;
        Attempt attempt = new Attempt(id, task, agent, context.now, agent.ticketReceivedAtNanos(), false);
        context.send(agent, Frame.newBuilder().setStart(frame(attempt)).build());
        context.attempts.add(attempt);
        context.move(task, TaskProgress.Stage.LIVE);
        long lease = leaseNanos(job);
        attempt.overdue = context.alarms.set(context.now + ticketEnd + lease, new Alarm.AttemptOverdue(attempt));
        watchForStraggling(attempt);
        return attempt;
    }

    private void watchForStraggling(Attempt attempt) {
        JobProgress job = attempt.job();
        DispatchSettings.Speculation limits = context.settings.speculation();
        if (!job.policy.speculate() || job.service.runTimes.count() < limits.minimumSamples()) {
            return;
        }
        job.service.speculationBudget.firstAttempt();
        long after = (long) (job.service.runTimes.p99Micros() * 1_000 * limits.factor());
        attempt.straggler = context.alarms.set(context.now + after, new Alarm.Straggler(attempt));
    }

    private long leaseNanos(JobProgress job) {
        return Math.min(job.policy.attemptLease().toNanos(), job.deadlineAt - context.now);
    }

    private Start frame(Attempt attempt) {
        JobProgress job = attempt.job();
        TaskSpecification task = job.specification.tasks().get(attempt.task.index);
        Resources need = attempt.need();
        long left = job.deadlineAt - context.now;
        return Start.newBuilder()
                .setAttemptId(attempt.id)
                .setJobId(job.id.text())
                .setTaskIndex(attempt.task.index)
                .setGeneration(job.generation)
                .setTicket(attempt.agent.ticket())
                .setService(job.service.name)
                .setPayload(task.payload())
                .setLeaseMillis(atLeastOneMilli(leaseNanos(job)))
                .setQueueMillis(atLeastOneMilli(Math.min(agentQueue, left)))
                .setIdempotent(job.policy.idempotent())
                .setTeam(job.team.name)
                .setProcessorMillis(need.processorMillis())
                .setMemoryBytes(need.memoryBytes())
                .setAccelerators(need.accelerators())
                .build();
    }

    private static long atLeastOneMilli(long nanos) {
        return Math.max(1, nanos / NANOS_PER_MILLI);
    }

    /**
     * Asks a few agents for news while tasks wait. An agent that others had filled at its last report looks full for
     * ever to a coordinator that has nothing there to hear of; a bounded number of heartbeats each tick is enough to
     * see it free again.
     */
    void refreshLoads(ServiceProgress service) {
        List<AgentView> members = service.fleet.agents();
        long oldest = context.settings.queues().loadRefreshAge().toNanos();
        int sent = 0;
        int looks = Math.min(REFRESH_LOOKS, members.size());
        for (int look = 0; look < looks && sent < REFRESHES; look++) {
            service.refreshCursor = (service.refreshCursor + 1) % members.size();
            AgentView agent = members.get(service.refreshCursor);
            boolean old = !agent.hasFreshTicket(context.now, oldest);
            boolean worth = agent.externalTasks() > 0 || !agent.hasFreshTicket(context.now, ticketFreshness);
            if (old && worth && !agent.refreshPending(context.now) && agent.reachable()) {
                context.refresh(agent);
                sent++;
            }
        }
    }
}
