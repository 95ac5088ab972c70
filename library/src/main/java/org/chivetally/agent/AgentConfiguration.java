package org.chivetally.agent;

/**
 * What an agent uses of the configuration.
 *
 * @param version version of the whole configuration; zero while there is none
 * @param draining whether operators declared that the backend server instance is to get no new work
 */
public record AgentConfiguration(long version, boolean draining) {
    /** What holds before any entry pushed a configuration. */
    public static final AgentConfiguration NONE = new AgentConfiguration(0, false);
}
