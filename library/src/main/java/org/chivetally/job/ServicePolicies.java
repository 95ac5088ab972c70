package org.chivetally.job;

/** What operators have declared, as far as this process knows; safe from any thread and never blocking. */
public interface ServicePolicies {
    /** Returns the policy of a service, or the safe one of a service that nobody declared. */
    ServicePolicy service(String name);

    /** Returns the policy of a team, or that of a team that nobody declared. */
    TeamPolicy team(String name);
}
