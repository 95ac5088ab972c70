package org.chivetally.placement;

import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TaskSpecification;

/** Resources that a task requires, and whether any worker has that capacity. */
public final class FitRule {
    private FitRule() {}

    /** Returns the resources that a task declares, or its service's default if the task declares none. */
    public static Resources requiredResources(TaskSpecification task, ServicePolicy service) {
        return task.resources().equals(Resources.NONE) ? service.resources() : task.resources();
    }

    /**
     * Returns whether no known worker of the service is large enough. The result is false for a service without known
     * agents, because its agents may not have connected yet.
     */
    public static boolean neverFits(Resources required, ServiceFleet fleet) {
        return !fleet.agents().isEmpty() && fleet.poolsFor(required).isEmpty();
    }
}
