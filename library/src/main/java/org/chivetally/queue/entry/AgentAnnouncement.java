package org.chivetally.queue.entry;

import java.util.Optional;
import java.util.function.Consumer;
import org.chivetally.queue.agent.AgentNode;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.queue.link.Peer;

/**
 * Publishes an agent and the state of its minion in the log, so that the agent finds its minion again after a restart.
 * The agent keeps no state on its own machine.
 */
public final class AgentAnnouncement {
    private final MemberDirectory directory;
    private final Peer self;
    private final AgentNode agent;
    private Optional<MinionState> announced = Optional.empty();
    private boolean directoryRead;

    /** Creates an announcement that is not in the log yet. */
    public AgentAnnouncement(MemberDirectory directory, Peer self, AgentNode agent) {
        this.directory = directory;
        this.self = self;
        this.agent = agent;
    }

    /**
     * Reads the announcements of all processes, restores the minion that this agent announced before its restart, and
     * announces the agent.
     *
     * @param listener receives each process that is read from the log
     */
    public void start(Consumer<Peer> listener) {
        agent.whenMinionChanges(this::minionChanged);
        directory.readOnce(listener, () -> {
            directory.minionOf(self.process()).ifPresent(agent.supervisor()::restore);
            announced = agent.supervisor().minion();
            directoryRead = true;
            directory.announce(self, announced);
        });
    }

    private void minionChanged() {
        Optional<MinionState> minion = agent.supervisor().minion();
        if (!directoryRead || isUpToDate(minion)) {
            return;
        }
        announced = minion;
        directory.announce(self, announced);
    }

    /**
     * Compares only what a restart needs. The minion's clock is ignored, since it changes all the time. A capacity that
     * is at least the announced one needs no new record, so that a fluctuating capacity is written only once, at its
     * minimum.
     */
    private boolean isUpToDate(Optional<MinionState> minion) {
        if (minion.isEmpty() || announced.isEmpty()) {
            return minion.isEmpty() && announced.isEmpty();
        }
        return minion.get().incarnation().equals(announced.get().incarnation())
                && announced.get().capacity().fitsInto(minion.get().capacity())
                && minion.get().leaving() == announced.get().leaving();
    }
}
