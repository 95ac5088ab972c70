package org.chivetally.daemon;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.TeamPolicy;
import org.chivetally.resource.Resource;

/** Reports teams whose policy changed, including teams that were removed. Called from one thread at a time. */
final class TeamChanges implements Consumer<List<Resource>> {
    private final ServicePolicies policies;
    private final Consumer<TeamPolicy> changed;
    private final Map<String, TeamPolicy> reportedPolicies = new HashMap<>();

    TeamChanges(ServicePolicies policies, Consumer<TeamPolicy> changed) {
        this.policies = policies;
        this.changed = changed;
    }

    @Override
    public void accept(List<Resource> teams) {
        Set<String> names = new HashSet<>(reportedPolicies.keySet());
        for (Resource team : teams) {
            names.add(team.key().name());
        }
        names.forEach(this::reportIfChanged);
    }

    private void reportIfChanged(String name) {
        TeamPolicy policy = policies.team(name);
        if (!policy.equals(reportedPolicies.put(name, policy))) {
            changed.accept(policy);
        }
    }
}
