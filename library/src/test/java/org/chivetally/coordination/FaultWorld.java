package org.chivetally.coordination;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.ServicePolicy;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.TaskStatus;

/** Two coordinators and a few model agents, whose connections, leases and processes fail as a schedule says. */
final class FaultWorld {
    static final int COORDINATORS = 2;
    private static final int AGENTS = 3;
    private static final int SLOTS = 2;
    private static final long NANOS_PER_MILLI = 1_000_000;

    final List<ModelAgent.Run> starts = new ArrayList<>();
    final List<Submission> submissions = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final boolean[] lease = {true, true};
    private final List<ModelAgent> agents = new ArrayList<>();
    private final Channel[][] channels = new Channel[COORDINATORS][AGENTS];
    private final List<Channel> oldChannels = new ArrayList<>();
    private long now = 5_000_000_000_000L;
    private int incarnations;

    FaultWorld(long seed) {
        for (int coordinator = 0; coordinator < COORDINATORS; coordinator++) {
            dispatchers.add(new Dispatcher(DispatchSettings.defaults("north"), seed + coordinator));
            decide(coordinator, new DispatchEvent.LeaseChanged(true));
        }
        for (int agent = 0; agent < AGENTS; agent++) {
            agents.add(newIncarnation(agent));
            for (int coordinator = 0; coordinator < COORDINATORS; coordinator++) {
                connect(coordinator, agent);
            }
        }
    }

    /** One job at one coordinator. */
    static final class Submission {
        /** When the first coordinator got it, before any claim or start. */
        long submittedAt;

        final JobId job;
        final int coordinator;
        final int generation;
        final int tasks;
        final boolean idempotent;
        boolean claimed;
        boolean withdrawn;
        boolean takenOver;
        final List<JobOutcome> outcomes = new ArrayList<>();

        Submission(JobId job, int coordinator, int generation, int tasks, boolean idempotent) {
            this.job = job;
            this.coordinator = coordinator;
            this.generation = generation;
            this.tasks = tasks;
            this.idempotent = idempotent;
        }

        boolean open() {
            return !withdrawn && outcomes.isEmpty();
        }
    }

    private static final class Channel {
        final int coordinator;
        final ModelAgent agent;
        final ArrayDeque<Frame> toAgent = new ArrayDeque<>();
        final ArrayDeque<Frame> toCoordinator = new ArrayDeque<>();
        boolean silent;

        Channel(int coordinator, ModelAgent agent) {
            this.coordinator = coordinator;
            this.agent = agent;
        }
    }

    void submit(int coordinator, int tasks, boolean idempotent, long deadlineMillis) {
        Submission submission =
                new Submission(new JobId("job" + submissions.size()), coordinator, 1, tasks, idempotent);
        submission.submittedAt = now;
        submissions.add(submission);
        submitTo(submission, deadlineMillis);
    }

    void claim(int pick) {
        List<Submission> unclaimed = submissions.stream()
                .filter(one -> one.open() && !one.claimed && !one.takenOver && lease[one.coordinator])
                .toList();
        if (!unclaimed.isEmpty()) {
            Submission submission = unclaimed.get(pick % unclaimed.size());
            submission.claimed = true;
            decide(submission.coordinator, claimed(submission));
        }
    }

    private static DispatchEvent claimed(Submission submission) {
        return new DispatchEvent.JobClaimed(
                submission.job, submission.generation, OptionalLong.of(submission.submittedAt));
    }

    void withdraw(int pick) {
        List<Submission> unclaimed =
                submissions.stream().filter(one -> one.open() && !one.claimed).toList();
        if (!unclaimed.isEmpty()) {
            Submission submission = unclaimed.get(pick % unclaimed.size());
            submission.withdrawn = true;
            decide(submission.coordinator, new DispatchEvent.JobWithdrawn(submission.job));
        }
    }

    void cancel(int pick) {
        if (!submissions.isEmpty()) {
            Submission submission = submissions.get(pick % submissions.size());
            decide(submission.coordinator, new DispatchEvent.JobCancelled(submission.job));
        }
    }

