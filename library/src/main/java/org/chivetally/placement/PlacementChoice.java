package org.chivetally.placement;

import java.util.List;
import java.util.Optional;

/**
 * The agent chosen for a task, and what the choice was made from.
 *
 * @param agent where the task goes; empty when it has to wait
 * @param candidates agents the policy drew from
 * @param staleTickets agents passed over because their ticket is old; a heartbeat refreshes it
 */
public record PlacementChoice(Optional<AgentView> agent, int candidates, List<AgentView> staleTickets) {}
