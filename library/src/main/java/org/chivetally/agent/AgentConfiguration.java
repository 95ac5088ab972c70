package org.chivetally.agent;

/**
 * The part of the configuration that an agent uses.
 *
 * @param version version of the whole configuration; zero before any was received
 * @param draining whether operators declared the backend server instance as draining, so that it gets no new tasks
 */
public record AgentConfiguration(long version, boolean draining) {
    /** In force until an entry pushes a configuration. */
    public static final AgentConfiguration NONE = new AgentConfiguration(0, false);
}
