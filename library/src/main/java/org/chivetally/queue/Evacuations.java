package org.chivetally.queue;

import java.util.HashSet;
import java.util.Set;

/**
 * The failure domains that operators have evacuated: no task may start in them.
 *
 * <p>Entries read the operators' records from the log and send the result to the agents; each agent uses the highest
 * version that it has received from any entry. Otherwise, an entry without a connection to the log would keep starting
 * tasks in a domain that has been evacuated since, or keep a domain closed whose evacuation has ended.
 *
 * @param version log offset up to which the operators' records have been read; 0 before the first read
 * @param failureDomains names of the evacuated failure domains
 */
public record Evacuations(long version, Set<String> failureDomains) {
    /** The state before the operators' records have been read: no evacuated domain. */
    public static final Evacuations UNKNOWN = new Evacuations(0, Set.of());

    /** Copies the set of domains. */
    public Evacuations {
        failureDomains = Set.copyOf(failureDomains);
    }

    /**
     * Returns the evacuations after a record about one failure domain has been applied.
     *
     * @param offset log offset up to which records have been read, this one included
     * @param failureDomain name of the failure domain
     * @param evacuated whether the domain is evacuated from now on; its evacuation ends otherwise
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

    /**
     * Returns the same domains after further records that did not change them.
     *
     * @param offset log offset up to which records have been read
     */
    public Evacuations withVersion(long offset) {
        return new Evacuations(Math.max(version, offset), failureDomains);
    }

    /** Returns the higher version of this object and the received one; the received one if the versions are equal. */
    public Evacuations newerOf(Evacuations received) {
        return received.version >= version ? received : this;
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean includes(String failureDomain) {
        return failureDomains.contains(failureDomain);
    }
}
