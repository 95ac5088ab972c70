package org.chivetally.job;

/**
 * Service and team policies known to this process, as declared by operators. Implementations are thread-safe and
 * non-blocking.
 */
public interface ServicePolicies {
    /** Returns the policy of a service, or {@link ServicePolicy#undeclared} if none is declared. */
    ServicePolicy service(String name);

    /** Returns the policy of a team, or {@link TeamPolicy#undeclared} if none is declared. */
    TeamPolicy team(String name);
}
