package org.chivetally.resource;

import java.time.Duration;
import java.util.Optional;
import org.chivetally.document.Section;
import org.chivetally.document.Units;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Schema of services. */
public final class ServiceSchema implements ResourceSchema<ServicePolicy> {
    private static final Duration SHORTEST = Duration.ofMillis(10);
    private static final Duration LONGEST = Duration.ofHours(1);
    private static final int MOST_ATTEMPTS = 20;
    private static final long MOST_PROCESSOR_MILLIS = 1_000_000;
    private static final long MOST_MEMORY = 16L << 40;
    private static final int MOST_ACCELERATORS = 1_000;

    @Override
    public Optional<ServicePolicy> read(String name, Section spec) {
        ServicePolicy defaults = ServicePolicy.undeclared(name);
        boolean idempotent = spec.flag("idempotent", defaults.idempotent());
        ServicePolicy.ClaimMode claims = spec.choice("claims", ServicePolicy.ClaimMode.class, defaults.claimMode());
        long attempts = spec.integer("attempts", 1, MOST_ATTEMPTS, defaults.maximumAttempts());
        Duration lease = spec.duration("attemptLease", SHORTEST, LONGEST, defaults.attemptLease());
        Duration deadline = spec.duration("deadline", SHORTEST, LONGEST, defaults.defaultDeadline());
        boolean speculate = spec.flag("speculate", defaults.speculate());
        Resources resources = resources(spec.section("resources"));
        refuseRepeatsOfWhatRunsOnce(spec, idempotent, claims, speculate);
        if (!spec.isValid()) {
            return Optional.empty();
        }
        return Optional.of(
                new ServicePolicy(name, idempotent, claims, (int) attempts, lease, deadline, speculate, resources));
    }

    @Override
    public ObjectNode write(ServicePolicy policy) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("idempotent", policy.idempotent());
        node.put("claims", Section.kebabCase(policy.claimMode()));
        node.put("attempts", policy.maximumAttempts());
        node.put("attemptLease", Units.formatDuration(policy.attemptLease()));
        node.put("deadline", Units.formatDuration(policy.defaultDeadline()));
        node.put("speculate", policy.speculate());
        node.putObject("resources")
                .put("processorMillis", policy.resources().processorMillis())
                .put("memory", Units.formatBytes(policy.resources().memoryBytes()))
                .put("accelerators", policy.resources().accelerators());
        return node;
    }

    private static Resources resources(Section section) {
        return new Resources(
                section.integer("processorMillis", 0, MOST_PROCESSOR_MILLIS, 0),
                section.bytes("memory", 0, MOST_MEMORY, 0),
                (int) section.integer("accelerators", 0, MOST_ACCELERATORS, 0));
    }

    private static void refuseRepeatsOfWhatRunsOnce(
            Section spec, boolean idempotent, ServicePolicy.ClaimMode claims, boolean speculate) {
        if (idempotent) {
            return;
        }
        if (speculate) {
            spec.mistake("speculate", "only an idempotent service may run a second copy of a task");
        }
        if (claims == ServicePolicy.ClaimMode.MEMORY) {
            spec.mistake("claims", "only an idempotent service may claim in memory; log is allowed here");
        }
    }
}
