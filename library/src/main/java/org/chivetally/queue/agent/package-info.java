/**
 * The agent beside one minion. It accounts for the minion's resources, starts and stops runs, renews the minion's lease
 * while the runs' owners are in contact with the agent, and reports the ends of runs to their owners. Calls to the
 * minion go through {@link org.chivetally.queue.agent.MinionPort}.
 */
package org.chivetally.queue.agent;
