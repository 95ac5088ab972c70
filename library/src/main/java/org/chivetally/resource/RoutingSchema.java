package org.chivetally.resource;

import java.time.Duration;
import java.util.Optional;
import org.chivetally.document.Section;
import org.chivetally.document.Units;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Schema of routing configurations. */
public final class RoutingSchema implements ResourceSchema<RoutingPolicy> {
    private static final Duration SHORTEST = Duration.ofMillis(20);
    private static final Duration LONGEST = Duration.ofMinutes(1);
    private static final int MOST_OVERCOMMIT = 64;

    @Override
    public Optional<RoutingPolicy> read(String name, Section spec) {
        RoutingPolicy defaults = RoutingPolicy.undeclared(name);
        RoutingPolicy policy = new RoutingPolicy(
                name,
                spec.choice("placement", RoutingPolicy.Placement.class, defaults.placement()),
                (int) spec.integer("overcommit", 0, MOST_OVERCOMMIT, defaults.overcommit()),
                spec.decimal("retryBudgetShare", 0, 1, defaults.retryBudgetShare()),
                spec.duration("heartbeatActive", SHORTEST, LONGEST, defaults.heartbeatActive()),
                spec.duration("heartbeatIdle", SHORTEST, LONGEST, defaults.heartbeatIdle()),
                spec.duration("silentAfter", SHORTEST, LONGEST, defaults.silentAfter()),
                spec.decimal("quarantineShare", 0, 1, defaults.quarantineShare()),
                spec.text("preferredFailureDomain", defaults.preferredFailureDomain()));
        if (policy.overcommit() > 0 && policy.placement() != RoutingPolicy.Placement.SLOT_CREDITS) {
            spec.mistake("overcommit", "has a meaning with placement slot-credits only");
        }
        if (policy.silentAfter().compareTo(policy.heartbeatActive().multipliedBy(2)) < 0) {
            spec.mistake(
                    "silentAfter", "must be at least twice heartbeatActive, or one lost heartbeat counts as silence");
        }
        return spec.isValid() ? Optional.of(policy) : Optional.empty();
    }

    @Override
    public ObjectNode write(RoutingPolicy policy) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("placement", Section.kebabCase(policy.placement()))
                .put("overcommit", policy.overcommit())
                .put("retryBudgetShare", policy.retryBudgetShare())
                .put("heartbeatActive", Units.formatDuration(policy.heartbeatActive()))
                .put("heartbeatIdle", Units.formatDuration(policy.heartbeatIdle()))
                .put("silentAfter", Units.formatDuration(policy.silentAfter()))
                .put("quarantineShare", policy.quarantineShare())
                .put("preferredFailureDomain", policy.preferredFailureDomain());
    }
}
