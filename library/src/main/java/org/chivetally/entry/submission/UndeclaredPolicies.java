package org.chivetally.entry.submission;

import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;

/** Policies under which nobody declared anything. */
public record UndeclaredPolicies() implements ServicePolicies {
    @Override
    public ServicePolicy service(String name) {
        return ServicePolicy.undeclared(name);
    }

    @Override
    public TeamPolicy team(String name) {
        return TeamPolicy.undeclared(name);
    }
}
