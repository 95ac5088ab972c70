package org.chivetally.command.deployment;

/**
 * Ports of a deployment whose processes run separately: one consecutive range for each purpose, from the first port on.
 *
 * @param firstPort first port of the plan, used by the log
 * @param minions number of minions
 */
record PortPlan(int firstPort, int minions) {
    /** Maximum number of entries; it fixes the size of each range of entry ports. */
    static final int MAXIMUM_ENTRIES = 10;

    private static final int HTTP_OFFSET = 10;
    private static final int FRAMES_OFFSET = HTTP_OFFSET + MAXIMUM_ENTRIES;
    private static final int AGENTS_OFFSET = FRAMES_OFFSET + MAXIMUM_ENTRIES;

    int log() {
        return firstPort;
    }

    int http(int entry) {
        return firstPort + HTTP_OFFSET + entry;
    }

    int frames(int entry) {
        return firstPort + FRAMES_OFFSET + entry;
    }

    int agent(int position) {
        return firstPort + AGENTS_OFFSET + position;
    }

    int minion(int position) {
        return agent(minions) + position;
    }

    int entryRelay(int entry) {
        return minion(minions) + entry;
    }

    int agentRelay(int agent) {
        return entryRelay(MAXIMUM_ENTRIES) + agent;
    }

    int entryRelayControl(int entry) {
        return agentRelay(minions) + entry;
    }

    int agentRelayControl(int agent) {
        return entryRelayControl(MAXIMUM_ENTRIES) + agent;
    }
}
