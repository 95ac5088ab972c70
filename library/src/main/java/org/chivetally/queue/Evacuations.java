package org.chivetally.queue;

import java.util.HashSet;
import java.util.Set;

/**
 * Failure domains in which operators want nothing to start, as last read.
 *
 * <p>Entries read them and tell agents, and an agent goes by the newest that any entry has told it. An entry that is
 * cut off from the log would otherwise go on sending tasks into a domain that others know to be evacuated, or would
 * keep a domain closed that was taken back.
 *
 * @param version offset up to which the operators' records were read; 0 before the first reading
 * @param failureDomains the domains
 */
public record Evacuations(long version, Set<String> failureDomains) {
    /** Nothing read yet. */
    public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

    /** Copies the domains. */
    public Evacuations {
        failureDomains = Set.copyOf(failureDomains);
    }

    /**
     * Returns what holds after a record on one domain.
     *
     * @param read offset up to which records were read with it
     * @param evacuated whether the domain is to be left alone from now on
     */
    public Evacuations with(long offset, String failureDomain, boolean evacuated) {
        Set<String> next = new HashSet<>(failureDomains);
        if (evacuated) {
            next.add(failureDomain);
        } else {
            next.remove(failureDomain);
        }
        return new Evacuations(Math.max(version, offset), next);
    }

    /** Returns the same domains, after further records that did not concern them. */
    public Evacuations withVersion(long offset) {
        return new Evacuations(Math.max(version, offset), failureDomains);
    }

    /** Returns the newer of two readings; the one told later if they are of one version. */
    public Evacuations newerOf(Evacuations received) {
        return received.version >= version ? received : this;
    }

    /** Tells whether nothing may start in a failure domain. */
    public boolean includes(String failureDomain) {
        return failureDomains.contains(failureDomain);
    }
}
