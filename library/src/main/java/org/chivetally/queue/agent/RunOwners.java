package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.queue.link.SuspensionDetector;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.OwnedPartition;
import org.chivetally.wire.v1.RunInventory;

/**
 * Whose runs an agent may keep going: the highest epoch that it has heard of for each partition, and how old each
 * owner's knowledge of this agent is, by the stamps of the agent's own clock that come back.
 */
final class RunOwners {
    /**
     * How old the owner's knowledge of this agent may be before the runs of its kept jobs are stopped. Longer than a
     * failover, which takes about 2.5 s, so that an owner's death does not cost the work in progress. A run that was
     * cancelled while the owner is cut off has to have ended 4.05 s later, and the age is looked at with each
     * heartbeat.
     */
    private static final Duration PARTITION_OWNER_TIMEOUT =
            Duration.ofMillis(4_000).minus(AgentNode.HEARTBEAT_INTERVAL.plusMillis(50));

    /**
     * How old an entry's knowledge of this agent may be before the runs of its unkept jobs are stopped. Their callers
     * send a job again 1.3 s after its entry has failed them; with one heartbeat until it is noticed and 50 ms for a
     * stop, the old runs have ended by then.
     */
    private static final Duration ENTRY_TIMEOUT = Duration.ofMillis(800);

    /** How much longer runs of owners that were not heard are renewed, while they are being stopped. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(350);

    /**
     * How long a start may have been held up on its way to be taken. After a longer time it may have been given up and
     * sent elsewhere.
     */
    private static final Duration MAXIMUM_START_DELAY = Duration.ofMillis(600);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final LinkTable links;
    private final SuspensionDetector suspension;
    private final Map<Integer, PartitionOwner> partitionOwners = new HashMap<>();
    private final Map<RunOwner.Entry, Long> entryEchoes = new HashMap<>();
    private long oldestValidStampNanos;

    /** Creates the owners of an agent that has heard of nobody yet. */
    RunOwners(Timers timers, LinkTable links) {
        this.timers = timers;
        this.links = links;
        this.suspension = new SuspensionDetector(timers);
        this.oldestValidStampNanos = timers.nanos();
    }

    /** Notes an owner's epoch; tells whether it is higher than any before. */
    boolean raiseEpoch(int partition, long epoch, PeerLink owner) {
        PartitionOwner knownOwner = partitionOwners.get(partition);
        if (knownOwner != null && knownOwner.epoch() >= epoch) {
            return false;
        }
        partitionOwners.put(partition, new PartitionOwner(epoch, owner.peer().process()));
        EventLine.of("owner-changed")
                .with("partition", partition)
                .with("epoch", epoch)
                .with("owner", owner.peer().process())
                .log(LOGGER.atInfo());
        return true;
    }

    /** Tells whether the partition has an owner of a higher epoch. */
    boolean isFenced(int partition, long epoch) {
        return epoch(partition) > epoch;
    }

    /** Returns the highest epoch heard of for a partition; 0 for none. */
    long epoch(int partition) {
        PartitionOwner knownOwner = partitionOwners.get(partition);
        return knownOwner == null ? 0 : knownOwner.epoch();
    }

    /** Lists the epochs, for an owner that may have been replaced. */
    void addKnownEpochs(RunInventory.Builder inventory) {
        partitionOwners.forEach((partition, owner) -> inventory.addFenced(
                OwnedPartition.newBuilder().setPartition(partition).setEpoch(owner.epoch())));
    }