    /** The other coordinator takes a job over from one that lost its lease. */
    void takeOver(int pick, long deadlineMillis) {
        List<Submission> lapsed = submissions.stream()
                .filter(one -> one.open() && !one.takenOver && !lease[one.coordinator])
                .toList();
        if (lapsed.isEmpty()) {
            return;
        }
        Submission before = lapsed.get(pick % lapsed.size());
        int successor = 1 - before.coordinator;
        boolean served = submissions.stream()
                .anyMatch(one -> one.open() && one.job.equals(before.job) && one.coordinator == successor);
        if (!lease[successor] || served) {
            return;
        }
        before.takenOver = true;
        Submission submission =
                new Submission(before.job, successor, before.generation + 1, before.tasks, before.idempotent);
        submission.claimed = true;
        submissions.add(submission);
        submitTo(submission, deadlineMillis);
        submission.submittedAt = before.submittedAt;
        decide(successor, claimed(submission));
    }

    void changeLease(int coordinator, boolean held) {
        if (held && !lease[coordinator]) {
            for (Submission submission : submissions) {
                if (submission.coordinator == coordinator && submission.takenOver) {
                    decide(coordinator, new DispatchEvent.JobTakenOver(submission.job));
                }
            }
        }
        lease[coordinator] = held;
        decide(coordinator, new DispatchEvent.LeaseChanged(held));
    }

    void advance(long millis) {
        now += millis * NANOS_PER_MILLI;
        for (ModelAgent agent : agents) {
            send(agent, agent.tick(now));
        }
        for (int coordinator = 0; coordinator < COORDINATORS; coordinator++) {
            decide(coordinator, new DispatchEvent.Ticked());
        }
    }

    void deliverAll() {
        for (Channel[] ofCoordinator : channels) {
            for (Channel channel : ofCoordinator) {
                while (!channel.silent && deliverOne(channel)) {
                    // Frames may cause others; all of them arrive.
                }
            }
        }
    }

    void deliverOne(int pick) {
        Channel channel = channel(pick);
        if (!channel.silent) {
            deliverOne(channel);
        }
    }

    /** A frame held up in a connection that was given up arrives after all. */
    void deliverOld(int pick) {
        if (!oldChannels.isEmpty()) {
            deliverOne(oldChannels.get(pick % oldChannels.size()));
        }
    }

    void lose(int pick) {
        Channel channel = channel(pick);
        if (channel.toAgent.pollFirst() == null) {
            channel.toCoordinator.pollFirst();
        }
    }

    /** The last frame to a coordinator arrives twice, the second time as if from another agent. */
    void cross(int pick) {
        Channel channel = channel(pick);
        if (!channel.toCoordinator.isEmpty()) {
            AgentId other = agents.get((pick + 1) % AGENTS).id;
            decide(channel.coordinator, new DispatchEvent.FrameReceived(other, channel.toCoordinator.peekLast()));
            channel.toCoordinator.addLast(channel.toCoordinator.peekLast());
        }
    }

    void finish(int pick, TaskStatus status) {
        List<ModelAgent.Run> running = new ArrayList<>();
        for (ModelAgent agent : agents) {
            agent.runs.stream().filter(ModelAgent.Run::runsNow).forEach(running::add);
        }
        if (!running.isEmpty()) {
            ModelAgent.Run run = running.get(pick % running.size());
            send(run.agent, run.agent.finish(run, status, now));
            record(run.agent);
        }
    }

    void silence(int pick, boolean noticed) {
        Channel channel = channel(pick);
        channel.silent = true;
        if (noticed) {
            decide(channel.coordinator, new DispatchEvent.AgentUnreachable(channel.agent.id));
        }
    }

    void reconnect(int pick) {
        Channel channel = channel(pick);
        if (channel.silent) {
            decide(channel.coordinator, new DispatchEvent.AgentUnreachable(channel.agent.id));
            oldChannels.add(channel);
            connect(channel.coordinator, pick / COORDINATORS % AGENTS);
        }
    }

    void crash(int pick) {
        int position = pick % AGENTS;
        ModelAgent dead = agents.get(position);
        dead.runs.stream().filter(ModelAgent.Run::runsNow).forEach(run -> run.status = TaskStatus.TASK_STATUS_UNKNOWN);
        oldChannels.forEach(channel -> dropFramesTo(channel, dead));
        agents.set(position, newIncarnation(position));
        for (int coordinator = 0; coordinator < COORDINATORS; coordinator++) {
            dropFramesTo(channels[coordinator][position], dead);
            oldChannels.add(channels[coordinator][position]);
            decide(coordinator, new DispatchEvent.AgentGone(dead.id));
            connect(coordinator, position);
        }
    }

