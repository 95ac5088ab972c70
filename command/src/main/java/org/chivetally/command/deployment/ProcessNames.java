package org.chivetally.command.deployment;

/** Names of a deployment's processes by zero-based position; the numbers in the names start at 1. */
final class ProcessNames {
    private ProcessNames() {}

    static String entry(int position) {
        return "entry-" + (position + 1);
    }

    static String agent(int position) {
        return "agent-" + (position + 1);
    }

    static String minion(int position) {
        return "minion-" + (position + 1);
    }
}
