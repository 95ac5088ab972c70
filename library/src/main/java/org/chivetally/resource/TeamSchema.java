package org.chivetally.resource;

import java.util.Optional;
import org.chivetally.document.Section;
import org.chivetally.job.TeamPolicy;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Schema of teams. */
public final class TeamSchema implements ResourceSchema<TeamPolicy> {
    private static final int MOST_TASKS = 10_000_000;
    private static final int LARGEST_WEIGHT = 1_000;

    @Override
    public Optional<TeamPolicy> read(String name, Section spec) {
        TeamPolicy defaults = TeamPolicy.undeclared(name);
        long running = spec.integer("maximumRunning", 0, MOST_TASKS, defaults.maximumRunning());
        long queued = spec.integer("maximumQueued", 0, MOST_TASKS, defaults.maximumQueued());
        long weight = spec.integer("weight", 1, LARGEST_WEIGHT, defaults.weight());
        if (!spec.isValid()) {
            return Optional.empty();
        }
        return Optional.of(new TeamPolicy(name, (int) running, (int) queued, (int) weight));
    }

    @Override
    public ObjectNode write(TeamPolicy policy) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("maximumRunning", policy.maximumRunning())
                .put("maximumQueued", policy.maximumQueued())
                .put("weight", policy.weight());
    }
}
