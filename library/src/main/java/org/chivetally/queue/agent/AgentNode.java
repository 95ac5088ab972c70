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
 * An agent among its entries: takes starts from the owners of partitions, refuses those of owners that were replaced,
 * and tells owners what became of their runs.
 */
public final class AgentNode implements LinkListener, SupervisorListener {
    /**
     * Interval of heartbeats, and of all else that is looked at regularly: on half a core, wake-ups are most of what an
     * idle agent costs. Three fit into the silence after which runs are stopped, six into that which closes a link.
     */
    static final Duration BEAT_INTERVAL = Duration.ofMillis(250);

    /**
     * The same while nothing runs, waits or is still to be told. Entries answer each heartbeat, so two in each
     * direction fit into the silence of 1.5 s that closes a link, and one of them may come late.
     */
    static final Duration IDLE_BEAT_INTERVAL = Duration.ofMillis(700);

    /** Time without work after which an agent counts as idle: under load the next start comes long before. */
    static final Duration IDLE_AFTER = Duration.ofSeconds(2);

    /** Pause before a changed room is told, so that a burst of ends makes one frame to each entry. */
    static final Duration REPORT_PAUSE = Duration.ofMillis(10);

    /**
     * Entries up to which the pause is enough. With more it grows with them, so that an agent sends no more than 300
     * reports a second: 60 agents under full load would else take half a small entry's processor for these alone.
     */
    static final int ENTRIES_PER_PAUSE = 3;

    /**
     * Reports a second that all agents together send to one entry between their heartbeats. Without a bound they grow
     * with the agents, until a small entry has no time left to place anything; with so many agents, it hears of free
     * room often enough as it is.
     */
    static final int REPORTS_PER_SECOND = 800;

    /** Heartbeats after which ends that nobody has stored are told again, for an owner that was not ready for them. */
    static final int BEATS_PER_REPEAT = 2;

    /**
     * Part of the capacity under which a change of the free room is told at once. Above it no entry waits for room, and
     * the next heartbeat is soon enough, and each change told costs every entry a frame.
     */
    static final int SCARCE_PART = 4;

    /** How often an agent without any link looks for entries: all that it knew may be gone. */
    static final Duration SEARCH_INTERVAL = Duration.ofMillis(1_000);

    /** Refusal of a start in an evacuated failure domain. */
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
    private final Set<PeerLink> owedInventory = new HashSet<>();
    private final WaitingStarts waitingStarts = new WaitingStarts();
    private Evacuations evacuations = Evacuations.UNKNOWN;
    private long beats;
    private Timers.Timer nextBeat;
    private long nextBeatNanos;
    private long busyAtNanos;
    private long aloneSinceNanos;
    /** Agents that the entry heard last is linked to. */
    private int agents;

    private boolean reportArmed;
    private boolean reportedAccepting;
    private boolean reportedScarce;
    private Runnable minionListener = () -> {};
    private Runnable search = () -> {};

    /** Creates an agent that dials nobody yet. */
    public AgentNode(Peer self, Timers timers, Dialer dialer, MinionPort minion, int partitions) {
        this.self = self;
        this.timers = timers;
        this.partitions = partitions;
        this.links = new LinkTable(self, timers, dialer, this);
        this.timing = new TimingMinionPort(minion, timers);
        this.supervisor = new RunSupervisor(timers, timing, this, partitions);
        this.owners = new RunOwners(timers, links);
        this.busyAtNanos = timers.nanos();
        this.aloneSinceNanos = timers.nanos();
        armBeat(BEAT_INTERVAL);
    }

    /** Returns what keeps the minion's runs. */
    public RunSupervisor supervisor() {
        return supervisor;
    }

    /** Returns how long the minion's runs last compared with their estimates, as far as learned. */
    public LearnedStretch stretch() {
        return timing.stretch();
    }

    /** Names who is told when the minion has changed. */
    public void whenMinionChanges(Runnable listener) {
        minionListener = listener;
    }

