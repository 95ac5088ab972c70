package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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
 * The owners of an agent's runs: the highest known epoch of each partition, and how recently each owner was in contact
 * with the agent. That is the age of the latest stamp of the agent's own clock that the owner has echoed.
 */
final class RunOwners {
    /**
     * Age of a partition owner's latest echo after which the runs of its durable jobs are stopped. It exceeds a
     * failover, which takes about 2.5 s, so that the failure of an owner doesn't discard the work in progress. A run
     * that is cancelled while its owner is cut off has to end within 4.05 s, and the age is checked with each
     * heartbeat.
     */
    private static final Duration PARTITION_OWNER_TIMEOUT =
            Duration.ofMillis(4_000).minus(AgentNode.HEARTBEAT_INTERVAL.plusMillis(50));

    /**
     * Age of an entry's latest echo after which the runs of its in-memory jobs are stopped. Callers of a failed entry
     * resubmit a job after 1.3 s. With one heartbeat until the age is checked and 50 ms for a stop, the old runs have
     * ended by then.
     */
    private static final Duration ENTRY_TIMEOUT = Duration.ofMillis(800);

    /** How much longer the lease of runs without contact to their owner is renewed while they are being stopped. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(350);

    /**
     * Longest delay of a start on its way to the agent. After a longer one, its owner may have given up on it and
     * started the task elsewhere.
     */
    private static final Duration MAXIMUM_START_DELAY = Duration.ofMillis(600);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final LinkTable links;
    private final SuspensionDetector suspension;
    private final Map<Integer, PartitionOwner> partitionOwners = new HashMap<>();
    private final Map<RunOwner.Entry, Long> entryEchoes = new HashMap<>();
    private long oldestValidStampNanos;

    /** Creates an instance without any known owner. */
    RunOwners(Timers timers, LinkTable links) {
        this.timers = timers;
        this.links = links;
        this.suspension = new SuspensionDetector(timers);
        this.oldestValidStampNanos = timers.nanos();
    }

    /**
     * Records the epoch of a partition's owner. Returns whether it is higher than the known one. The contact with the
     * previous owner counts until the new one has echoed a stamp.
     */
    boolean raiseEpoch(int partition, long epoch, PeerLink owner) {
        PartitionOwner knownOwner = partitionOwners.get(partition);
        if (knownOwner != null && knownOwner.epoch() >= epoch) {
            return false;
        }
        long newestNanos = newestEchoNanos(new RunOwner.Partition(partition));
        partitionOwners.put(partition, new PartitionOwner(epoch, owner.peer().process(), newestNanos, true));
        EventLine.of("owner-changed")
                .with("partition", partition)
                .with("epoch", epoch)
                .with("owner", owner.peer().process())
                .log(LOGGER.atInfo());
        return true;
    }

    /**
     * Records which partitions an entry claims. Contact with an entry keeps the runs of a partition only while the
     * entry claims it: another owner may have taken them over that the agent can't reach, and start their tasks again.
     */
    void recordClaims(PeerLink entry, List<OwnedPartition> claims) {
        Map<Integer, Long> claimedEpochs = new HashMap<>();
        claims.forEach(claim -> claimedEpochs.put(claim.getPartition(), claim.getEpoch()));
        String process = entry.peer().process();
        partitionOwners.replaceAll((partition, owner) -> owner.process().equals(process)
                ? owner.withClaim(owner.epoch() == claimedEpochs.getOrDefault(partition, 0L))
                : owner);
    }

    /** Tells whether a higher epoch of the partition is known. */
    boolean isFenced(int partition, long epoch) {
        return epoch(partition) > epoch;
    }

    /** Returns the highest known epoch of a partition; 0 for none. */
    long epoch(int partition) {
        PartitionOwner knownOwner = partitionOwners.get(partition);
        return knownOwner == null ? 0 : knownOwner.epoch();
    }

    /** Adds the known epochs to an inventory, so that an owner learns if it was replaced. */
    void addKnownEpochs(RunInventory.Builder inventory) {
        partitionOwners.forEach((partition, owner) -> inventory.addFenced(
                OwnedPartition.newBuilder().setPartition(partition).setEpoch(owner.epoch())));
    }

    /**
     * Tells whether a start may still be accepted. The sum of its stamp and the stamp's age is a time on this agent's
     * clock before which the start was not sent, which bounds the delay of the start. That holds also for an idle
     * agent, whose latest heartbeat may be older than {@link #MAXIMUM_START_DELAY}.
     *
     * <p>A sum in the future means that this clock was suspended after the stamp, so that it bounds nothing. An age
     * above the silence timeout of links comes from a sender that should have closed its link.
     *
     * @param stampNanos latest stamp of this agent that the sender had received, in nanoseconds on this agent's clock
     * @param ageNanos minimum age of that stamp when the start was sent, in nanoseconds
     */
    boolean isValid(long stampNanos, long ageNanos) {
        if (stampNanos < oldestValidStampNanos || ageNanos < 0 || ageNanos > LinkTable.SILENCE_TIMEOUT.toNanos()) {
            return false;
        }
        long delayNanos = timers.nanos() - stampNanos - ageNanos;
        return delayNanos >= 0 && delayNanos <= MAXIMUM_START_DELAY.toNanos();
    }

    /** Tells whether the lease may be extended while runs of these owners are present. */
    boolean mayRenew(Set<RunOwner> owners) {
        checkForSuspension();
        for (RunOwner owner : owners) {
            if (!isFresh(owner, PARTITION_OWNER_TIMEOUT.plus(STOP_MARGIN), ENTRY_TIMEOUT.plus(STOP_MARGIN))) {
                return false;
            }
        }
        return true;
    }

    /** Returns those of the owners of all runs that have been silent for so long that their runs are to be stopped. */
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
        if (owner.claimed() && link.isPresent() && link.get().echoNanos() != 0) {
            newestNanos = Math.max(newestNanos, link.get().echoNanos());
            partitionOwners.put(partition.number(), owner.withEcho(newestNanos));
        }
        return newestNanos;
    }

    /**
     * Rejects what was sent before a suspension: it was meant for an agent whose runs may have been started elsewhere
     * since.
     */
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

    /**
     * The owner of a partition.
     *
     * @param epoch highest known epoch of the partition
     * @param process process of its owner
     * @param echoNanos latest stamp of this agent that an owner has echoed while it claimed the partition
     * @param claimed whether the owner claimed the partition in its latest heartbeat
     */
    private record PartitionOwner(long epoch, String process, long echoNanos, boolean claimed) {
        private PartitionOwner withEcho(long newEchoNanos) {
            return new PartitionOwner(epoch, process, newEchoNanos, claimed);
        }

        private PartitionOwner withClaim(boolean newClaimed) {
            return new PartitionOwner(epoch, process, echoNanos, newClaimed);
        }
    }
}
