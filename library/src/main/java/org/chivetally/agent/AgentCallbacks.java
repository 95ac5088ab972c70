package org.chivetally.agent;

/** Callbacks from an agent to the other parts of its process. They may be called on any thread and must not block. */
public interface AgentCallbacks {
    /**
     * Offers a configuration that an entry pushed; it is applied if it is valid and newer than the current one.
     *
     * @param version version of the pushed configuration
     * @param snapshot the pushed configuration in its wire format
     * @return the configuration that is in force afterwards
     */
    AgentConfiguration offerConfiguration(long version, byte[] snapshot);

    /**
     * Announces the process to all entries again, because some may have removed it.
     *
     * @param reason reason that is logged
     */
    void reannounce(String reason);

    /** Returns callbacks that do nothing, for an agent that runs by itself. */
    static AgentCallbacks none() {
        return new NoCallbacks();
    }

    /** Provides no configuration and announces nothing. */
    record NoCallbacks() implements AgentCallbacks {
        @Override
        public AgentConfiguration offerConfiguration(long version, byte[] snapshot) {
            return AgentConfiguration.NONE;
        }

        @Override
        public void reannounce(String reason) {
            // There is no announcer.
        }
    }
}
