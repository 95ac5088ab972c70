package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.errors.ErrorCode;
import org.chivetally.placement.AgentView;
import org.chivetally.wire.v1.Frame;

/**
 * The decisions of one coordinator over all its jobs. Single-threaded and without clock or chance of its own: the same
 * seed, events and times give the same effects.
 *
 * <p>The lease counts as not held until {@link DispatchEvent.LeaseChanged} says that it is.
 */
public final class Dispatcher {
    private final DispatchContext context;
    private final Cancellations cancellations;
    private final JobEnds jobEnds;
    private final AttemptEnds attemptEnds;
    private final Takeovers takeovers;
    private final Doubts doubts;
    private final Admission admission;
    private final Starter starter;

    /** Creates a dispatcher that knows no agent and no job. */
    public Dispatcher(DispatchSettings settings, long seed) {
        context = new DispatchContext(settings, seed);
        cancellations = new Cancellations(context);
        jobEnds = new JobEnds(context, cancellations);
        Inquiries inquiries = new Inquiries(context);
        attemptEnds = new AttemptEnds(context, jobEnds, inquiries);
        takeovers = new Takeovers(context, inquiries, attemptEnds, jobEnds);
        doubts = new Doubts(context, inquiries, attemptEnds, takeovers);
        admission = new Admission(context, jobEnds, takeovers);
        starter = new Starter(context, admission);
    }

    /** Takes one event in at a time of the monotonic clock, in nanoseconds, and returns what to do, in order. */
    public List<DispatchEffect> handle(DispatchEvent event, long nowNanos) {
        context.now = nowNanos;
        for (Alarm alarm = context.alarms.pollDue(nowNanos); alarm != null; alarm = context.alarms.pollDue(nowNanos)) {
            goOff(alarm);
        }
        take(event);
        for (ServiceProgress service : context.takeTouched()) {
            starter.place(service);
        }
        return context.takeEffects();
    }

    /** Tells whether anything falls due later, so that {@link DispatchEvent.Ticked} has to be sent. */
    public boolean waits() {
        return context.alarms.size() > 0 || cancellations.pending();
    }

    /** Returns counts and agents as they are now. */
    public DispatchSnapshot snapshot() {
        Map<String, DispatchSnapshot.Counts> services = new HashMap<>();
        for (ServiceProgress service : context.services()) {
            if (service.name.isEmpty()) {
                continue;
            }
            services.put(service.name, new DispatchSnapshot.Counts(service.waiting, service.running));
        }
        Map<String, DispatchSnapshot.Counts> teams = new HashMap<>();
        for (TeamAccount team : context.teams.all()) {
            teams.put(team.name, new DispatchSnapshot.Counts(team.waiting, team.running));
        }
        List<DispatchSnapshot.Agent> agents = new ArrayList<>();
        for (AgentView agent : context.fleet.agents()) {
            agents.add(describe(agent));
        }
        return new DispatchSnapshot(context.leaseHeld(), context.jobs.size(), services, teams, agents);
    }

    private DispatchSnapshot.Agent describe(AgentView agent) {
        ServiceProgress service = context.service(agent.service());
        return new DispatchSnapshot.Agent(
                agent.id(),
                agent.service(),
                agent.failureDomain(),
                agent.state(),
                agent.slots(),
                agent.inFlight(),
                agent.externalTasks(),
                agent.attemptLimit(),
                service.quarantine.failureRate(agent),
                service.quarantine.slowRate(agent));
    }

