package org.chivetally.load.experiment;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.agent.AgentEffect;
import org.chivetally.agent.AgentEvent;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.AgentState;
import org.chivetally.agent.MinionAnswer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionState;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.agent.PeerId;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.coordination.Dispatcher;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TaskSpecification;
import org.chivetally.load.ScheduledJob;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/**
 * Discrete-event simulation of a cluster. It runs the production decision code of coordinators and agents in simulated
 * time, with delayed frames and task durations known in advance. There are no sockets, threads or connections, so the
 * periodic heartbeats of connections are not counted.
 */
final class ClusterSimulation {
    private static final String SERVICE = "service";
    private static final String INCARNATION = "1";
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration MINION_STATE_INTERVAL = Duration.ofSeconds(1);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String PAYLOAD = "{\"workMillis\":300}";

    private final ClusterShape shape;
    private final Duration deadline;
    private final EventQueue events = new EventQueue();
    private final List<Dispatcher> coordinators = new ArrayList<>();
    private final List<AgentState> agents = new ArrayList<>();
    private final Map<JobId, ScheduledJob> openJobs = new HashMap<>();
    private final Map<JobId, Long> submittedNanos = new HashMap<>();
    private final Counts counts = new Counts();
    private final FinishListener listener;

    ClusterSimulation(
            ClusterShape shape, DispatchSettings settings, Duration deadline, long seed, FinishListener listener) {
        this.shape = shape;
        this.deadline = deadline;
        this.listener = listener;
        for (int coordinator = 0; coordinator < shape.coordinators(); coordinator++) {
            DispatchSettings coordinatorSettings = withFailureDomain(shape.failureDomain(coordinator), settings);
            coordinators.add(new Dispatcher(coordinatorSettings, seed * shape.coordinators() + coordinator));
        }
        for (int agent = 0; agent < shape.agents(); agent++) {
            agents.add(newAgent(agent));
        }
        connect();
    }

    /**
     * Submits jobs at their scheduled times, round-robin to the coordinators, and runs until all of them have finished.
     */
    Counts simulate(List<ScheduledJob> jobs) {
        for (ScheduledJob job : jobs) {
            int coordinator = job.index() % coordinators.size();
            events.schedule(MINION_STATE_INTERVAL.toNanos() + job.dueNanos(), () -> submit(coordinator, job));
        }
        int total = jobs.size();
        while (counts.finished < total && events.runNext()) {
            // Each event may schedule further ones.
        }
        return counts;
    }

    private static DispatchSettings withFailureDomain(String failureDomain, DispatchSettings settings) {
        return new DispatchSettings(
                failureDomain,
                false,
                settings.policy(),
                settings.fencing(),
                settings.queues(),
                settings.retries(),
                settings.speculation(),
                settings.quarantine());
    }

    private AgentState newAgent(int agent) {
        MinionCapacity capacity = new MinionCapacity(shape.slotsPerAgent(), 8 * shape.slotsPerAgent(), 0, 0, 0);
        AgentLimits defaults = AgentLimits.forSlots(shape.slotsPerAgent());
        AgentLimits withoutDecisionLines = new AgentLimits(
                defaults.queueBound(),
                defaults.longestTicketAge(),
                defaults.resultRetention(),
                defaults.resultBytes(),
                defaults.answerBytes(),
                defaults.failuresUntilUnhealthy(),
                defaults.statePoll(),
                defaults.drainLinger(),
                defaults.peerSilence(),
                false);
        AgentSettings settings = new AgentSettings(
                agentId(agent).processId(),
                shape.failureDomain(agent),
                "localhost",
                0,
                "localhost",
                1,
                SERVICE,
                "minion-" + agent,
                capacity,
                URI.create("http://localhost:1"),
                new MinionStateSource.Native(),
                withoutDecisionLines);
        Hello hello = Hello.newBuilder()
                .setProcessId(settings.processId())
                .setIncarnation(INCARNATION)
                .setFailureDomain(settings.failureDomain())
                .setRole("agent")
                .setService(SERVICE)
                .setCapacity(capacity.toWire())
                .build();
        return new AgentState(settings, hello, agent, events.nowNanos());
    }

    private void connect() {
        for (int agent = 0; agent < agents.size(); agent++) {
            reportMinionState(agent);
            for (int coordinator = 0; coordinator < coordinators.size(); coordinator++) {
                PeerId peer = new PeerId(coordinator);
                apply(agent, new AgentEvent.PeerConnected(peer));
                apply(agent, new AgentEvent.PeerIdentified(peer, "entry-" + coordinator, INCARNATION));
            }
            tickAgent(agent);
        }
        for (int coordinator = 0; coordinator < coordinators.size(); coordinator++) {
            handle(coordinator, new DispatchEvent.EntriesChanged(coordinators.size()));
            handle(coordinator, new DispatchEvent.LeaseChanged(true));
            tickCoordinator(coordinator);
        }
    }

    private void reportMinionState(int agent) {
        int running = agents.get(agent).runningTasks();
        int free = Math.max(0, shape.slotsPerAgent() - running);
        apply(
                agent,
                new AgentEvent.MinionReported(new MinionState.Reported(true, false, free, running), events.nowNanos()));
        events.schedule(MINION_STATE_INTERVAL.toNanos(), () -> reportMinionState(agent));
    }

    private void tickAgent(int agent) {
        AgentState state = agents.get(agent);
        if (state.runningTasks() + state.waitingTasks() > 0) {
            apply(agent, new AgentEvent.Ticked());
        }
        events.schedule(TICK_INTERVAL.toNanos(), () -> tickAgent(agent));
    }

