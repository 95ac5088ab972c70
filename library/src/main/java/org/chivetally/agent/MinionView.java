package org.chivetally.agent;

/** The agent's view of its minion, from the minion's reports and the outcome of requests. */
final class MinionView {
    private final int failuresUntilUnhealthy;
    private boolean healthy;
    private boolean draining;
    private int failures;
    private int untrackedRuns;

    MinionView(int failuresUntilUnhealthy) {
        this.failuresUntilUnhealthy = failuresUntilUnhealthy;
    }

    /** Returns whether tasks can be sent; false until the first report of a healthy minion. */
    boolean healthy() {
        return healthy;
    }

    boolean draining() {
        return draining;
    }

    /** Returns the number of slots that are reserved for untracked runs. */
    int untrackedRuns() {
        return untrackedRuns;
    }

    /**
     * Reserves a slot for a run that may continue on the minion although the agent has no open request for it.
     *
     * <p>After a request is cancelled, the minion may still run its task; another task in its slot would exceed the
     * minion's capacity. The slot stays reserved until a report shows that it is free.
     */
    void addUntrackedRun() {
        untrackedRuns++;
    }

    void connected() {
        failures = 0;
    }

    void connectFailed() {
        failures++;
        if (failures >= failuresUntilUnhealthy) {
            healthy = false;
        }
    }

    /**
     * Updates the view from a report.
     *
     * <p>The minion's count includes the agent's own runs and the untracked ones. Only own runs that started before the
     * report was requested are subtracted: subtracting a run that started after the minion had counted would hide an
     * untracked run and free a slot that the minion still uses. Until the next report the number of untracked runs may
     * therefore be too high, but never too low.
     *
     * @param ownRuns number of the agent's runs that started before the report was requested and are still running
     */
    void update(MinionState state, int ownRuns) {
        switch (state) {
            case MinionState.Reported reported -> accept(reported, ownRuns);
            case MinionState.Unreachable unreachable -> connectFailed();
        }
    }

    private void accept(MinionState.Reported reported, int ownRuns) {
        failures = 0;
        healthy = reported.healthy();
        draining = reported.draining();
        int otherRuns = Math.max(0, reported.running() - ownRuns);
        untrackedRuns = Math.min(untrackedRuns, otherRuns);
    }
}
