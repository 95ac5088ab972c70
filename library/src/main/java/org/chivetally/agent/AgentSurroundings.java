package org.chivetally.agent;

/** What other parts of its process do for an agent. Safe from any thread, and never blocking. */
public interface AgentSurroundings {
    /** Takes a configuration that an entry pushed if it is whole and newer, and returns what is in force then. */
    AgentConfiguration offer(long version, byte[] snapshot);

    /** Announces the process to all entries again, as some may not know it any more. */
    void announceAnew(String reason);

    /** Returns the surroundings of an agent that is on its own. */
    static AgentSurroundings none() {
        return new Nothing();
    }

    /** No configuration and nobody to announce to. */
    record Nothing() implements AgentSurroundings {
        @Override
        public AgentConfiguration offer(long version, byte[] snapshot) {
            return AgentConfiguration.NONE;
        }

        @Override
        public void announceAnew(String reason) {
            // Nobody reads it.
        }
    }
}
