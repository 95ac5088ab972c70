package org.chivetally.queue.entry;

import java.util.Optional;
import java.util.function.Consumer;
import org.chivetally.queue.agent.AgentNode;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.queue.link.Peer;

/**
 * The announcement of an agent in the log, with the minion that it has. The agent's next start finds the minion there:
 * nothing lasts on its own machine.
 */
public final class AgentAnnouncement {
    private final MemberDirectory directory;
    private final Peer self;
    private final AgentNode agent;
    private Optional<MinionState> announced = Optional.empty();
    private boolean read;

    /** Creates an announcement that is not in the log yet. */
    public AgentAnnouncement(MemberDirectory directory, Peer self, AgentNode agent) {
        this.directory = directory;
        this.self = self;
        this.agent = agent;
    }

    /**
     * Reads the announcements of all processes, takes up the minion of this agent's last life, and announces the agent.
     *
     * @param met told about each process
     */
    public void start(Consumer<Peer> met) {
        agent.whenMinionChanges(this::minionChanged);
        directory.readOnce(met, () -> {
            directory.minionOf(self.process()).ifPresent(agent.supervisor()::restore);
            announced = agent.supervisor().minion();
            read = true;
            directory.announce(self, announced);
        });
    }

    private void minionChanged() {
        Optional<MinionState> minion = agent.supervisor().minion();
        if (!read || isSame(minion)) {
            return;
        }
        announced = minion;
        directory.announce(self, announced);
    }

    /**
     * Compares what a restart needs to know: not the clock, which goes on all the time, and of the capacity only that
     * no more is announced than there is, so that one that goes up and down is written once.
     */
    private boolean isSame(Optional<MinionState> minion) {
        if (minion.isEmpty() || announced.isEmpty()) {
            return minion.isEmpty() && announced.isEmpty();
        }
        return minion.get().incarnation().equals(announced.get().incarnation())
                && announced.get().capacity().fitsInto(minion.get().capacity())
                && minion.get().leaving() == announced.get().leaving();
    }
}
