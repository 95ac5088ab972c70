package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Evacuations;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.link.Dialer;
import org.chivetally.queue.link.LinkListener;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.queue.speed.LearnedStretch;
import org.chivetally.time.Timers;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.AgentBeat;
import org.chivetally.wire.v1.EndsKept;
import org.chivetally.wire.v1.EntryAddress;
import org.chivetally.wire.v1.EntryBeat;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.HeldRun;
import org.chivetally.wire.v1.OwnedPartition;
import org.chivetally.wire.v1.RunEnds;
import org.chivetally.wire.v1.RunInventory;
import org.chivetally.wire.v1.RunRefused;
import org.chivetally.wire.v1.RunStart;
import org.chivetally.wire.v1.RunStop;
import org.chivetally.wire.v1.WorkerReport;

/**
 * Connects an agent with the entries. It accepts starts from the owners of jobs, refuses those of partition owners that
 * have been replaced, and reports to owners how their runs ended.
 */
public final class AgentNode implements LinkListener, SupervisorListener {
    /**
     * Interval of heartbeats and of all periodic work; on half a core, wake-ups are most of the cost of an idle agent.
     * Three heartbeats fit into the timeout after which runs are stopped, six into the one after which a link is
     * closed.
     */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);

    /**
     * Interval of heartbeats while no run, unstored end, waiting start or unsent inventory is left. Entries answer each
     * heartbeat, so two in each direction fit into the 1.5 s of silence after which a link is closed, and one of them
     * may be late.
     */
    static final Duration IDLE_HEARTBEAT_INTERVAL = Duration.ofMillis(700);

    /** Time without work after which an agent counts as idle. Under load, the next start arrives long before. */
    static final Duration IDLE_AFTER = Duration.ofSeconds(2);

    /**
     * Delay before a change of the free resources is reported, so that a burst of ends causes one frame to each entry.
     */
    static final Duration REPORT_DELAY = Duration.ofMillis(10);

    /**
     * Number of entries up to which {@link #REPORT_DELAY} applies. With more entries the delay grows in proportion, so
     * that an agent sends at most 300 reports a second: 60 agents under full load would otherwise use half of a small
     * entry's processor for reports alone.
     */
    static final int ENTRIES_PER_REPORT_DELAY = 3;

    /**
     * Maximum number of reports a second that all agents together send to one entry between their heartbeats. Without
     * this bound the number grows with that of the agents until a small entry has no time left for placement. With so
     * many agents, an entry still learns of free resources often enough.
     */
    static final int MAXIMUM_REPORTS_PER_SECOND = 800;

    /**
     * Number of heartbeats after which ends that no owner has stored are reported again, as the owner may not have been
     * ready for them.
     */
    static final int HEARTBEATS_PER_END_RETRY = 2;

    /**
     * Divisor of the capacity that gives the threshold of scarce resources. Below it, each change is reported without
     * waiting for the next heartbeat. Above it no entry waits for free resources, and each report costs every entry a
     * frame.
     */
    static final int SCARCE_ROOM_DIVISOR = 4;

    /** How often an agent without any link searches for entries, as all those it knew may be gone. */
    static final Duration DISCOVERY_INTERVAL = Duration.ofMillis(1_000);

    /** Reason for refusing a start in an evacuated failure domain. */
    static final String EVACUATED = "evacuated";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Peer self;
    private final Timers timers;
    private final int partitions;
    private final LinkTable links;
    private final TimingMinionPort timing;
    private final RunSupervisor supervisor;
    private final RunOwners owners;
    private final Map<PeerLink, Long> startsSeen = new HashMap<>();
    private final Set<PeerLink> awaitingInventory = new HashSet<>();
    private final WaitingStarts waitingStarts = new WaitingStarts();
    private Evacuations evacuations = Evacuations.UNKNOWN;
    private long heartbeats;
    private Timers.Timer nextHeartbeat;
    private long nextHeartbeatNanos;
    private long lastBusyNanos;
    private long disconnectedSinceNanos;
    /** Number of agents linked to the entry whose heartbeat came last. */
    private int agents;

    private boolean reportScheduled;
    private boolean reportedAccepting;
    private boolean reportedRoomScarce;
    private Runnable minionListener = () -> {};
    private Runnable entryDiscovery = () -> {};

    /**
     * Creates an agent that has no links yet.
     *
     * @param self this process as its peers see it
     * @param minion calls to the minion
     * @param partitions number of partitions among which durable jobs are divided
     */
    public AgentNode(Peer self, Timers timers, Dialer dialer, MinionPort minion, int partitions) {
        this.self = self;
        this.timers = timers;
        this.partitions = partitions;
        this.links = new LinkTable(self, timers, dialer, this);
        this.timing = new TimingMinionPort(minion, timers);
        this.supervisor = new RunSupervisor(timers, timing, this, partitions);
        this.owners = new RunOwners(timers, links);
        this.lastBusyNanos = timers.nanos();
        this.disconnectedSinceNanos = timers.nanos();
        scheduleHeartbeat(HEARTBEAT_INTERVAL);
    }

    /** Returns the supervisor of the minion's runs. */
    public RunSupervisor supervisor() {
        return supervisor;
    }

    /** Returns the learned ratio of the durations of the minion's runs to their estimates. */
    public LearnedStretch stretch() {
        return timing.stretch();
    }

    /** Sets the action that runs when the minion was replaced, has departed or is about to leave. */
    public void whenMinionChanges(Runnable listener) {
        minionListener = listener;
    }

    /** Sets the action that searches for entries. It runs every {@link #DISCOVERY_INTERVAL} while no link is up. */
    public void whenDisconnected(Runnable listener) {
        entryDiscovery = listener;
    }

    /** Returns the links to the entries. */
    public LinkTable links() {
        return links;
    }

    /** Returns the listener for connections that other processes open. */
    public FrameListener acceptor() {
        return links.acceptor();
    }

    /** Adds an entry to which the agent keeps a link. Agents and this process itself are ignored. */
    public void addEntry(Peer entry) {
        if (!entry.agent() && !entry.process().equals(self.process())) {
            links.dial(entry);
        }
    }

    @Override
    public void up(PeerLink link) {
        startsSeen.put(link, 0L);
        awaitingInventory.add(link);
        leaveIdleRate();
        sendInventories();
    }

    @Override
    public void down(PeerLink link, String reason) {
        // The entry finds these starts in no inventory and starts their tasks elsewhere.
        waitingStarts.removeIf(waiting -> waiting.link() == link);
        startsSeen.remove(link);
        awaitingInventory.remove(link);
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENTRY_BEAT -> handleHeartbeat(link, frame.getEntryBeat());
            case BEAT_ECHO ->
                link.recordStamps(link.peerStampNanos(), frame.getBeatEcho().getEchoNanos());
            case RUN_START -> handleStart(link, frame.getRunStart());
            case RUN_STOP -> handleStop(frame.getRunStop());
            case ENDS_KEPT -> handleStoredEnds(frame.getEndsKept());
            default ->
                EventLine.of("frame-unexpected")
                        .with("peer", link.peer().process())
                        .with("body", frame.getBodyCase())
                        .log(LOGGER.atWarning());
        }
    }

    private void handleHeartbeat(PeerLink link, EntryBeat beat) {
        owners.recordClaims(link, beat.getOwnedList());
        link.recordStamps(beat.getStampNanos(), beat.getEchoNanos());
        agents = beat.getAgents();
        updateEvacuations(JobCodec.decode(beat.getEvacuations()));
        boolean raised = false;
        for (OwnedPartition owned : beat.getOwnedList()) {
            raised |= owners.raiseEpoch(owned.getPartition(), owned.getEpoch(), link);
        }
        if (raised) {
            leaveIdleRate();
            awaitingInventory.add(link);
            sendInventories();
        }
        for (EntryAddress entry : beat.getEntriesList()) {
            addEntry(new Peer(entry.getProcess(), entry.getIncarnation(), false, "", entry.getHost(), entry.getPort()));
        }
    }

    /** Adopts received evacuations if they are newer than the known ones. Runs in progress continue. */
    private void updateEvacuations(Evacuations received) {
        boolean before = isEvacuated();
        evacuations = evacuations.newerOf(received);
        boolean evacuated = isEvacuated();
        if (evacuated == before) {
            return;
        }
        EventLine.of(evacuated ? "domain-evacuated" : "domain-taken-back")
                .with("failure_domain", self.failureDomain())
                .with("version", evacuations.version())
                .log(LOGGER.atInfo());
        if (evacuated) {
            refuseWaiting(EVACUATED, waiting -> true);
        }
        sendHeartbeats();
    }

    private boolean isEvacuated() {
        return evacuations.includes(self.failureDomain());
    }

    private boolean isAccepting() {
        return supervisor.isAccepting() && !isEvacuated();
    }

    private void handleStart(PeerLink link, RunStart start) {
        leaveIdleRate();
        startsSeen.computeIfPresent(link, (same, number) -> Math.max(number, start.getNumber()));
        Optional<TaskKey> task = TaskKey.parse(start.getTask());
        if (task.isEmpty()) {
            refuse(link, start, "no such task name");
            return;
        }
        RunKey run = new RunKey(task.get(), start.getRun());
        Optional<String> refusal = tryStart(link, start, run);
        if (refusal.isEmpty()) {
            return;
        }
        boolean waits = RunSupervisor.NO_ROOM.equals(refusal.get()) && addWaiting(link, start, run);
        if (!waits) {
            refuse(link, start, refusal.get());
        }
    }

    /** Starts a run. Returns the reason of a refusal; empty if the start was sent to the minion. */
    private Optional<String> tryStart(PeerLink link, RunStart start, RunKey run) {
        Optional<String> refusal = refusal(link, start);
        if (refusal.isEmpty()) {
            timing.expect(run, start.getEstimatedMillis());
            refusal = supervisor.start(
                    run,
                    ownerOf(link, start),
                    JobCodec.decode(start.getRoom()),
                    start.getSuspected(),
                    start.getPayload(),
                    start.getCheckpoint());
        }
        if (refusal.isEmpty()) {
            EventLine.of("run-sent")
                    .with("task", start.getTask())
                    .with("run", start.getRun())
                    .with("epoch", start.getEpoch())
                    .with("owner", link.peer().process())
                    .with("free_millicores", supervisor.free().processorMillis())
                    .log(LOGGER.atInfo());
        } else {
            timing.discard(run);
        }
        return refusal;
    }

    /** Queues a start until resources are free. Returns false if the queue is full. */
    private boolean addWaiting(PeerLink link, RunStart start, RunKey run) {
        Optional<WaitingStarts.WaitingStart> waiting = waitingStarts.add(link, start, run);
        waiting.ifPresent(added ->
                timers.after(WaitingStarts.MAXIMUM_WAIT, () -> refuseWaiting(RunSupervisor.NO_ROOM, added::equals)));
        return waiting.isPresent();
    }

    private void refuseWaiting(String reason, Predicate<WaitingStarts.WaitingStart> condition) {
        for (WaitingStarts.WaitingStart start : waitingStarts.removeIf(condition)) {
            refuse(start.link(), start.start(), reason);
        }
    }

    private void startWaiting() {
        Optional<WaitingStarts.WaitingStart> next = waitingStarts.pollFitting(supervisor.free());
        while (next.isPresent()) {
            WaitingStarts.WaitingStart start = next.get();
            tryStart(start.link(), start.start(), start.run())
                    .ifPresent(reason -> refuse(start.link(), start.start(), reason));
            next = waitingStarts.pollFitting(supervisor.free());
        }
    }

    private Optional<String> refusal(PeerLink link, RunStart start) {
        owners.checkForSuspension();
        if (isEvacuated()) {
            // An entry that is cut off from the log doesn't know of the evacuation and would keep sending starts.
            return Optional.of(EVACUATED);
        }
        if (isFenced(start)) {
            return Optional.of("fenced by epoch " + owners.epoch(start.getPartition()));
        }
        long sentNanos = start.getEchoNanos() + start.getStampAgeNanos();
        if (!owners.isValid(start.getEchoNanos(), start.getStampAgeNanos())) {
            return Optional.of("stale by " + (timers.nanos() - sentNanos) / 1_000_000 + " ms");
        }
        // A start proves that its owner has received a stamp of the agent, even before the owner's first heartbeat.
        // Otherwise the lease isn't extended, and the first starts after a complete power loss are refused.
        link.recordEcho(sentNanos);
        if (!start.getUnkept()) {
            owners.raiseEpoch(start.getPartition(), start.getEpoch(), link);
        }
        return Optional.empty();
    }

    private boolean isFenced(RunStart start) {
        return !start.getUnkept() && owners.isFenced(start.getPartition(), start.getEpoch());
    }

    private static RunOwner ownerOf(PeerLink link, RunStart start) {
        return start.getUnkept() ? RunOwner.Entry.at(link.peer()) : new RunOwner.Partition(start.getPartition());
    }

    private void refuse(PeerLink link, RunStart start, String reason) {
        EventLine.of("run-refused")
                .with("task", start.getTask())
                .with("run", start.getRun())
                .with("owner", link.peer().process())
                .with("reason", reason)
                .log(LOGGER.atInfo());
        RunRefused.Builder refused = RunRefused.newBuilder()
                .setTask(start.getTask())
                .setRun(start.getRun())
                .setReason(reason)
                .setReport(report(link));
        if (isFenced(start)) {
            refused.setFencedBy(owners.epoch(start.getPartition()));
        }
        link.send(Frame.newBuilder().setRunRefused(refused).build());
    }

    private void handleStop(RunStop stop) {
        if (!stop.getUnkept() && owners.isFenced(stop.getPartition(), stop.getEpoch())) {
            return;
        }
        TaskKey.parse(stop.getTask()).ifPresent(task -> {
            RunKey run = new RunKey(task, stop.getRun());
            refuseWaiting("stopped", waiting -> waiting.run().equals(run));
            EventLine.of("run-stop")
                    .with("task", stop.getTask())
                    .with("run", stop.getRun())
                    .log(LOGGER.atInfo());
            supervisor.stop(run);
        });
    }

    private void handleStoredEnds(EndsKept kept) {
        supervisor.markStored(kept.getMinion(), kept.getSequencesList());
    }

    @Override
    public boolean mayRenew(Set<RunOwner> runOwners) {
        return owners.mayRenew(runOwners);
    }

    @Override
    public void ended(List<OwnedEnd> ends) {
        leaveIdleRate();
        reportEnds(ends);
    }

    private void reportEnds(List<OwnedEnd> ends) {
        Map<PeerLink, RunEnds.Builder> frames = new LinkedHashMap<>();
        for (OwnedEnd end : ends) {
            owners.linkTo(end.owner())
                    .ifPresent(link -> frames.computeIfAbsent(link, same -> RunEnds.newBuilder())
                            .addEnds(EndCodec.encode(end.end())));
        }
        frames.forEach((link, frame) -> link.send(
                Frame.newBuilder().setRunEnds(frame.setReport(report(link))).build()));
    }

    @Override
    public void minionChanged() {
        minionListener.run();
    }

    @Override
    public void capacityChanged(boolean shrunk) {
        boolean wasScarce = reportedRoomScarce;
        startWaiting();
        if (shrunk) {
            // The resources that come free first are taken by the runs in excess of the new capacity, so that these
            // starts have a better chance elsewhere.
            refuseWaiting(RunSupervisor.NO_ROOM, waiting -> true);
        }
        if (shrunk || wasScarce) {
            sendHeartbeats();
        }
    }

    @Override
    public void roomChanged() {
        startWaiting();
        boolean accepting = isAccepting();
        if (accepting == reportedAccepting && !isRoomScarce()) {
            return;
        }
        if (!reportScheduled) {
            reportScheduled = true;
            timers.after(reportDelay(), () -> {
                reportScheduled = false;
                sendHeartbeats();
            });
        }
    }

    private Duration reportDelay() {
        int entries = Math.max(ENTRIES_PER_REPORT_DELAY, links.size());
        Duration byEntries = REPORT_DELAY.multipliedBy(entries).dividedBy(ENTRIES_PER_REPORT_DELAY);
        Duration byAgents = Duration.ofSeconds(agents).dividedBy(MAXIMUM_REPORTS_PER_SECOND);
        return byAgents.compareTo(byEntries) > 0 ? byAgents : byEntries;
    }

    private boolean isRoomScarce() {
        Room capacity = supervisor.minion().map(MinionState::capacity).orElse(Room.NONE);
        Room free = supervisor.free();
        return SCARCE_ROOM_DIVISOR * free.processorMillis() < capacity.processorMillis()
                || SCARCE_ROOM_DIVISOR * free.memoryMegabytes() < capacity.memoryMegabytes()
                || SCARCE_ROOM_DIVISOR * free.accelerators() < capacity.accelerators();
    }

    private boolean isIdle() {
        return supervisor.isIdle() && waitingStarts.isEmpty() && awaitingInventory.isEmpty();
    }

    /** Returns to the full heartbeat rate, unless the next heartbeat is due within its interval anyway. */
    private void leaveIdleRate() {
        lastBusyNanos = timers.nanos();
        if (nextHeartbeatNanos - lastBusyNanos > HEARTBEAT_INTERVAL.toNanos()) {
            nextHeartbeat.cancel();
            scheduleHeartbeat(HEARTBEAT_INTERVAL);
        }
    }

    private void scheduleHeartbeat(Duration delay) {
        nextHeartbeatNanos = timers.nanos() + delay.toNanos();
        nextHeartbeat = timers.after(delay, this::heartbeat);
    }

    private Duration heartbeatInterval() {
        long now = timers.nanos();
        if (!isIdle()) {
            lastBusyNanos = now;
        }
        if (now - lastBusyNanos < IDLE_AFTER.toNanos() || links.size() == 0) {
            return HEARTBEAT_INTERVAL;
        }
        Duration silent = links.untilNextSilenceTimeout();
        return silent.compareTo(IDLE_HEARTBEAT_INTERVAL) < 0 ? silent : IDLE_HEARTBEAT_INTERVAL;
    }

    private void heartbeat() {
        try {
            runPeriodicWork();
        } finally {
            // Also after an exception, which must not end the heartbeats.
            scheduleHeartbeat(heartbeatInterval());
        }
    }

    private void runPeriodicWork() {
        heartbeats++;
        long now = timers.nanos();
        if (links.size() > 0) {
            disconnectedSinceNanos = now;
        } else if (now - disconnectedSinceNanos >= DISCOVERY_INTERVAL.toNanos()) {
            disconnectedSinceNanos = now;
            entryDiscovery.run();
        }
        links.closeSilentLinks();
        owners.silentOwners(supervisor.owners()).forEach(supervisor::stopAll);
        if (heartbeats % HEARTBEATS_PER_END_RETRY == 0) {
            reportEnds(supervisor.unstoredEnds());
        }
        sendInventories();
        sendHeartbeats();
    }

    private void sendHeartbeats() {
        reportedAccepting = isAccepting();
        reportedRoomScarce = isRoomScarce();
        WorkerReport report = report().build();
        for (PeerLink link : links.links()) {
            long number = startsSeen.getOrDefault(link, 0L);
            if (number != report.getStartsSeen()) {
                report = report.toBuilder().setStartsSeen(number).build();
            }
            link.send(Frame.newBuilder()
                    .setAgentBeat(AgentBeat.newBuilder()
                            .setStampNanos(timers.nanos())
                            .setEchoNanos(link.peerStampNanos())
                            .setReport(report))
                    .build());
        }
    }

    private void sendInventories() {
        if (!supervisor.isInventoryComplete()) {
            return;
        }
        for (PeerLink link : awaitingInventory) {
            // An inventory asserts that a run that it doesn't list never starts, so no start of this entry may remain
            // queued.
            refuseWaiting("inventory", waiting -> waiting.link() == link);
            link.send(inventory(link));
        }
        awaitingInventory.clear();
    }

    private Frame inventory(PeerLink link) {
        RunInventory.Builder inventory =
                RunInventory.newBuilder().setStampNanos(timers.nanos()).setReport(report(link));
        supervisor.runs().forEach((run, owner) -> {
            boolean inMemory = owner instanceof RunOwner.Entry;
            if (isOwnedThrough(link, owner)) {
                inventory.addRuns(HeldRun.newBuilder()
                        .setTask(run.task().toString())
                        .setRun(run.run())
                        .setUnkept(inMemory));
            }
        });
        for (OwnedEnd end : supervisor.unstoredEnds()) {
            inventory.addEnds(EndCodec.encode(end.end()));
        }
        for (OwnedEnd end : supervisor.suspectedCrashes()) {
            if (isOwnedThrough(link, end.owner())) {
                inventory.addEnds(EndCodec.encode(end.end()));
            }
        }
        owners.addKnownEpochs(inventory);
        return Frame.newBuilder().setRunInventory(inventory).build();
    }

    /** Tells whether the peer of a link is, or may be, the owner of a run. */
    private static boolean isOwnedThrough(PeerLink link, RunOwner owner) {
        return owner instanceof RunOwner.Partition || owner.equals(RunOwner.Entry.at(link.peer()));
    }

    private WorkerReport report(PeerLink link) {
        return report().setStartsSeen(startsSeen.getOrDefault(link, 0L)).build();
    }

    /** Returns a report with the part that is the same for all entries. */
    private WorkerReport.Builder report() {
        LearnedStretch stretch = timing.stretch();
        WorkerReport.Builder report = WorkerReport.newBuilder()
                .setFailureDomain(self.failureDomain())
                .setAccepting(isAccepting())
                .setSuspectedRuns(supervisor.suspected())
                .setStretchPermille(stretch.permille())
                .setStretchRuns(stretch.runs());
        supervisor
                .minion()
                .ifPresent(minion -> report.setMinion(minion.incarnation().name())
                        .setService(minion.service())
                        .setCapacity(JobCodec.encode(minion.capacity()))
                        .setFree(JobCodec.encode(nonNegative(supervisor.free().minus(waitingStarts.room()))))
                        .addAllLabels(minion.labels()));
        return report;
    }

    private static Room nonNegative(Room free) {
        return new Room(
                Math.max(0, free.processorMillis()),
                Math.max(0, free.memoryMegabytes()),
                Math.max(0, free.accelerators()));
    }
}
