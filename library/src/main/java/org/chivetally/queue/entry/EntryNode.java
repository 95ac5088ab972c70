package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Evacuations;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Task;
import org.chivetally.queue.crash.CrashPolicy;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.queue.link.Dialer;
import org.chivetally.queue.link.LinkListener;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.queue.link.StallDetector;
import org.chivetally.queue.link.SuspensionDetector;
import org.chivetally.queue.log.KeyedLog;
import org.chivetally.queue.log.LogStream;
import org.chivetally.queue.log.OwnershipGroup;
import org.chivetally.queue.placement.PlacementPolicy;
import org.chivetally.queue.placement.ServiceDemand;
import org.chivetally.time.Timers;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.BeatEcho;
import org.chivetally.wire.v1.Demand;
import org.chivetally.wire.v1.EntryAddress;
import org.chivetally.wire.v1.EntryBeat;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.OwnedPartition;
import org.chivetally.wire.v1.QueueCount;
import org.chivetally.wire.v1.QueueDemand;

/**
 * An entry and its links to other entries and agents: connects partition ownership, run coordination and the answering
 * of callers.
 */
public final class EntryNode implements LinkListener, PartitionEvents, Ownership.Listener, JobRouter.OwnerDirectory {
    /**
     * Interval of heartbeats to other entries and of all other periodic checks. Six intervals fit into the silence of
     * 1.5 s after which a link is closed.
     */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);

    /**
     * Intervals per heartbeat to other entries while this entry is idle: two such heartbeats fit into the silence after
     * which a link is closed.
     */
    static final int IDLE_TICKS_PER_HEARTBEAT = 3;

    /** Time without work after which an entry counts as idle: under load the next job arrives long before. */
    static final Duration IDLE_AFTER = Duration.ofSeconds(2);

    /**
     * Minimum time between two heartbeats to an agent. They are sent in reply to the agent's own heartbeats, in place
     * of an echo, so that they cause no extra wake-up of either process.
     */
    static final Duration AGENT_HEARTBEAT_INTERVAL = Duration.ofMillis(1_000);

    /**
     * Minimum time between two echoes to an agent with runs of this entry. As agents send heartbeats every 0.25 s, an
     * agent's newest echoed heartbeat is at most 0.5 s old, below the 0.8 s at which the agent stops runs.
     */
    static final Duration ECHO_INTERVAL = Duration.ofMillis(150);

    /**
     * Minimum time between two echoes to other agents, which only keep the link from being closed after 1.5 s of
     * silence. It is shorter than the heartbeat interval of an idle agent, so that each of those heartbeats is
     * answered.
     */
    static final Duration IDLE_ECHO_INTERVAL = Duration.ofMillis(450);

    /** Heartbeat intervals between two purges of ended jobs whose retention time has passed. */
    static final int TICKS_PER_PURGE = 20;

    /** Added to the retention time of ended jobs, as the clocks of instances differ. */
    static final Duration RETENTION_MARGIN = Duration.ofSeconds(10);

    /**
     * Time after the start in which the opening of assigned partitions is delayed. After a power loss of the whole
     * deployment, the first entry in the group is assigned all partitions and returns most of them to the others 0.2 s
     * later.
     */
    static final Duration REBALANCE_WINDOW = Duration.ofMillis(500);

    /**
     * Delay before a partition that was assigned in the {@link #REBALANCE_WINDOW} is opened. Without it, a freshly
     * started entry opened sixteen partitions at once, ten of them in vain as they were then reassigned. This blocked
     * it for 0.5 s, in which no agent could connect.
     */
    static final Duration OPENING_DELAY = Duration.ofMillis(250);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Peer self;
    private final Timers timers;
    private final KeyedLog log;
    private final EntryOptions options;
    private final LinkTable links;
    private final Ownership ownership;
    private final CrashTracker crashes;
    private final RunCoordinator runs;
    private final JobRouter jobRouter;
    private final MemberDirectory directory;
    private final SuspensionDetector suspension;
    private final StallDetector stall;
    private final Map<Integer, PartitionOwner> partitions = new TreeMap<>();
    private final AwaitedAgents awaitedAgents;
    private final Map<Integer, RemoteOwner> remoteOwners = new HashMap<>();
    private final Map<String, Map<String, Long>> remotePending = new HashMap<>();
    private final long startedAtNanos;
    private Evacuations evacuations = Evacuations.UNKNOWN;
    private boolean leaving;
    /** Whether the heartbeats to agents claim this entry's partitions. */
    private boolean claiming;

    private boolean heartbeatsScheduled;
    private long ticks;
    private long busyAtNanos;

    /** Creates an entry that does nothing until {@link #start}. */
    public EntryNode(
            Peer self, Timers timers, Dialer dialer, KeyedLog log, OwnershipGroup group, EntryOptions options) {
        this.self = self;
        this.timers = timers;
        this.log = log;
        this.options = options;
        this.links = new LinkTable(self, timers, dialer, this);
        this.ownership = new Ownership(group, timers, self.process() + "-" + self.incarnation(), this);
        CrashPolicy crashPolicy = new CrashPolicy(options.scheduling().crashLimit());
        this.crashes = new CrashTracker(crashPolicy);
        PlacementPolicy placement = new PlacementPolicy(
                self.failureDomain(),
                new SplittableRandom(self.process().hashCode()),
                options.scheduling().learnedSpeeds(),
                crashPolicy);
        this.jobRouter = new JobRouter(timers, options.partitions(), this);
        this.directory = new MemberDirectory(log, timers, options.memberStream());
        this.suspension = new SuspensionDetector(timers);
        this.stall = new StallDetector(timers);
        this.runs = new RunCoordinator(
                timers,
                placement,
                crashes,
                options.partitions(),
                partitions,
                this::mayStart,
                this::mayReadStaleRequests,
                stall::lastResponsiveNanos,
                options.scheduling());
        this.awaitedAgents = new AwaitedAgents(timers, directory, links, runs::linkedAgents, this::peerDiscovered);
        this.startedAtNanos = timers.nanos();
        this.busyAtNanos = startedAtNanos;
    }

    /** Announces the entry, follows the announcements of other processes and joins the ownership group. */
    public void start() {
        directory.announce(self);
        directory.follow(this::peerDiscovered);
        ownership.start();
        timers.every(HEARTBEAT_INTERVAL, this::tick);
    }

    /** Records that callers can connect from now on. */
    public void endpointOpened() {
        stall.markListening();
    }

    /** Returns the router of callers' requests about durable jobs. */
    public JobRouter jobRouter() {
        return jobRouter;
    }

    /** Returns the jobs that are held in the memory of this entry only. */
    public InMemoryJobs inMemoryJobs() {
        return runs.inMemoryJobs();
    }

    /**
     * Returns the ratio of the task durations on the slowest and the fastest workers; 1 while speeds aren't learned.
     */
    public double speedSpread() {
        return runs.speedSpread();
    }

    /** Returns the number of starts for which the worker was chosen by its learned speed. */
    public long startsBySpeed() {
        return runs.startsBySpeed();
    }

    /** Returns the number of services whose queues demand more than the capacity; 0 unless fair shares are enabled. */
    public int contendedServices() {
        return runs.queueShares().map(QueueShares::contendedServices).orElse(0);
    }

    /**
     * Returns the number of unreachable entries for which capacity stays reserved; 0 unless fair shares are enabled.
     */
    public int unreachableEntries() {
        return runs.queueShares().map(QueueShares::unreachableEntries).orElse(0);
    }

    /** Returns the fair shares of queues; empty unless they are enabled. */
    Optional<QueueShares> queueShares() {
        return runs.queueShares();
    }

    /** Returns the record of minion crashes that were reported to this entry. */
    public CrashTracker crashes() {
        return crashes;
    }

    /** Returns the listener for connections that other processes open. */
    public FrameListener acceptor() {
        return links.acceptor();
    }

    /** Returns whether most partitions have an owner that this entry can reach. */
    public boolean canServe() {
        int reachable = 0;
        for (int partition = 0; partition < options.partitions(); partition++) {
            reachable +=
                    localOwner(partition).isPresent() || linkToOwner(partition).isPresent() ? 1 : 0;
        }
        return 2 * reachable > options.partitions();
    }

    /** Returns the number of accepted jobs of a queue without a started task, over all partitions. */
    public long pending(String queue) {
        long count = localPending().getOrDefault(queue, 0L);
        for (Map<String, Long> counts : remotePending.values()) {
            count += counts.getOrDefault(queue, 0L);
        }
        return count;
    }

    /**
     * Applies the evacuations that operators have requested, and sends them to the agents at once if the set of failure
     * domains has changed.
     */
    public void updateEvacuations(Evacuations latest) {
        Evacuations before = evacuations;
        evacuations = evacuations.newerOf(latest);
        runs.shares().updateEvacuations(evacuations);
        if (!evacuations.failureDomains().equals(before.failureDomains())) {
            EventLine.of("evacuations-read")
                    .with("version", evacuations.version())
                    .with("failure_domains", evacuations.failureDomains())
                    .log(LOGGER.atInfo());
            sendHeartbeats(true);
        }
    }

    /** Hands the partitions over and takes no new ones. Callers are still answered. */
    public void leave(Runnable done) {
        leaving = true;
        ownership.leave(() -> {
            for (PartitionOwner owner : List.copyOf(partitions.values())) {
                lost(owner.partition());
            }
            sendHeartbeats(true);
            done.run();
        });
    }

    private void peerDiscovered(Peer peer) {
        // Of each pair of entries only the one with the greater name dials. If both did, each new connection would
        // replace the other's, again and again.
        boolean dials = !peer.agent() && peer.process().compareTo(self.process()) < 0;
        if (dials) {
            links.dial(peer);
        }
    }

    private boolean mayStart() {
        updateClaims();
        return !mayReadStaleRequests() && ownership.hasConfirmation();
    }

    private boolean mayReadStaleRequests() {
        long gap = suspension.check();
        if (gap > 0) {
            EventLine.of("suspended").with("gap_ms", gap).log(LOGGER.atWarning());
            ownership.invalidateConfirmation();
            stall.markStalled();
        }
        return stall.check();
    }

    // ---- links ----

    @Override
    public void up(PeerLink link) {
        if (link.peer().agent()) {
            runs.up(link);
        } else {
            ownership.join();
            invalidateAgentHeartbeats();
        }
        sendHeartbeat(link, link.peer().agent() ? List.of() : queueDemand());
    }

    /** Makes the reply to each agent's next heartbeat a full heartbeat, which lists the new entry. */
    private void invalidateAgentHeartbeats() {
        for (PeerLink other : links.links()) {
            if (other.peer().agent()) {
                other.makeHeartbeatDue();
            }
        }
    }

    @Override
    public void down(PeerLink link, String reason) {
        if (link.peer().agent()) {
            runs.down(link);
            return;
        }
        remotePending.remove(link.peer().process());
        runs.shares().removeRemoteDemand(link.peer().process());
        jobRouter.linkLost(link.peer().process());
        ownership.join();
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENTRY_BEAT -> receiveEntryHeartbeat(link, frame.getEntryBeat());
            case AGENT_BEAT -> {
                link.recordStamps(
                        frame.getAgentBeat().getStampNanos(),
                        frame.getAgentBeat().getEchoNanos());
                answerHeartbeat(link);
                runs.report(link, frame.getAgentBeat().getReport());
            }
            case RUN_INVENTORY -> {
                link.recordStamps(frame.getRunInventory().getStampNanos(), link.echoNanos());
                runs.reconcile(link, frame.getRunInventory());
            }
            case RUN_ENDS -> {
                runs.report(link, frame.getRunEnds().getReport());
                runs.ends(link, frame.getRunEnds().getEndsList());
            }
            case RUN_REFUSED -> runs.refused(link, frame.getRunRefused());
            case JOB_SUBMISSION, JOB_QUERY, JOB_CANCELLATION -> jobRouter.serve(link, frame);
            case JOB_REPLY -> jobRouter.receiveReply(frame.getRequestId(), frame.getJobReply());
            default ->
                EventLine.of("frame-unexpected")
                        .with("peer", link.peer().process())
                        .with("body", frame.getBodyCase())
                        .log(LOGGER.atWarning());
        }
    }

    /**
     * Echoes an agent's heartbeat, unless a start or a full heartbeat has just done so. If every heartbeat were echoed,
     * echoes would cause half of an idle agent's wake-ups and half of an entry's frames to agents; only an agent with
     * runs of this entry needs them often.
     */
    private void answerHeartbeat(PeerLink link) {
        updateClaims();
        long now = timers.nanos();
        if (link.isHeartbeatDue(now, AGENT_HEARTBEAT_INTERVAL)) {
            sendHeartbeat(link, link.peer().agent() ? List.of() : queueDemand());
            return;
        }
        Duration interval = runs.hasRunsAt(link.peer().process()) ? ECHO_INTERVAL : IDLE_ECHO_INTERVAL;
        if (link.isEchoDue(now, interval)) {
            link.recordEchoSent(now);
            link.send(Frame.newBuilder()
                    .setBeatEcho(BeatEcho.newBuilder().setEchoNanos(link.peerStampNanos()))
                    .build());
        }
    }

    private void receiveEntryHeartbeat(PeerLink link, EntryBeat beat) {
        link.recordStamps(beat.getStampNanos(), beat.getEchoNanos());
        String process = link.peer().process();
        remoteOwners.values().removeIf(owner -> owner.process().equals(process));
        for (OwnedPartition owned : beat.getOwnedList()) {
            updateRemoteOwner(process, owned);
        }
        Map<String, Long> counts = new HashMap<>();
        for (QueueCount count : beat.getPendingList()) {
            counts.put(count.getQueue(), count.getPending());
        }
        remotePending.put(process, counts);
        Map<String, ServiceDemand> demand = new HashMap<>();
        for (Demand reported : beat.getDemandList()) {
            demand.put(
                    reported.getService(), new ServiceDemand(reported.getArrivingMillis(), reported.getWaitingWork()));
        }
        runs.shares().updateRemoteDemand(process, demand);
        if (runs.queueShares().isPresent()) {
            runs.queueShares().get().updateRemoteLoads(process, QueueDemandCodec.decode(beat), beat.getLeaving());
        }
        for (EntryAddress entry : beat.getEntriesList()) {
            peerDiscovered(
                    new Peer(entry.getProcess(), entry.getIncarnation(), false, "", entry.getHost(), entry.getPort()));
        }
        if (beat.getLeaving()) {
            ownership.join();
        }
    }

    private void updateRemoteOwner(String process, OwnedPartition owned) {
        RemoteOwner current = remoteOwners.get(owned.getPartition());
        if (current == null || current.epoch() <= owned.getEpoch()) {
            remoteOwners.put(owned.getPartition(), new RemoteOwner(process, owned.getEpoch()));
        }
        PartitionOwner own = partitions.get(owned.getPartition());
        if (own != null && own.epoch() < owned.getEpoch()) {
            EventLine.of("partition-superseded")
                    .with("partition", own.partition())
                    .with("epoch", own.epoch())
                    .with("owner", process)
                    .with("owner_epoch", owned.getEpoch())
                    .log(LOGGER.atWarning());
            lost(own);
        }
    }

    private void tick() {
        mayStart();
        int entries = 1;
        for (PeerLink link : links.links()) {
            entries += link.peer().agent() ? 0 : 1;
        }
        runs.shares().updateEntryCount(entries);
        awaitedAgents.check(partitions.values());
        runs.sweep();
        links.closeSilentLinks();
        ticks++;
        if (ticks % TICKS_PER_PURGE == 0) {
            purgeEndedJobs();
        }
        if (!isIdle() || ticks % IDLE_TICKS_PER_HEARTBEAT == 0) {
            sendHeartbeats(false);
        }
    }

    /**
     * Claims the partitions towards agents, and starts tasks of durable jobs, only while the log has confirmed the
     * ownership lately. Otherwise, another entry may have taken the partitions over.
     */
    private void updateClaims() {
        boolean mayClaim = ownership.mayClaim();
        if (mayClaim == claiming) {
            return;
        }
        claiming = mayClaim;
        if (!partitions.isEmpty()) {
            EventLine.of(claiming ? "claims-renewed" : "claims-withdrawn")
                    .with("partitions", partitions.size())
                    .log(claiming ? LOGGER.atInfo() : LOGGER.atWarning());
        }
        runs.allowDurableStarts(claiming);
        if (claiming) {
            partitions.values().forEach(PartitionOwner::ownershipConfirmed);
        }
        sendHeartbeats(true);
    }

    private boolean isIdle() {
        long now = timers.nanos();
        if (!runs.isIdle()) {
            busyAtNanos = now;
        }
        return now - busyAtNanos >= IDLE_AFTER.toNanos();
    }

    private void sendHeartbeats(boolean toAgents) {
        List<QueueDemand> queueDemand = queueDemand();
        for (PeerLink link : links.links()) {
            if (toAgents || !link.peer().agent()) {
                sendHeartbeat(link, queueDemand);
            }
        }
    }

    private void sendHeartbeat(PeerLink link, List<QueueDemand> queueDemand) {
        link.recordHeartbeatSent(timers.nanos());
        link.send(buildHeartbeat(link, queueDemand));
    }

    private List<QueueDemand> queueDemand() {
        return runs.queueShares().isEmpty()
                ? List.of()
                : QueueDemandCodec.encode(runs.queueShares().get().ownLoads());
    }

    private Frame buildHeartbeat(PeerLink link, List<QueueDemand> queueDemand) {
        EntryBeat.Builder beat = EntryBeat.newBuilder()
                .setStampNanos(timers.nanos())
                .setEchoNanos(link.peerStampNanos())
                .setLeaving(leaving);
        for (PartitionOwner owner : partitions.values()) {
            if (owner.isReady() && (claiming || !link.peer().agent())) {
                beat.addOwned(OwnedPartition.newBuilder()
                        .setPartition(owner.partition())
                        .setEpoch(owner.epoch())
                        .setReady(true));
            }
        }
        if (link.peer().agent()) {
            addEntries(beat);
            beat.setEvacuations(JobCodec.encode(evacuations));
        } else {
            localPending()
                    .forEach((queue, count) -> beat.addPending(
                            QueueCount.newBuilder().setQueue(queue).setPending(count)));
            runs.shares()
                    .demand()
                    .forEach((service, demand) -> beat.addDemand(Demand.newBuilder()
                            .setService(service)
                            .setArrivingMillis(demand.arrivingMillicores())
                            .setWaitingWork(demand.waitingWork())));
            beat.addAllQueueDemand(queueDemand);
        }
        return Frame.newBuilder().setEntryBeat(beat).build();
    }

    private void addEntries(EntryBeat.Builder beat) {
        beat.addEntries(address(self));
        int agents = 0;
        for (PeerLink other : links.links()) {
            if (other.peer().agent()) {
                agents++;
            } else {
                beat.addEntries(address(other.peer()));
            }
        }
        beat.setAgents(agents);
    }

    private static EntryAddress address(Peer peer) {
        return EntryAddress.newBuilder()
                .setProcess(peer.process())
                .setIncarnation(peer.incarnation())
                .setHost(peer.host())
                .setPort(peer.port())
                .build();
    }

    private Map<String, Long> localPending() {
        Map<String, Long> counts = new HashMap<>();
        for (PartitionOwner owner : partitions.values()) {
            for (Job job : owner.jobs()) {
                if (job.phase() == JobPhase.QUEUED) {
                    counts.merge(job.specification().terms().queue(), 1L, Long::sum);
                }
            }
        }
        return counts;
    }

    private void purgeEndedJobs() {
        Duration retention = options.statusRetention().plus(RETENTION_MARGIN);
        for (PartitionOwner owner : partitions.values()) {
            if (owner.isReady()) {
                owner.purgeEndedBefore(timers.epochMillis() - retention.toMillis());
            }
        }
    }

    // ---- ownership ----

    @Override
    public void gained(int partition, long generation) {
        EventLine.of("partition-gained")
                .with("partition", partition)
                .with("generation", generation)
                .log(LOGGER.atInfo());
        PartitionOwner owner =
                new PartitionOwner(log, timers, new LogStream(options.stream(), partition), generation, crashes, this);
        PartitionOwner before = partitions.put(partition, owner);
        if (before != null) {
            runs.partitionLost(before);
            before.close();
        }
        boolean rebalancing = timers.nanos() - startedAtNanos < REBALANCE_WINDOW.toNanos();
        timers.after(rebalancing ? OPENING_DELAY : Duration.ZERO, owner::open);
    }

    @Override
    public void lost(int partition) {
        PartitionOwner owner = partitions.get(partition);
        if (owner != null) {
            lost(owner);
        }
    }

    @Override
    public void lost(PartitionOwner owner) {
        if (partitions.remove(owner.partition(), owner)) {
            EventLine.of("partition-released")
                    .with("partition", owner.partition())
                    .with("epoch", owner.epoch())
                    .log(LOGGER.atInfo());
            ownership.markLost(owner.partition());
            runs.partitionLost(owner);
            owner.close();
            scheduleHeartbeats();
            // The partition may have been reassigned to this entry already; if so, the next join returns it at once.
            ownership.join();
        }
    }

    /** Sends the heartbeats in which the lost partitions are no longer claimed, once for all that are lost at once. */
    private void scheduleHeartbeats() {
        if (heartbeatsScheduled) {
            return;
        }
        heartbeatsScheduled = true;
        timers.after(Duration.ZERO, () -> {
            heartbeatsScheduled = false;
            sendHeartbeats(true);
        });
    }

    @Override
    public void loaded(PartitionOwner owner) {
        updateClaims();
        sendHeartbeats(true);
        awaitedAgents.partitionLoaded(owner);
    }

    @Override
    public Optional<JobAnswer.Refused> refuse(Job job) {
        return runs.refuse(job);
    }

    @Override
    public boolean mayStartTasks() {
        return claiming;
    }

    @Override
    public void ready(Collection<Task> tasks) {
        runs.ready(List.copyOf(tasks));
    }

    @Override
    public void withdrawn(Task task) {
        runs.withdrawn(task);
    }

    @Override
    public void ended(Job job) {
        runs.ended(job);
    }

    // ---- owner directory ----

    @Override
    public Optional<PartitionOwner> localOwner(int partition) {
        return Optional.ofNullable(partitions.get(partition)).filter(PartitionOwner::isReady);
    }

    @Override
    public Optional<PeerLink> linkToOwner(int partition) {
        return Optional.ofNullable(remoteOwners.get(partition)).flatMap(owner -> links.link(owner.process()));
    }

    @Override
    public boolean mayReportUnknownJob() {
        return ownership.isRecentlyConfirmed();
    }

    /** Another entry that owns a partition. */
    private record RemoteOwner(String process, long epoch) {}
}