    /**
     * Tells whether a start may still be taken. Its stamp and its age together are a time of this agent's clock before
     * which the start was not sent, so the difference to the clock bounds how long it was held up, also when the agent
     * has nothing to do and its last heartbeat is older than the validity.
     *
     * <p>A time in the future means that this clock stood still since the stamp, so it bounds nothing; an age over the
     * silence that closes links comes from a sender that should have closed this one.
     *
     * @param stampNanos newest stamp of this agent that the sender had
     * @param ageNanos least time by which this agent's clock had gone on since, when the start was sent
     */
    boolean isValid(long stampNanos, long ageNanos) {
        if (stampNanos < oldestValidStampNanos || ageNanos < 0 || ageNanos > LinkTable.SILENCE_TIMEOUT.toNanos()) {
            return false;
        }
        long heldUpNanos = timers.nanos() - stampNanos - ageNanos;
        return heldUpNanos >= 0 && heldUpNanos <= MAXIMUM_START_DELAY.toNanos();
    }

    /** Tells whether leases may be extended while runs of these owners are there. */
    boolean mayRenew(Set<RunOwner> owners) {
        checkForSuspension();
        for (RunOwner owner : owners) {
            if (!isFresh(owner, PARTITION_OWNER_TIMEOUT.plus(STOP_MARGIN), ENTRY_TIMEOUT.plus(STOP_MARGIN))) {
                return false;
            }
        }
        return true;
    }

    /** Returns those of the owners of all runs that have been silent so long that their runs are to be stopped. */
    Set<RunOwner> silentOwners(Set<RunOwner> owners) {
        checkForSuspension();
        Set<RunOwner> silent = new HashSet<>();
        for (RunOwner owner : owners) {
            if (!isFresh(owner, PARTITION_OWNER_TIMEOUT, ENTRY_TIMEOUT)) {
                silent.add(owner);
            }
        }
        entryEchoes.keySet().retainAll(owners);
        return silent;
    }

    private boolean isFresh(RunOwner owner, Duration partitionLimit, Duration entryLimit) {
        return switch (owner) {
            case RunOwner.Partition partition -> isEchoedWithin(newestEchoNanos(partition), partitionLimit);
            case RunOwner.Entry entry -> isEchoedWithin(newestEchoNanos(entry), entryLimit);
        };
    }

    private boolean isEchoedWithin(long stampNanos, Duration limit) {
        return stampNanos >= oldestValidStampNanos && timers.nanos() - stampNanos <= limit.toNanos();
    }

    private long newestEchoNanos(RunOwner.Entry entry) {
        linkTo(entry).ifPresent(link -> entryEchoes.merge(entry, link.echoNanos(), Math::max));
        return entryEchoes.getOrDefault(entry, Long.MIN_VALUE);
    }

    private long newestEchoNanos(RunOwner.Partition partition) {
        PartitionOwner owner = partitionOwners.get(partition.number());
        if (owner == null) {
            return Long.MIN_VALUE;
        }
        long newestNanos = owner.echoNanos();
        Optional<PeerLink> link = linkTo(partition);
        if (link.isPresent() && link.get().echoNanos() != 0) {
            newestNanos = Math.max(newestNanos, link.get().echoNanos());
            partitionOwners.put(partition.number(), new PartitionOwner(owner.epoch(), owner.process(), newestNanos));
        }
        return newestNanos;
    }

    /** Takes what came before a suspension for old: it was meant for an agent that may have been given up since. */
    void checkForSuspension() {
        long gap = suspension.check();
        if (gap > 0) {
            oldestValidStampNanos = timers.nanos();
            EventLine.of("suspended").with("gap_ms", gap).log(LOGGER.atWarning());
        }
    }

    /** Returns the link to an owner, if there is one. */
    Optional<PeerLink> linkTo(RunOwner owner) {
        return switch (owner) {
            case RunOwner.Entry entry ->
                links.link(entry.process()).filter(link -> link.peer().incarnation() == entry.incarnation());
            case RunOwner.Partition partition ->
                Optional.ofNullable(partitionOwners.get(partition.number()))
                        .flatMap(known -> links.link(known.process()));
        };
    }

    /** Highest epoch seen of a partition, whose it is, and the newest stamp of ours that the owner has had. */
    private record PartitionOwner(long epoch, String process, long echoNanos) {
        private PartitionOwner(long epoch, String process) {
            this(epoch, process, Long.MIN_VALUE);
        }
    }
}
