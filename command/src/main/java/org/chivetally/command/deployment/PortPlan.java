package org.chivetally.command.deployment;

/**
 * Ports of a deployment's separate processes, which follow from the first one.
 *
 * @param first first port, that of the log
 * @param minions number of minions
 */
record PortPlan(int first, int minions) {
    /** Most entries that the plan has room for. */
    static final int MOST_ENTRIES = 10;

    private static final int HTTP = 10;
    private static final int FRAMES = HTTP + MOST_ENTRIES;
    private static final int AGENTS = FRAMES + MOST_ENTRIES;

    int log() {
        return first;
    }

    int http(int entry) {
        return first + HTTP + entry;
    }

    int frames(int entry) {
        return first + FRAMES + entry;
    }

    int agent(int position) {
        return first + AGENTS + position;
    }

    int minion(int position) {
        return agent(minions) + position;
    }

    int entryRelay(int entry) {
        return minion(minions) + entry;
    }

    int agentRelay(int agent) {
        return entryRelay(MOST_ENTRIES) + agent;
    }

    int entryRelayControl(int entry) {
        return agentRelay(minions) + entry;
    }

    int agentRelayControl(int agent) {
        return entryRelayControl(MOST_ENTRIES) + agent;
    }
}