    private void take(DispatchEvent event) {
        switch (event) {
            case DispatchEvent.JobSubmitted submitted -> admission.submitted(submitted);
            case DispatchEvent.JobClaimed claimed -> admission.claimed(claimed);
            case DispatchEvent.JobWithdrawn withdrawn -> admission.withdrawn(withdrawn);
            case DispatchEvent.JobTakenOver takenOver -> takenOver(takenOver);
            case DispatchEvent.JobCancelled cancelled -> admission.cancelled(cancelled);
            case DispatchEvent.AgentConnected connected -> connected(connected);
            case DispatchEvent.AgentUnreachable unreachable ->
                doubts.unreachable(context.fleet.markUnreachable(unreachable.agent()));
            case DispatchEvent.AgentNamed named ->
                takeovers.named(context.fleet.addPossibleHolder(named.agent(), named.service()));
            case DispatchEvent.AgentPresumedGone presumed ->
                context.fleet.find(presumed.agent()).ifPresent(doubts::presumedGone);
            case DispatchEvent.AgentHeldDown changed -> heldDown(changed);
            case DispatchEvent.AgentGone gone -> gone(gone);
            case DispatchEvent.FrameReceived received -> received(received);
            case DispatchEvent.TeamChanged changed -> context.resumeLanes(context.teams.change(changed.team()));
            case DispatchEvent.EntriesChanged changed -> entriesChanged(changed.entries());
            case DispatchEvent.LeaseChanged changed -> context.changeLease(changed.held());
            case DispatchEvent.Ticked ticked -> ticked();
        }
    }

    private void goOff(Alarm alarm) {
        switch (alarm) {
            case Alarm.JobDeadline due ->
                jobEnds.fail(due.job(), ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the job was done");
            case Alarm.AttemptOverdue due -> doubts.overdue(due.attempt());
            case Alarm.Straggler due -> starter.speculate(due.attempt());
            case Alarm.BackoffOver due -> attemptEnds.backoffOver(due.task());
            case Alarm.AskAgain due -> doubts.askAgain(due.doubt());
            case Alarm.TakeoverLimit due -> takeovers.limitReached(due.job());
            case Alarm.ProbeDue due ->
                due.service()
                        .quarantine
                        .probe(due.agent(), context.now)
                        .ifPresent(verdict -> attemptEnds.apply(due.service(), verdict));
        }
    }

    private void connected(DispatchEvent.AgentConnected event) {
        context.fleet.find(event.agent()).ifPresent(doubts::doubtAll);
        AgentView agent = context.fleet.applyHello(event.agent(), event.hello(), context.now);
        context.touch(context.service(agent.service()));
        doubts.connected(agent);
        takeovers.connected(agent);
    }

    private void heldDown(DispatchEvent.AgentHeldDown event) {
        context.fleet.find(event.agent()).ifPresent(agent -> {
            context.fleet.setHeldDown(agent, event.held());
            context.touch(context.service(agent.service()));
        });
    }

    private void gone(DispatchEvent.AgentGone event) {
        AgentView agent = context.fleet.markGone(event.agent(), context.now);
        context.service(agent.service()).quarantine.remove(agent);
        doubts.gone(agent);
        takeovers.gone(agent);
    }

    private void received(DispatchEvent.FrameReceived event) {
        Optional<AgentView> known = context.fleet.find(event.agent());
        if (known.isEmpty()) {
            context.waste(WasteKind.STRAY);
            return;
        }
        AgentView agent = known.get();
        Frame frame = event.frame();
        switch (frame.getBodyCase()) {
            case RESULT -> attemptEnds.result(agent, frame.getResult());
            case REFUSAL -> attemptEnds.refusal(agent, frame.getRefusal());
            case INQUIRY_ANSWER -> {
                context.reported(agent, frame.getInquiryAnswer().getReport());
                doubts.answered(agent, frame);
            }
            case HEARTBEAT -> context.reported(agent, frame.getHeartbeat().getReport());
            case LEAVING -> context.fleet.markLeaving(agent);
            default -> context.waste(WasteKind.STRAY);
        }
    }

    private void takenOver(DispatchEvent.JobTakenOver event) {
        JobProgress job = context.jobs.get(event.job());
        if (job != null) {
            jobEnds.superseded(job);
        }
    }

    private void entriesChanged(int entries) {
        context.teams.changeEntries(entries);
        for (TeamAccount team : context.teams.all()) {
            context.resumeLanes(team);
        }
    }

    private void ticked() {
        cancellations.flush();
        for (ServiceProgress service : context.backlogged()) {
            context.touch(service);
            if (service.queued() > 0) {
                starter.refreshLoads(service);
            }
        }
    }
}
