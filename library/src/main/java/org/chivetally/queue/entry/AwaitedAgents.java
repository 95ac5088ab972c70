package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chivetally.queue.link.LinkTable;
import org.chivetally.queue.link.Peer;
import org.chivetally.time.Timers;

/**
 * Determines which agents may hold runs of the partitions that this entry has taken over, and until when their reports
 * are awaited.
 */
final class AwaitedAgents {
    /**
     * Time after a takeover in which agents connect to this entry by themselves, also if they start with it. After it,
     * this entry connects to those that have runs to report: they can't know it if it was added while the other entries
     * couldn't read its announcement. Agents stop their runs 4.7 s after the former owner's last contact with the log.
     */
    static final Duration AGENT_DIAL_DELAY = Duration.ofMillis(1_500);

    /**
     * Time after a takeover of a partition after which the runs of an agent that this entry can't reach count as lost.
     * The agent may be in contact with the former owner, which claims the partition until its last confirmation, from
     * before the takeover, is too old.
     */
    static final Duration TAKEOVER_TIMEOUT =
            RunCoordinator.RUN_LOSS_TIMEOUT.plus(Ownership.CLAIM_VALIDITY).plusMillis(100);

    private final Timers timers;
    private final MemberDirectory directory;
    private final LinkTable links;
    private final Supplier<Set<String>> linkedAgents;
    private final Consumer<Peer> discovered;
    /** Owners of loaded partitions that wait for a listing of the members that begins after the loading. */
    private final List<PartitionOwner> awaitingMembers = new ArrayList<>();

    private boolean listingMembers;

    /**
     * Creates an instance without partitions.
     *
     * @param directory lists the members
     * @param links the links of this entry
     * @param linkedAgents returns the names of all agents with a link
     * @param discovered receives each listed member
     */
    AwaitedAgents(
            Timers timers,
            MemberDirectory directory,
            LinkTable links,
            Supplier<Set<String>> linkedAgents,
            Consumer<Peer> discovered) {
        this.timers = timers;
        this.directory = directory;
        this.links = links;
        this.linkedAgents = linkedAgents;
        this.discovered = discovered;
    }

    /**
     * Lists the members anew, and then sets the agents that the owner of a loaded partition awaits. Agents that aren't
     * known because the members could not be read may hold runs.
     */
    void partitionLoaded(PartitionOwner owner) {
        awaitingMembers.add(owner);
        listMembers();
    }

    private void listMembers() {
        if (listingMembers || awaitingMembers.isEmpty()) {
            return;
        }
        listingMembers = true;
        List<PartitionOwner> owners = List.copyOf(awaitingMembers);
        awaitingMembers.clear();
        directory.readOnce(discovered, () -> {
            listingMembers = false;
            Set<String> agents = knownAgents();
            owners.forEach(owner -> owner.awaitAgents(agents));
            listMembers();
        });
    }

    private Set<String> knownAgents() {
        Set<String> agents = new HashSet<>(linkedAgents.get());
        for (Peer member : directory.members()) {
            if (member.agent()) {
                agents.add(member.process());
            }
        }
        return agents;
    }

    /**
     * Connects to the agents that the owners of partitions await and that have not connected in time, and stops waiting
     * for those that can't be reached once their runs must have ended.
     */
    void check(Collection<PartitionOwner> partitions) {
        long now = timers.nanos();
        Set<String> linked = linkedAgents.get();
        Set<String> toDial = new HashSet<>();
        for (PartitionOwner owner : List.copyOf(partitions)) {
            long waitedNanos = now - owner.openedAtNanos();
            for (String agent :
                    waitedNanos > AGENT_DIAL_DELAY.toNanos() ? owner.unreportedAgents() : Set.<String>of()) {
                if (linked.contains(agent)) {
                    continue;
                }
                if (waitedNanos > TAKEOVER_TIMEOUT.toNanos()) {
                    owner.agentLost(agent);
                } else {
                    toDial.add(agent);
                }
            }
        }
        dial(toDial);
    }

    private void dial(Set<String> agents) {
        if (agents.isEmpty()) {
            return;
        }
        for (Peer member : directory.members()) {
            if (member.agent() && agents.contains(member.process())) {
                links.dialOnce(member);
            }
        }
    }
}
