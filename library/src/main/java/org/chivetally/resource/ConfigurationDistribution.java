package org.chivetally.resource;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;

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
    private static final long HASH_BASIS = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

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
        Duration turn = delay.multipliedBy(rank(entry, entries, agent));
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

    /**
     * Returns the place of an entry in an agent's order, from 0; an entry that is not in the view counts as if it were.
     */
    public static int rank(String entry, Collection<String> entries, String agent) {
        long own = weight(entry, agent);
        int rank = 0;
        for (String other : entries) {
            if (!other.equals(entry) && isBefore(other, weight(other, agent), entry, own)) {
                rank++;
            }
        }
        return rank;
    }

    private static boolean isBefore(String other, long otherWeight, String entry, long ownWeight) {
        int order = Long.compareUnsigned(otherWeight, ownWeight);
        return order > 0 || order == 0 && other.compareTo(entry) < 0;
    }

    private static long weight(String entry, String agent) {
        long hash = HASH_BASIS;
        for (byte part : (entry + "\n" + agent).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (part & 0xff)) * HASH_PRIME;
        }
        // The last characters alone hardly reach the upper bits, which decide the order; the final mix spreads them.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
