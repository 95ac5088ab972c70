package org.chivetally.placement;

import java.util.List;
import java.util.Optional;

/**
 * The agent chosen for a task, and the candidates that the choice was made from.
 *
 * @param agent the chosen agent; empty if the task has to wait
 * @param candidates number of agents that the policy chose from
 * @param staleTickets agents skipped because their ticket is too old; a heartbeat refreshes it
 */
public record PlacementChoice(Optional<AgentView> agent, int candidates, List<AgentView> staleTickets) {}
