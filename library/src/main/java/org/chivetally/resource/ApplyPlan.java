package org.chivetally.resource;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * What a set of declarations changes against one table, as one write.
 *
 * @param basis version of the table that the steps were found against
 * @param steps one for each declared or pruned resource
 */
public record ApplyPlan(long basis, List<Step> steps) {
    /** Copies the steps. */
    public ApplyPlan {
        steps = List.copyOf(steps);
    }

    /** What becomes of one resource. */
    public enum Action {
        /** It is created. */
        ADDED,
        /** Its labels or spec change. */
        CHANGED,
        /** It is already as declared; nothing is written. */
        UNCHANGED,
        /** It is deleted, as it carries the pruned labels and is not declared. */
        DELETED
    }

    /** One resource before and after. */
    public record Step(
            ResourceKey key, Action action, Optional<Resource> before, Optional<Change.Content> after, long basedOn) {
        /** Refuses missing parts. */
        public Step {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(action, "action");
            Objects.requireNonNull(before, "before");
            Objects.requireNonNull(after, "after");
        }

        /** Returns the change that the step writes. */
        public Change change() {
            return new Change(key, basedOn, false, after);
        }
    }

    /**
     * Finds the steps.
     *
     * @param basedOn versions that the writer has seen; where there is none, the table's version is taken, so that
     *     another write in between is a conflict
     * @param prune labels of the resources that are deleted unless declared; empty deletes none
     */
    public static ApplyPlan of(
            ResourceTable table,
            List<DeclaredResource> declared,
            Map<ResourceKey, Long> basedOn,
            Map<String, String> prune) {
        List<Step> steps = new ArrayList<>();
        Set<ResourceKey> keys = new HashSet<>();
        for (DeclaredResource resource : declared) {
            keys.add(resource.key());
            steps.add(stepOf(resource, table.find(resource.key()), Optional.ofNullable(basedOn.get(resource.key()))));
        }
        if (!prune.isEmpty()) {
            addPruned(steps, table, keys, prune);
        }
        return new ApplyPlan(table.version(), steps);
    }

    /** Returns the changes to write; none when everything is as declared. */
    public List<Change> changes() {
        List<Change> changes = new ArrayList<>();
        for (Step step : steps) {
            if (step.action() != Action.UNCHANGED) {
                changes.add(step.change());
            }
        }
        return List.copyOf(changes);
    }

    private static Step stepOf(DeclaredResource declared, Optional<Resource> before, Optional<Long> basedOn) {
        long current = before.map(Resource::version).orElse(0L);
        long basis = basedOn.orElse(current);
        boolean isSame = before.isPresent() && before.get().hasContent(declared.content()) && basis == current;
        Action action = isSame ? Action.UNCHANGED : before.isPresent() ? Action.CHANGED : Action.ADDED;
        return new Step(declared.key(), action, before, Optional.of(declared.content()), basis);
    }

    private static void addPruned(
            List<Step> steps, ResourceTable table, Set<ResourceKey> declared, Map<String, String> prune) {
        for (Resource resource : table.all()) {
            if (resource.hasLabels(prune) && !declared.contains(resource.key())) {
                steps.add(new Step(
                        resource.key(), Action.DELETED, Optional.of(resource), Optional.empty(), resource.version()));
            }
        }
    }
}