    /** Names who looks for entries; called every {@link #SEARCH_INTERVAL} while there is no link to any. */
    public void whenAlone(Runnable listener) {
        search = listener;
    }

    /** Returns the links. */
    public LinkTable links() {
        return links;
    }

    /** Returns who is told about connections that others open. */
    public FrameListener acceptor() {
        return links.acceptor();
    }

    /** Dials an entry from now on. */
    public void meet(Peer entry) {
        if (!entry.agent() && !entry.process().equals(self.process())) {
            links.dial(entry);
        }
    }

    @Override
    public void up(PeerLink link) {
        startsSeen.put(link, 0L);
        owedInventory.add(link);
        beatSoon();
        sendInventories();
    }

    @Override
    public void down(PeerLink link, String reason) {
        // Nobody follows them any more; the entry finds them in no inventory and starts them elsewhere.
        waitingStarts.removeIf(waiting -> waiting.link() == link);
        startsSeen.remove(link);
        owedInventory.remove(link);
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENTRY_BEAT -> entryBeat(link, frame.getEntryBeat());
            case BEAT_ECHO ->
                link.recordStamps(link.peerStampNanos(), frame.getBeatEcho().getEchoNanos());
            case RUN_START -> runStart(link, frame.getRunStart());
            case RUN_STOP -> runStop(frame.getRunStop());
            case ENDS_KEPT -> endsKept(frame.getEndsKept());
            default ->
                EventLine.of("frame-unexpected")
                        .with("peer", link.peer().process())
                        .with("body", frame.getBodyCase())
                        .log(LOGGER.atWarning());
        }
    }

    private void entryBeat(PeerLink link, EntryBeat beat) {
        link.recordStamps(beat.getStampNanos(), beat.getEchoNanos());
        agents = beat.getAgents();
        evacuations(JobCodec.decode(beat.getEvacuations()));
        boolean raised = false;
        for (OwnedPartition owned : beat.getOwnedList()) {
            raised |= owners.raise(owned.getPartition(), owned.getEpoch(), link);
        }
        if (raised) {
            beatSoon();
            owedInventory.add(link);
            sendInventories();
        }
        for (EntryAddress entry : beat.getEntriesList()) {
            meet(new Peer(entry.getProcess(), entry.getIncarnation(), false, "", entry.getHost(), entry.getPort()));
        }
    }

    /** Goes by the newest evacuations that any entry has read; what runs here ends by itself. */
    private void evacuations(Evacuations told) {
        boolean before = isEvacuated();
        evacuations = evacuations.newerOf(told);
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
        sendBeats();
    }

    private boolean isEvacuated() {
        return evacuations.includes(self.failureDomain());
    }

    private boolean isAccepting() {
        return supervisor.isAccepting() && !isEvacuated();
    }

    private void runStart(PeerLink link, RunStart start) {
        beatSoon();
        startsSeen.computeIfPresent(link, (same, seen) -> Math.max(seen, start.getNumber()));
        Optional<TaskKey> task = TaskKey.parse(start.getTask());
        if (task.isEmpty()) {
            refuse(link, start, "no such task name");
            return;
        }
        RunKey run = new RunKey(task.get(), start.getRun());
        Optional<String> refusal = begin(link, start, run);
        if (refusal.isEmpty()) {
            return;
        }
        boolean waits = RunSupervisor.NO_ROOM.equals(refusal.get()) && waitsForRoom(link, start, run);
        if (!waits) {
            refuse(link, start, refusal.get());
        }
    }

    /** Starts a run; returns why not, if it isn't. */
    private Optional<String> begin(PeerLink link, RunStart start, RunKey run) {
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
            timing.forget(run);
        }
        return refusal;
    }

    /** Lets a start wait for room; tells whether there was a place for it. */
    private boolean waitsForRoom(PeerLink link, RunStart start, RunKey run) {
        Optional<WaitingStarts.Waiting> waiting = waitingStarts.add(link, start, run);
        waiting.ifPresent(added ->
                timers.after(WaitingStarts.PATIENCE, () -> refuseWaiting(RunSupervisor.NO_ROOM, added::equals)));
        return waiting.isPresent();
    }

    private void refuseWaiting(String reason, Predicate<WaitingStarts.Waiting> condition) {
        for (WaitingStarts.Waiting start : waitingStarts.removeIf(condition)) {
            refuse(start.link(), start.start(), reason);
        }
    }

    private void beginWaiting() {
        Optional<WaitingStarts.Waiting> next = waitingStarts.pollFitting(supervisor.free());
        while (next.isPresent()) {
            WaitingStarts.Waiting start = next.get();
            begin(start.link(), start.start(), start.run())
                    .ifPresent(reason -> refuse(start.link(), start.start(), reason));
            next = waitingStarts.pollFitting(supervisor.free());
        }
    }

    private Optional<String> refusal(PeerLink link, RunStart start) {
        owners.lookForSuspension();
        if (isEvacuated()) {
            // An entry that is cut off from the log does not know of it, and would go on sending.
            return Optional.of(EVACUATED);
        }
        if (isFenced(start)) {
            return Optional.of("fenced by epoch " + owners.epoch(start.getPartition()));
        }
        long sentNanos = start.getEchoNanos() + start.getStampAgeNanos();
        if (!owners.isValid(start.getEchoNanos(), start.getStampAgeNanos())) {
            return Optional.of("stale by " + (timers.nanos() - sentNanos) / 1_000_000 + " ms");
        }
        // A start proves that its owner has heard the agent, also before the first echo has come.
        // Without that, the lease is held back, and the first starts after a loss of all power are refused.
        link.recordEcho(sentNanos);
        if (!start.getUnkept()) {
            owners.raise(start.getPartition(), start.getEpoch(), link);
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

    private void runStop(RunStop stop) {
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

    private void endsKept(EndsKept kept) {
        supervisor.kept(kept.getMinion(), kept.getSequencesList());
    }

    @Override
    public boolean mayRenew(Set<RunOwner> following) {
        return owners.mayRenew(following);
    }

    @Override
    public void ended(List<OwnedEnd> ends) {
        beatSoon();
        tellOwners(ends);
    }

    private void tellOwners(List<OwnedEnd> ends) {
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
        boolean wasScarce = reportedScarce;
        beginWaiting();
        if (shrunk) {
            // They would wait for ends that give the room of other starts back, and have a better chance elsewhere.
            refuseWaiting(RunSupervisor.NO_ROOM, waiting -> true);
        }
        if (shrunk || wasScarce) {
            sendBeats();
        }
    }

    @Override
    public void roomChanged() {
        beginWaiting();
        boolean accepting = isAccepting();
        if (accepting == reportedAccepting && !isScarce()) {
            return;
        }
        if (!reportArmed) {
            reportArmed = true;
            timers.after(reportPause(), () -> {
                reportArmed = false;
                sendBeats();
            });
        }
    }

    private Duration reportPause() {
        int entries = Math.max(ENTRIES_PER_PAUSE, links.size());
        Duration byEntries = REPORT_PAUSE.multipliedBy(entries).dividedBy(ENTRIES_PER_PAUSE);
        Duration byAgents = Duration.ofSeconds(agents).dividedBy(REPORTS_PER_SECOND);
        return byAgents.compareTo(byEntries) > 0 ? byAgents : byEntries;
    }

    private boolean isScarce() {
        Room capacity = supervisor.minion().map(MinionState::capacity).orElse(Room.NONE);
        Room free = supervisor.free();
        return SCARCE_PART * free.processorMillis() < capacity.processorMillis()
                || SCARCE_PART * free.memoryMegabytes() < capacity.memoryMegabytes()
                || SCARCE_PART * free.accelerators() < capacity.accelerators();
    }

    private boolean isIdle() {
        return supervisor.isIdle() && waitingStarts.isEmpty() && owedInventory.isEmpty();
    }

    /** Goes over to the full rate of heartbeats, unless the next one is due within its interval anyway. */
    private void beatSoon() {
        busyAtNanos = timers.nanos();
        if (nextBeatNanos - busyAtNanos > BEAT_INTERVAL.toNanos()) {
            nextBeat.cancel();
            armBeat(BEAT_INTERVAL);
        }
    }

    private void armBeat(Duration delay) {
        nextBeatNanos = timers.nanos() + delay.toNanos();
        nextBeat = timers.after(delay, this::beat);
    }

    private Duration untilNextBeat() {
        long now = timers.nanos();
        if (!isIdle()) {
            busyAtNanos = now;
        }
        if (now - busyAtNanos < IDLE_AFTER.toNanos() || links.size() == 0) {
            return BEAT_INTERVAL;
        }
        Duration silent = links.untilNextSilenceTimeout();
        return silent.compareTo(IDLE_BEAT_INTERVAL) < 0 ? silent : IDLE_BEAT_INTERVAL;
    }

    private void beat() {
        try {
            lookAround();
        } finally {
            // Also after an exception, which must not end the heartbeats.
            armBeat(untilNextBeat());
        }
    }

    private void lookAround() {
        beats++;
        long now = timers.nanos();
        if (links.size() > 0) {
            aloneSinceNanos = now;
        } else if (now - aloneSinceNanos >= SEARCH_INTERVAL.toNanos()) {
            aloneSinceNanos = now;
            search.run();
        }
        links.closeSilentLinks();
        owners.silent(supervisor.owners()).forEach(supervisor::stopAll);
        if (beats % BEATS_PER_REPEAT == 0) {
            tellOwners(supervisor.openEnds());
        }
        sendInventories();
        sendBeats();
    }

    private void sendBeats() {
        reportedAccepting = isAccepting();
        reportedScarce = isScarce();
        WorkerReport report = report().build();
        for (PeerLink link : links.links()) {
            long seen = startsSeen.getOrDefault(link, 0L);
            if (seen != report.getStartsSeen()) {
                report = report.toBuilder().setStartsSeen(seen).build();
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
        if (!supervisor.isComplete()) {
            return;
        }
        for (PeerLink link : owedInventory) {
            // An inventory says that what it doesn't list never runs, so nothing may wait beside it.
            refuseWaiting("inventory", waiting -> waiting.link() == link);
            link.send(inventory(link));
        }
        owedInventory.clear();
    }

    private Frame inventory(PeerLink link) {
        RunInventory.Builder inventory =
                RunInventory.newBuilder().setStampNanos(timers.nanos()).setReport(report(link));
        supervisor.runs().forEach((run, owner) -> {
            boolean unkept = owner instanceof RunOwner.Entry;
            if (!unkept || owner.equals(RunOwner.Entry.at(link.peer()))) {
                inventory.addRuns(HeldRun.newBuilder()
                        .setTask(run.task().toString())
                        .setRun(run.run())
                        .setUnkept(unkept));
            }
        });
        for (OwnedEnd end : supervisor.openEnds()) {
            inventory.addEnds(EndCodec.encode(end.end()));
        }
        owners.addFences(inventory);
        return Frame.newBuilder().setRunInventory(inventory).build();
    }

    private WorkerReport report(PeerLink link) {
        return report().setStartsSeen(startsSeen.getOrDefault(link, 0L)).build();
    }

    /** Returns what all entries are told, without what each of them has sent. */
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
                        .setFree(JobCodec.encode(clamped(supervisor.free().minus(waitingStarts.room()))))
                        .addAllLabels(minion.labels()));
        return report;
    }

    private static Room clamped(Room free) {
        return new Room(
                Math.max(0, free.processorMillis()),
                Math.max(0, free.memoryMegabytes()),
                Math.max(0, free.accelerators()));
    }
}
