package org.chivetally.coordination;

import java.util.LinkedHashSet;
import java.util.Set;
import org.chivetally.job.TeamPolicy;

/** What one team has at this coordinator, and this coordinator's part of the team's limits. */
final class TeamAccount {
    final String name;
    /** Lanes left out of their queue's turn because the team is at its limit. */
    final Set<WaitingQueue.Lane> blocked = new LinkedHashSet<>();

    TeamPolicy policy;
    boolean declared;
    int maximumRunning;
    int maximumWaiting;
    int jobs;
    int running;
    int waiting;

    TeamAccount(TeamPolicy policy, int entries) {
        this.name = policy.name();
        setLimits(policy, entries);
    }

    void setLimits(TeamPolicy newPolicy, int entries) {
        policy = newPolicy;
        maximumRunning = part(newPolicy.maximumRunning(), entries);
        maximumWaiting = part(newPolicy.maximumQueued(), entries);
    }

    boolean mayRunMore() {
        return running < maximumRunning;
    }

    /** A part of one keeps a small quota from becoming none on every entry. */
    private static int part(int whole, int entries) {
        return whole == 0 ? 0 : Math.max(1, whole / entries);
    }
}