    private void tickCoordinator(int coordinator) {
        if (coordinators.get(coordinator).waits()) {
            handle(coordinator, new DispatchEvent.Ticked());
        }
        events.schedule(TICK_INTERVAL.toNanos(), () -> tickCoordinator(coordinator));
    }

    private void submit(int coordinator, ScheduledJob job) {
        JobId id = new JobId("job-" + job.index());
        TaskSpecification task = new TaskSpecification(PAYLOAD, Resources.NONE);
        List<TaskSpecification> tasks =
                job.taskMillis().stream().map(millis -> task).toList();
        JobSpecification specification = new JobSpecification(SERVICE, job.team(), deadline, tasks);
        openJobs.put(id, job);
        submittedNanos.put(id, events.nowNanos());
        counts.tasks += tasks.size();
        handle(coordinator, new DispatchEvent.JobSubmitted(id, specification, ServicePolicy.undeclared(SERVICE)));
        events.schedule(shape.claimTime().toNanos(), () -> handle(coordinator, new DispatchEvent.JobClaimed(id, 1)));
    }

    private void handle(int coordinator, DispatchEvent event) {
        for (DispatchEffect effect : coordinators.get(coordinator).handle(event, events.nowNanos())) {
            switch (effect) {
                case DispatchEffect.SendFrame send -> sendToAgent(coordinator, send);
                case DispatchEffect.JobFinished finished -> jobFinished(finished);
                case DispatchEffect.CountWaste waste -> counts.wasted++;
                case DispatchEffect.WriteLine line -> {
                    // Decision lines are disabled.
                }
            }
        }
    }

    private void sendToAgent(int coordinator, DispatchEffect.SendFrame send) {
        int agent = Integer.parseInt(send.agent().processId().substring("agent-".length()));
        counts.frames++;
        events.schedule(shape.delayNanos(coordinator, agent), () -> deliverToAgent(coordinator, agent, send.frame()));
    }

    private void deliverToAgent(int coordinator, int agent, Frame frame) {
        PeerId peer = new PeerId(coordinator);
        long request = frame.getRequestId();
        switch (frame.getBodyCase()) {
            case START -> apply(agent, new AgentEvent.StartRequested(peer, request, frame.getStart()));
            case HEARTBEAT -> apply(agent, new AgentEvent.HeartbeatRequested(peer, request));
            case CANCEL ->
                apply(
                        agent,
                        new AgentEvent.CancelRequested(peer, frame.getCancel().getJobIdsList()));
            case INQUIRY -> apply(agent, new AgentEvent.InquiryRequested(peer, request, frame.getInquiry()));
            default -> throw new IllegalStateException("unexpected frame from a coordinator: " + frame.getBodyCase());
        }
    }

    private void apply(int agent, AgentEvent event) {
        for (AgentEffect effect : agents.get(agent).apply(event, events.nowNanos())) {
            switch (effect) {
                case AgentEffect.SendTo send -> sendToCoordinator(agent, send);
                case AgentEffect.RunOnMinion run -> runTask(agent, run);
                case AgentEffect.WriteLine line -> {
                    // Decision lines are disabled.
                }
                case AgentEffect.CountWaste waste -> counts.wasted++;
                case AgentEffect.AbandonRun abandon ->
                    throw new IllegalStateException("a simulated attempt was abandoned");
                case AgentEffect.ReadyToStop ready -> throw new IllegalStateException("a simulated agent stopped");
            }
        }
    }

    private void runTask(int agent, AgentEffect.RunOnMinion run) {
        ScheduledJob job = openJobs.get(new JobId(run.jobId()));
        if (job == null) {
            throw new IllegalStateException("start of a finished job: " + run.jobId());
        }
        counts.starts++;
        long nanos = job.taskMillis().get(run.taskIndex()) * NANOS_PER_MILLI;
        MinionAnswer answer = new MinionAnswer.Success("{}");
        events.schedule(nanos, () -> apply(agent, new AgentEvent.MinionAnswered(run.attemptId(), answer)));
    }

    private void sendToCoordinator(int agent, AgentEffect.SendTo send) {
        int coordinator = (int) send.peer().number();
        Frame frame = send.frame();
        DispatchEvent event = frame.hasHello()
                ? new DispatchEvent.AgentConnected(agentId(agent), frame.getHello())
                : new DispatchEvent.FrameReceived(agentId(agent), frame);
        counts.frames += frame.hasHello() ? 0 : 1;
        events.schedule(shape.delayNanos(coordinator, agent), () -> handle(coordinator, event));
    }

    private void jobFinished(DispatchEffect.JobFinished finished) {
        ScheduledJob job = openJobs.remove(finished.job());
        long submitted = submittedNanos.remove(finished.job());
        counts.finished++;
        counts.failed += finished.outcome() instanceof JobOutcome.Complete ? 0 : 1;
        listener.jobFinished(job, events.nowNanos() - submitted, finished.outcome());
    }

    private static AgentId agentId(int agent) {
        return new AgentId("agent-" + agent, INCARNATION);
    }

    /** Listener for the end of jobs. */
    @FunctionalInterface
    interface FinishListener {
        /**
         * Called when a job has ended.
         *
         * @param responseNanos time since the submission, in nanoseconds
         * @param outcome final outcome of the job
         */
        void jobFinished(ScheduledJob job, long responseNanos, JobOutcome outcome);
    }

    /** Event counts of a simulation. */
    static final class Counts {
        private int finished;
        private int failed;
        private long tasks;
        private long starts;
        private long frames;
        private long wasted;

        int failed() {
            return failed;
        }

        double messagesPerTask() {
            return (double) frames / starts;
        }

        double wastedPerTask() {
            return (double) wasted / starts;
        }

        double startsPerTask() {
            return (double) starts / tasks;
        }
    }
}
