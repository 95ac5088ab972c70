package org.chivetally.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.InquiryAnswer;
import org.chivetally.wire.v1.Leaving;
import org.chivetally.wire.v1.Refusal;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Report;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskStatus;

/**
 * The state machine of an agent: decides which starts are admitted, when they run, and where their outcome is sent.
 *
 * <p>It does no input or output and is not thread-safe: it takes events with their time and returns effects. An
 * admitted start ends in exactly one result or refusal. Times are readings of one monotonic clock, in nanoseconds.
 */
public final class AgentState {
    /** Error of the result of an attempt whose lease expired. */
    public static final String LEASE_EXPIRED = "attempt lease over";

    /** Error of the result of an attempt whose actual result was discarded for space. */
    public static final String RESULT_DISCARDED = Attempt.RESULT_DISCARDED;

    private static final RefusalReason ADMITTED = RefusalReason.REFUSAL_REASON_UNSPECIFIED;
    /** Lease of a start that specifies none. */
    private static final long DEFAULT_LEASE_MILLIS = 30_000;
    /** One day; longer queue times and leases of a start are reduced to it. */
    private static final long MAXIMUM_DURATION_MILLIS = 86_400_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AgentSettings settings;
    private final Hello self;
    private final Tickets tickets;
    private final Peers peers = new Peers();
    private final Fences fences = new Fences();
    private final RecentRefusals recentRefusals = new RecentRefusals();
    private final AttemptTable attempts;
    private final MinionView minion;
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private final Map<String, Attempt> running = new LinkedHashMap<>();

    private List<AgentEffect> effects = List.of();
    private long now;
    private long lastReportSequence;
    private AgentConfiguration configuration = AgentConfiguration.NONE;
    private boolean draining;
    private boolean stopped;
    private boolean reportedUnhealthy = true;
    private boolean reportedDraining;
    private long lingerEndNanos;

    /**
     * Creates the state of a newly started process.
     *
     * @param self the agent's Hello message, without a report
     * @param ticketOffset a random number, different for each incarnation of the process
     * @param startNanos current reading of the clock, in nanoseconds
     */
    public AgentState(AgentSettings settings, Hello self, long ticketOffset, long startNanos) {
        AgentLimits limits = settings.limits();
        this.settings = settings;
        this.self = self;
        this.tickets = new Tickets(ticketOffset, startNanos, limits.longestTicketAge());
        this.attempts = new AttemptTable(limits.resultRetention().toNanos(), limits.resultBytes());
        this.minion = new MinionView(limits.failuresUntilUnhealthy());
        this.lingerEndNanos = startNanos;
    }

    /**
     * Applies an event and returns the resulting effects, in order.
     *
     * @param nowNanos current reading of the clock, in nanoseconds
     */
    public List<AgentEffect> apply(AgentEvent event, long nowNanos) {
        now = nowNanos;
        effects = new ArrayList<>(4);
        switch (event) {
            case AgentEvent.StartRequested request -> start(request);
            case AgentEvent.MinionAnswered answered -> minionAnswered(answered);
            case AgentEvent.HeartbeatRequested request -> answerHeartbeat(request);
            case AgentEvent.CancelRequested request -> cancel(request);
            case AgentEvent.InquiryRequested request -> inquire(request);
            case AgentEvent.MinionReported reported ->
                minion.update(reported.state(), runsStartedBy(reported.requestedNanos()));
            case AgentEvent.PeerConnected connected -> sendHello(connected.peer());
            case AgentEvent.PeerIdentified identified -> identify(identified);
            case AgentEvent.PeerDisconnected disconnected -> peers.disconnected(disconnected.peer());
            case AgentEvent.Configured configured -> configure(configured.configuration());
            case AgentEvent.DrainRequested request -> drain(request.reason());
            case AgentEvent.Ticked ticked -> tick();
        }
        updateAfterEvent();
        return effects;
    }

