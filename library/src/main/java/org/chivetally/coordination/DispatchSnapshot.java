package org.chivetally.coordination;

import java.util.List;
import java.util.Map;
import org.chivetally.placement.AgentState;

/**
 * What a coordinator had at one moment, for operators.
 *
 * @param services counts by name of service
 * @param teams counts by name of team
 * @param agents all agents known, those lately gone included
 */
public record DispatchSnapshot(
        boolean leaseHeld, int jobs, Map<String, Counts> services, Map<String, Counts> teams, List<Agent> agents) {
    /** Copies maps and list. */
    public DispatchSnapshot {
        services = Map.copyOf(services);
        teams = Map.copyOf(teams);
        agents = List.copyOf(agents);
    }

    /**
     * Tasks of one service or team.
     *
     * @param waiting accepted and not started
     * @param running started and not known to have ended
     */
    public record Counts(int waiting, int running) {}

    /**
     * One agent.
     *
     * @param own this coordinator's attempts in flight there
     * @param others what others had there at the last report
     * @param allowed most attempts that quarantine allows
     * @param failureRate weighted share of tasks that failed there
     * @param slowRate weighted share of tasks that ran longer than nearly all of their service
     */
    public record Agent(
            AgentId id,
            String service,
            String failureDomain,
            AgentState state,
            int slots,
            int own,
            int others,
            int allowed,
            double failureRate,
            double slowRate) {}
}
