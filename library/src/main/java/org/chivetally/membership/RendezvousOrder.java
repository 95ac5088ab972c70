package org.chivetally.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Order of the entries for each agent by rendezvous hashing. All processes that know the same entries compute the same
 * order.
 *
 * <p>An entry that joins or leaves changes the first-ranked entry only of those agents for which it becomes or was the
 * first.
 */
public final class RendezvousOrder {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousOrder() {}

    /**
     * Returns the rank of an entry in an agent's order, from 0. An entry that is not contained in {@code entries} is
     * ranked as if it were.
     *
     * @param entry process id of the entry to rank
     * @param entries process ids of the known entries
     * @param agent process id of the agent
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
        // In FNV-1a, the last characters hardly affect the upper bits, which determine the order. The 64-bit finalizer
        // of MurmurHash3 mixes all bits.
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
