package org.chivetally.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * An order of the entries for each agent, the same for all that know the same entries.
 *
 * <p>By rendezvous hashing: an entry that comes or goes changes the first place only of the agents whose first it
 * becomes or was.
 */
public final class RendezvousOrder {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousOrder() {}

    /**
     * Returns the place of an entry in an agent's order, from 0; an entry that is not among the given ones counts as if
     * it were.
     */
    public static int rank(String entry, Collection<String> entries, String agent) {
        long entryWeight = weight(entry, agent);
        int rank = 0;
        for (String other : entries) {
            if (!other.equals(entry) && precedes(other, weight(other, agent), entry, entryWeight)) {
                rank++;
            }
        }
        return rank;
    }

    private static boolean precedes(String other, long otherWeight, String entry, long entryWeight) {
        int order = Long.compareUnsigned(otherWeight, entryWeight);
        return order > 0 || order == 0 && other.compareTo(entry) < 0;
    }

    private static long weight(String entry, String agent) {
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : (entry + "\n" + agent).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        // The last characters alone hardly reach the upper bits, which decide the order; the final mix spreads them.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