    private static void dropFramesTo(Channel channel, ModelAgent dead) {
        if (channel.agent == dead) {
            channel.toAgent.clear();
        }
    }

    private void submitTo(Submission submission, long deadlineMillis) {
        ServicePolicy policy = submission.idempotent ? DispatcherDriver.repeatable() : DispatcherDriver.once();
        decide(
                submission.coordinator,
                new DispatchEvent.JobSubmitted(
                        submission.job,
                        DispatcherDriver.tasks(submission.tasks, Duration.ofMillis(deadlineMillis)),
                        policy));
    }

    private ModelAgent newIncarnation(int position) {
        incarnations++;
        return new ModelAgent(new AgentId("agent" + position, "" + incarnations), SLOTS, incarnations * 7_000_000_000L);
    }

    private void connect(int coordinator, int position) {
        Channel channel = new Channel(coordinator, agents.get(position));
        channels[coordinator][position] = channel;
        decide(coordinator, new DispatchEvent.AgentConnected(channel.agent.id, channel.agent.hello(now)));
    }

    private Channel channel(int pick) {
        return channels[pick % COORDINATORS][pick / COORDINATORS % AGENTS];
    }

    private boolean deliverOne(Channel channel) {
        Frame toCoordinator = channel.toCoordinator.pollFirst();
        if (toCoordinator != null) {
            decide(channel.coordinator, new DispatchEvent.FrameReceived(channel.agent.id, toCoordinator));
            return true;
        }
        Frame toAgent = channel.toAgent.pollFirst();
        if (toAgent == null) {
            return false;
        }
        send(channel.agent, channel.agent.receive(channel.coordinator, toAgent, now));
        record(channel.agent);
        return true;
    }

    private void send(ModelAgent from, List<ModelAgent.Reply> replies) {
        record(from);
        for (ModelAgent.Reply reply : replies) {
            for (Channel channel : channels[reply.coordinator()]) {
                if (channel.agent == from) {
                    channel.toCoordinator.addLast(reply.frame());
                }
            }
        }
    }

    /** Notes what began at an agent, and what ran twice at once. */
    private void record(ModelAgent agent) {
        for (ModelAgent.Run run : agent.runs) {
            if (starts.contains(run)) {
                continue;
            }
            for (ModelAgent.Run other : starts) {
                if (other.task().equals(run.task()) && other.runsNow()) {
                    violations.add(run.start.getAttemptId() + " began while " + other.start.getAttemptId() + " ran");
                }
            }
            starts.add(run);
        }
    }

    private void decide(int coordinator, DispatchEvent event) {
        for (DispatchEffect effect : dispatchers.get(coordinator).handle(event, now)) {
            switch (effect) {
                case DispatchEffect.SendFrame send -> sendFrame(coordinator, send);
                case DispatchEffect.JobFinished finished -> noteOutcome(coordinator, finished);
                case DispatchEffect.WriteLine line -> {
                    // Read by people only.
                }
                case DispatchEffect.CountWaste waste -> {
                    // Counted elsewhere.
                }
            }
        }
    }

    private void sendFrame(int coordinator, DispatchEffect.SendFrame send) {
        if (send.frame().hasStart() && !lease[coordinator]) {
            violations.add("start without lease: " + send.frame().getStart().getAttemptId());
        }
        for (Channel channel : channels[coordinator]) {
            if (channel != null && channel.agent.id.equals(send.agent())) {
                channel.toAgent.addLast(send.frame());
            }
        }
    }

    private void noteOutcome(int coordinator, DispatchEffect.JobFinished finished) {
        Submission served = null;
        for (Submission submission : submissions) {
            if (submission.coordinator == coordinator && submission.job.equals(finished.job())) {
                served = submission;
            }
        }
        served.outcomes.add(finished.outcome());
    }

    /** Starts of each task, over all agents and incarnations. */
    Map<String, Integer> startsByTask() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (ModelAgent.Run run : starts) {
            counts.merge(run.task(), 1, Integer::sum);
        }
        return counts;
    }
}