    /** Returns the number of tasks that wait for a slot. */
    public int waitingTasks() {
        return waiting.size();
    }

    /** Returns the number of tasks that run on the minion. */
    public int runningTasks() {
        return running.size();
    }

    /** Returns the size of all retained results, in bytes. */
    public long retainedBytes() {
        return attempts.retainedBytes();
    }

    private void sendHello(PeerId peer) {
        peers.connected(peer);
        Hello hello = self.toBuilder()
                .setReport(report())
                .setConfigurationVersion(configuration.version())
                .build();
        send(peer, Frame.newBuilder().setHello(hello));
        if (draining) {
            send(peer, leavingFrame("draining"));
        }
    }

    private void identify(AgentEvent.PeerIdentified identified) {
        peers.identified(identified.peer(), new Peers.ProcessKey(identified.processId(), identified.incarnation()));
    }

    private void answerHeartbeat(AgentEvent.HeartbeatRequested request) {
        send(
                request.peer(),
                Frame.newBuilder().setRequestId(request.requestId()).setHeartbeat(heartbeat()));
    }

    private Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setAnswer(true)
                .setReport(report())
                .setConfigurationVersion(configuration.version())
                .build();
    }

    // Reports the new version to all entries; an entry without this report would push the same configuration again.
    private void configure(AgentConfiguration next) {
        if (next.version() <= configuration.version()) {
            return;
        }
        boolean wasDraining = isDraining();
        configuration = next;
        if (wasDraining == isDraining()) {
            broadcastHeartbeat();
        }
    }

    private void start(AgentEvent.StartRequested request) {
        Start start = request.start();
        Attempt existing = attempts.find(start.getAttemptId());
        if (existing != null) {
            answerRepeatedAttempt(existing, request);
            return;
        }
        RefusalReason recent = recentRefusals.reason(start.getAttemptId());
        if (recent != ADMITTED) {
            countWaste(AgentEffect.WasteKind.REPEATED_START);
            sendRefusal(request.peer(), request.requestId(), start.getAttemptId(), recent);
            return;
        }
        RefusalReason fenced = fencingRefusal(start);
        if (fenced != ADMITTED) {
            refuse(request, fenced);
            return;
        }
        Attempt sameTask = attempts.find(start.getJobId(), start.getTaskIndex());
        if (sameTask != null && !mayRunAgain(sameTask, start)) {
            answerRepeatedTask(sameTask, request);
            return;
        }
        RefusalReason inadmissible = admissionRefusal(start);
        if (inadmissible != ADMITTED) {
            refuse(request, inadmissible);
            return;
        }
        admit(request);
    }

    /** Answers a repeated start of an attempt: it runs only once, and its result goes to the last requester. */
    private void answerRepeatedAttempt(Attempt existing, AgentEvent.StartRequested request) {
        countWaste(AgentEffect.WasteKind.REPEATED_START);
        existing.redirectTo(request.peer(), peers.process(request.peer()));
        if (existing.ended()) {
            sendResult(request.peer(), request.requestId(), existing.id, existing);
        }
    }

    private RefusalReason fencingRefusal(Start start) {
        if (!tickets.isFresh(start.getTicket(), now)
                || !fences.admitsTicket(start.getJobId(), tickets.position(start.getTicket()))) {
            return RefusalReason.REFUSAL_REASON_STALE_TICKET;
        }
        int lowestGeneration = fences.generation(start.getJobId());
        if (start.getGeneration() < lowestGeneration) {
            return RefusalReason.REFUSAL_REASON_OLD_GENERATION;
        }
        if (start.getGeneration() > Math.max(lowestGeneration, 1)) {
            raiseFence(start.getJobId(), start.getGeneration(), 0);
        }
        return ADMITTED;
    }

    /**
     * Returns whether a task with an earlier admitted attempt may run again.
     *
     * <p>A task that isn't idempotent gets one attempt only, as it would otherwise be executed twice after a lost
     * answer or a takeover. An idempotent task may run again when its last attempt has ended and has no answer to
     * resend.
     */
    private static boolean mayRunAgain(Attempt attempt, Start start) {
        return attempt.idempotent
                && start.getIdempotent()
                && attempt.ended()
                && attempt.status() != TaskStatus.TASK_STATUS_DONE;
    }

    private void answerRepeatedTask(Attempt sameTask, AgentEvent.StartRequested request) {
        if (!sameTask.ended()) {
            refuse(request, RefusalReason.REFUSAL_REASON_ALREADY_STARTED);
            return;
        }
        countWaste(AgentEffect.WasteKind.REPEATED_START);
        sendResult(request.peer(), request.requestId(), request.start().getAttemptId(), sameTask);
    }

    private RefusalReason admissionRefusal(Start start) {
        if (!start.getService().equals(settings.service())) {
            return RefusalReason.REFUSAL_REASON_WRONG_SERVICE;
        }
        if (isDraining()) {
            return RefusalReason.REFUSAL_REASON_DRAINING;
        }
        if (!minion.healthy()) {
            return RefusalReason.REFUSAL_REASON_MINION_DOWN;
        }
        if (!settings.capacity().fits(start)) {
            return RefusalReason.REFUSAL_REASON_TOO_LARGE;
        }
        boolean mustWait = freeSlots() == 0;
        boolean mayWait = start.getQueueMillis() != 0
                && waiting.size() < settings.limits().queueBound();
        if (mustWait && !mayWait) {
            return RefusalReason.REFUSAL_REASON_FULL;
        }
        return ADMITTED;
    }

    private void admit(AgentEvent.StartRequested request) {
        Start start = request.start();
        Attempt attempt =
                new Attempt(start, request.peer(), peers.process(request.peer()), request.requestId(), timesOf(start));
        attempts.add(attempt);
        if (settings.limits().logDecisions()) {
            writeLine(startLine("agent-start", start));
        }
        if (freeSlots() == 0) {
            waiting.add(attempt);
            return;
        }
        run(attempt);
    }

    private Attempt.Times timesOf(Start start) {
        long leaseMillis = start.getLeaseMillis() == 0 ? DEFAULT_LEASE_MILLIS : start.getLeaseMillis();
        return new Attempt.Times(now, now + nanosOf(start.getQueueMillis()), now + nanosOf(leaseMillis));
    }

    private static long nanosOf(long unsignedMilliseconds) {
        boolean tooLong = unsignedMilliseconds < 0 || unsignedMilliseconds > MAXIMUM_DURATION_MILLIS;
        return (tooLong ? MAXIMUM_DURATION_MILLIS : unsignedMilliseconds) * NANOS_PER_MILLI;
    }

    private void run(Attempt attempt) {
        running.put(attempt.id, attempt);
        effects.add(new AgentEffect.RunOnMinion(attempt.id, attempt.jobId, attempt.taskIndex, attempt.begin(now)));
    }

    private void minionAnswered(AgentEvent.MinionAnswered answered) {
        Attempt attempt = running.remove(answered.attemptId());
        if (attempt == null) {
            countWaste(AgentEffect.WasteKind.LATE_ANSWER);
            return;
        }
        if (!(answered.answer() instanceof MinionAnswer.NotSent)) {
            minion.connected();
        }
        switch (answered.answer()) {
            case MinionAnswer.Success success -> end(attempt, TaskStatus.TASK_STATUS_DONE, success.body(), "");
            case MinionAnswer.Failure failure -> end(attempt, TaskStatus.TASK_STATUS_FAILED, "", failure.error());
            case MinionAnswer.Lost lost -> end(attempt, TaskStatus.TASK_STATUS_UNKNOWN, "", lost.reason());
            case MinionAnswer.Declined declined -> declined(attempt);
            case MinionAnswer.NotSent notSent -> notSent(attempt);
        }
    }

    private void declined(Attempt attempt) {
        // The minion runs work that the agent doesn't track. If the slot weren't reserved, each waiting task would be
        // sent and declined in turn.
        minion.addUntrackedRun();
        refuse(attempt, RefusalReason.REFUSAL_REASON_FULL);
    }

    private void notSent(Attempt attempt) {
        minion.connectFailed();
        refuse(attempt, RefusalReason.REFUSAL_REASON_MINION_DOWN);
    }

    private void end(Attempt attempt, TaskStatus status, String body, String error) {
        attempt.end(status, body, error, now);
        lingerEndNanos = now + settings.limits().drainLinger().toNanos();
        if (settings.limits().logDecisions()) {
            writeLine(resultLine(attempt));
        }
        // Before sending the result, so that its report counts the slot as free or taken correctly.
        fillSlots();
        PeerId route = peers.route(attempt.peer(), attempt.process());
        if (route == null) {
            countWaste(AgentEffect.WasteKind.UNDELIVERED);
        } else {
            sendResult(route, attempt.requestId(), attempt.id, attempt);
        }
        attempts.retainResult(attempt);
    }

    private void cancel(AgentEvent.CancelRequested request) {
        Set<String> jobIds = new HashSet<>(request.jobIds());
        Peers.ProcessKey process = peers.process(request.peer());
        // Only starts of the same process: a superseded coordinator must not cancel the tasks of its successor.
        refuseWaiting(
                attempt -> jobIds.contains(attempt.jobId) && attempt.process().equals(process),
                RefusalReason.REFUSAL_REASON_CANCELLED);
    }

    private void inquire(AgentEvent.InquiryRequested request) {
        String jobId = request.inquiry().getJobId();
        int generation = request.inquiry().getGeneration();
        if (generation < fences.generation(jobId)) {
            // No answer: a superseded coordinator would conclude that tasks missing in it will never run, although its
            // successor may start them.
            countWaste(AgentEffect.WasteKind.OLD_INQUIRY);
            return;
        }
        raiseFence(jobId, generation, tickets.lastPosition());
        Peers.ProcessKey process = peers.process(request.peer());
        for (Attempt attempt : attempts.ofJob(jobId)) {
            attempt.redirectTo(request.peer(), process);
        }
        answerInquiry(request, attempts.ofJob(jobId));
    }

    private void raiseFence(String jobId, int generation, long ticketPosition) {
        fences.raise(jobId, generation, ticketPosition, now);
        refuseWaiting(
                attempt -> attempt.jobId.equals(jobId) && attempt.generation < generation,
                RefusalReason.REFUSAL_REASON_OLD_GENERATION);
    }

    /** Returns the number of current runs that had started at a time, which a report requested then must include. */
    private int runsStartedBy(long nanos) {
        int runs = 0;
        for (Attempt attempt : running.values()) {
            runs += attempt.startedBy(nanos) ? 1 : 0;
        }
        return runs;
    }

    /**
     * Answers with all tasks of a job. A result that doesn't fit into the frame is listed as running and follows in a
     * frame of its own.
     */
    private void answerInquiry(AgentEvent.InquiryRequested request, List<Attempt> jobAttempts) {
        InquiryAnswer.Builder answer = InquiryAnswer.newBuilder()
                .setJobId(request.inquiry().getJobId())
                .setReport(report());
        List<Attempt> deferred = new ArrayList<>();
        int bytes = 0;
        for (Attempt attempt : jobAttempts) {
            bytes += attempt.resultBytes();
            if (bytes > AgentLimits.MAXIMUM_ANSWER_BYTES) {
                deferred.add(attempt);
                answer.addTasks(attempt.toTaskState().toBuilder()
                        .setStatus(TaskStatus.TASK_STATUS_RUNNING)
                        .clearBody()
                        .clearError());
                continue;
            }
            answer.addTasks(attempt.toTaskState());
        }
        if (settings.limits().logDecisions()) {
            writeLine(EventLine.of("agent-inquiry")
                    .with("job", request.inquiry().getJobId())
                    .with("generation", request.inquiry().getGeneration())
                    .with("known", jobAttempts.size()));
        }
        send(
                request.peer(),
                Frame.newBuilder().setRequestId(request.requestId()).setInquiryAnswer(answer));
        for (Attempt attempt : deferred) {
            if (attempt.ended()) {
                sendResult(request.peer(), 0, attempt.id, attempt);
            }
        }
    }

    private void drain(String reason) {
        if (draining) {
            return;
        }
        draining = true;
        writeLine(EventLine.of("agent-drain")
                .with("reason", reason)
                .with("queued", waiting.size())
                .with("running", running.size()));
        for (PeerId peer : peers.all()) {
            send(peer, leavingFrame(reason));
        }
    }

    private void tick() {
        AgentLimits limits = settings.limits();
        endExpiredAttempts();
        refuseWaiting(attempt -> !attempt.mayWait(now), RefusalReason.REFUSAL_REASON_EXPIRED);
        attempts.removeExpired(now);
        fences.removeExpired(now, limits.resultRetention().toNanos());
        recentRefusals.removeExpired(now, 2 * limits.longestTicketAge().toNanos());
    }

    private void endExpiredAttempts() {
        List<Attempt> expired = new ArrayList<>(0);
        for (Attempt attempt : running.values()) {
            if (attempt.leaseExpired(now)) {
                expired.add(attempt);
            }
        }
        for (Attempt attempt : expired) {
            running.remove(attempt.id);
            minion.addUntrackedRun();
            effects.add(new AgentEffect.AbandonRun(attempt.id));
            end(attempt, TaskStatus.TASK_STATUS_UNKNOWN, "", LEASE_EXPIRED);
        }
    }

    /** Updates the queue, the slots and the peers to the state after an event. */
    private void updateAfterEvent() {
        if (isDraining()) {
            refuseWaiting(attempt -> true, RefusalReason.REFUSAL_REASON_DRAINING);
        } else if (!minion.healthy()) {
            refuseWaiting(attempt -> true, RefusalReason.REFUSAL_REASON_MINION_DOWN);
        }
        fillSlots();
        broadcastAvailabilityChange();
        boolean idle = running.isEmpty() && now - lingerEndNanos >= 0;
        if (draining && idle && !stopped) {
            stopped = true;
            effects.add(new AgentEffect.ReadyToStop());
        }
    }

    private void fillSlots() {
        if (!accepts()) {
            return;
        }
        while (!waiting.isEmpty() && freeSlots() > 0) {
            Attempt next = waiting.remove();
            if (next.mayWait(now)) {
                run(next);
            } else {
                refuse(next, RefusalReason.REFUSAL_REASON_EXPIRED);
            }
        }
    }

    private void broadcastAvailabilityChange() {
        boolean unhealthy = !minion.healthy();
        boolean nowDraining = isDraining();
        if (unhealthy == reportedUnhealthy && nowDraining == reportedDraining) {
            return;
        }
        reportedUnhealthy = unhealthy;
        reportedDraining = nowDraining;
        writeLine(
                EventLine.of("agent-availability").with("unhealthy", unhealthy).with("draining", nowDraining));
        broadcastHeartbeat();
    }

    private void broadcastHeartbeat() {
        for (PeerId peer : peers.all()) {
            send(peer, Frame.newBuilder().setHeartbeat(heartbeat()));
        }
    }

    private boolean accepts() {
        return minion.healthy() && !isDraining();
    }

    private boolean isDraining() {
        return draining || minion.draining() || configuration.draining();
    }

    private int freeSlots() {
        return Math.max(0, settings.capacity().runnableTasks() - running.size() - minion.untrackedRuns());
    }

    private void refuseWaiting(Predicate<Attempt> condition, RefusalReason reason) {
        if (waiting.isEmpty()) {
            return;
        }
        Iterator<Attempt> oldestFirst = waiting.iterator();
        while (oldestFirst.hasNext()) {
            Attempt attempt = oldestFirst.next();
            if (condition.test(attempt)) {
                oldestFirst.remove();
                refuse(attempt, reason);
            }
        }
    }

    /** Refuses a start that was not admitted. */
    private void refuse(AgentEvent.StartRequested request, RefusalReason reason) {
        Start start = request.start();
        recentRefusals.add(start.getAttemptId(), reason, now);
        if (settings.limits().logDecisions()) {
            writeLine(startLine("agent-refuse", start).with("reason", reason));
        }
        sendRefusal(request.peer(), request.requestId(), start.getAttemptId(), reason);
    }

    /** Refuses an admitted attempt that has not run. */
    private void refuse(Attempt attempt, RefusalReason reason) {
        attempts.remove(attempt);
        recentRefusals.add(attempt.id, reason, now);
        if (settings.limits().logDecisions()) {
            writeLine(attemptLine("agent-refuse", attempt).with("reason", reason));
        }
        PeerId route = peers.route(attempt.peer(), attempt.process());
        if (route == null) {
            countWaste(AgentEffect.WasteKind.UNDELIVERED);
            return;
        }
        sendRefusal(route, attempt.requestId(), attempt.id, reason);
    }

    private void sendRefusal(PeerId peer, long requestId, String attemptId, RefusalReason reason) {
        Refusal refusal = Refusal.newBuilder()
                .setAttemptId(attemptId)
                .setReason(reason)
                .setReport(report())
                .build();
        send(peer, Frame.newBuilder().setRequestId(requestId).setRefusal(refusal));
    }

    private void sendResult(PeerId peer, long requestId, String attemptId, Attempt outcome) {
        Result result = Result.newBuilder()
                .setAttemptId(attemptId)
                .setStatus(outcome.status())
                .setBody(outcome.body())
                .setError(outcome.error())
                .setRunMicros(outcome.runMicros())
                .setQueueMicros(outcome.queueMicros())
                .setReport(report())
                .build();
        send(peer, Frame.newBuilder().setRequestId(requestId).setResult(result));
    }

    private Report report() {
        lastReportSequence++;
        return Report.newBuilder()
                .setTicket(tickets.issue(now))
                .setFreeSlots(accepts() ? freeSlots() : 0)
                .setQueued(waiting.size())
                .setRunning(running.size())
                .setDraining(isDraining())
                .setMinionUnhealthy(!minion.healthy())
                .setSequence(lastReportSequence)
                .build();
    }

    private static Frame.Builder leavingFrame(String reason) {
        return Frame.newBuilder().setLeaving(Leaving.newBuilder().setReason(reason));
    }

    private void send(PeerId peer, Frame.Builder frame) {
        effects.add(new AgentEffect.SendTo(peer, frame.build()));
    }

    private void countWaste(AgentEffect.WasteKind kind) {
        effects.add(new AgentEffect.CountWaste(kind));
    }

    private void writeLine(EventLine line) {
        effects.add(new AgentEffect.WriteLine(line));
    }

    private EventLine startLine(String event, Start start) {
        return EventLine.of(event)
                .with("job", start.getJobId())
                .with("task", start.getTaskIndex())
                .with("attempt", start.getAttemptId())
                .with("generation", start.getGeneration())
                .with("queued", waiting.size())
                .with("running", running.size())
                .with("ticketAgeMillis", tickets.ageMillis(start.getTicket(), now));
    }

    private EventLine attemptLine(String event, Attempt attempt) {
        return EventLine.of(event)
                .with("job", attempt.jobId)
                .with("task", attempt.taskIndex)
                .with("attempt", attempt.id)
                .with("generation", attempt.generation)
                .with("queued", waiting.size())
                .with("running", running.size());
    }

    private EventLine resultLine(Attempt attempt) {
        return attemptLine("agent-result", attempt)
                .with("status", attempt.status())
                .with("runMicros", attempt.runMicros())
                .with("queueMicros", attempt.queueMicros());
    }
}
