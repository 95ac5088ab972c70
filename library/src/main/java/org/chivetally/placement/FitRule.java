package org.chivetally.placement;

import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TaskSpecification;

/** What a task needs of a worker, and whether any worker has it. */
public final class FitRule {
    private FitRule() {}

    /** Returns what a task needs: what it declares, or what its service declares for tasks that say nothing. */
    public static Resources requiredResources(TaskSpecification task, ServicePolicy service) {
        return task.resources().equals(Resources.NONE) ? service.resources() : task.resources();
    }

    /**
     * Tells whether no known worker of the service is large enough. A service without known agents refuses nothing: its
     * agents may not have been heard of yet.
     */
    public static boolean neverFits(Resources required, ServiceFleet fleet) {
        return !fleet.agents().isEmpty() && fleet.poolsFor(required).isEmpty();
    }
}
