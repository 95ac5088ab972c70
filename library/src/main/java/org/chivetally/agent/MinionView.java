package org.chivetally.agent;

/** What the agent believes of its minion. */
final class MinionView {
    private final int failuresUntilUnhealthy;
    private boolean healthy;
    private boolean draining;
    private int failures;
    private int untrackedRuns;

    MinionView(int failuresUntilUnhealthy) {
        this.failuresUntilUnhealthy = failuresUntilUnhealthy;
    }

    /** Tells whether tasks can be sent; false until the first good report. */
    boolean healthy() {
        return healthy;
    }

    boolean draining() {
        return draining;
    }

    /** Returns how many slots runs hold that the agent no longer counts as its own. */
    int untrackedRuns() {
        return untrackedRuns;
    }

    /**
     * Notes that a run may go on in the minion without an open request of the agent.
     *
     * <p>A broken-off request frees the agent's slot while the minion may still work on it; a new task would then be
     * one too many. The slot is held until the next report shows it free.
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
     * Takes in a report.
     *
     * <p>A run that began after the minion had counted, and is taken for one that it counted, would hide a stray run:
     * the slot would be given away while the minion still works in it. Only runs from before the question are counted
     * as own; the stray runs may then seem more than they are until the next report, never fewer.
     *
     * @param ownRuns runs of the agent that had begun before the report was asked for and still go on
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
