package org.chivetally.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.resource.Resource;
import org.chivetally.resource.ResourceKey;
import org.chivetally.resource.ResourceKind;
import org.junit.jupiter.api.Test;

class TeamChangesTest {
    private final Map<String, TeamPolicy> declared = new HashMap<>();
    private final List<TeamPolicy> reported = new ArrayList<>();
    private final TeamChanges changes = new TeamChanges(new Declared(), reported::add);

    // A removed team must fall back to the undeclared policy; unchanged teams must not be reported again.
    @Test
    void reportsOnlyNewChangedAndRemovedTeams() {
        TeamPolicy first = new TeamPolicy("rangers", 5, 5, 1);
        declare(first);
        assertThat(reported, contains(first));
        reported.clear();
        declare(first);
        assertThat(reported, empty());
        declared.clear();
        changes.accept(List.of());
        assertThat(reported, contains(TeamPolicy.undeclared("rangers")));
    }

    private void declare(TeamPolicy team) {
        declared.put(team.name(), team);
        ResourceKey key = new ResourceKey(ResourceKind.TEAM, team.name());
        changes.accept(List.of(new Resource(key, new TreeMap<>(), "{}", 1, "anna", "2026-01-01T00:00:00Z")));
    }

    private final class Declared implements ServicePolicies {
        @Override
        public ServicePolicy service(String name) {
            return ServicePolicy.undeclared(name);
        }

        @Override
        public TeamPolicy team(String name) {
            return declared.getOrDefault(name, TeamPolicy.undeclared(name));
        }
    }
}
