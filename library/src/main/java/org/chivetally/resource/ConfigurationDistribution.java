package org.chivetally.resource;

import java.time.Duration;
import java.util.Collection;
import org.chivetally.membership.RendezvousOrder;

/**
 * Decides which entry pushes the configuration to which agent.
 *
 * <p>All entries learn a new version from the log at about the same time; if each pushed it to each agent, an agent
 * would get it as often as there are entries. Rendezvous hashing gives each agent an order of the entries that all
 * compute alike from the same view: the first pushes at once, the next one only if the agent still lags after a delay,
 * and so on. A wrong view costs a repeated push or a delay, never a missed one, since every connected entry comes to
 * its turn.
 */
public final class ConfigurationDistribution {
    private ConfigurationDistribution() {}

    /** What to do about one peer now. */
    public enum Decision {
        /** Send it a snapshot. */
        PUSH,
        /** It has the same version, or another entry's turn has not passed. */
        WAIT,
        /** It has a newer version: ask it for a snapshot. */
        PULL
    }

    /**
     * Decides about an agent.
     *
     * @param ownVersion version in force here
     * @param agentVersion version that the agent reported last
     * @param sinceChange time since the own version came into force, or since the agent's connection opened if later
     * @param sincePush time since the last push to this agent of the own version; negative when there was none
     * @param delay time that each further entry in the agent's order waits
     */
    public static Decision decideForAgent(
            String entry,
            Collection<String> entries,
            String agent,
            long ownVersion,
            long agentVersion,
            Duration sinceChange,
            Duration sincePush,
            Duration delay) {
        if (agentVersion >= ownVersion) {
            return Decision.WAIT;
        }
        if (!sincePush.isNegative()) {
            // A push lost with its connection is repeated; the agent's next report would have told of it otherwise.
            return sincePush.compareTo(delay.multipliedBy(2)) >= 0 ? Decision.PUSH : Decision.WAIT;
        }
        Duration turn = delay.multipliedBy(RendezvousOrder.rank(entry, entries, agent));
        return sinceChange.compareTo(turn) >= 0 ? Decision.PUSH : Decision.WAIT;
    }

    /**
     * Decides about another entry, which reads the log itself.
     *
     * @param sinceLag time for which the other's reported version has been greater than the own
     * @param delay time that the log is given to bring the version
     */
    public static Decision decideForEntry(long ownVersion, long entryVersion, Duration sinceLag, Duration delay) {
        if (entryVersion <= ownVersion || sinceLag.compareTo(delay) < 0) {
            return Decision.WAIT;
        }
        return Decision.PULL;
    }
}
