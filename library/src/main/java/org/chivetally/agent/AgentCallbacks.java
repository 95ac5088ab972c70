package org.chivetally.agent;

/** What other parts of its process do for an agent. Safe from any thread, and never blocking. */
public interface AgentCallbacks {
    /** Takes a configuration that an entry pushed if it is whole and newer, and returns what is in force then. */
    AgentConfiguration offerConfiguration(long version, byte[] snapshot);

    /** Announces the process to all entries again, as some may not know it any more. */
    void reannounce(String reason);

    /** Returns the surroundings of an agent that is on its own. */
    static AgentCallbacks none() {
        return new NoCallbacks();
    }

    /** No configuration and nobody to announce to. */
    record NoCallbacks() implements AgentCallbacks {
        @Override
        public AgentConfiguration offerConfiguration(long version, byte[] snapshot) {
            return AgentConfiguration.NONE;
        }

        @Override
        public void reannounce(String reason) {
            // Nobody reads it.
        }
    }
}
