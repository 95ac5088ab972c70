package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.job.TeamPolicy;

/** Limits and counts of all teams at this coordinator. */
final class TeamLedger {
    private final Map<String, TeamAccount> accounts = new HashMap<>();
    private int entries = 1;
    private int waiting;

    TeamAccount of(String team) {
        return accounts.computeIfAbsent(team, name -> new TeamAccount(TeamPolicy.undeclared(name), entries));
    }

    Collection<TeamAccount> all() {
        return accounts.values();
    }

    /** Returns the tasks accepted and not started, over all teams. */
    int waiting() {
        return waiting;
    }

    void jobAccepted(TeamAccount team) {
        team.jobs++;
    }

    void jobEnded(TeamAccount team) {
        team.jobs--;
        forgetIfUnused(team);
    }

    void countWaiting(TeamAccount team, int change) {
        team.waiting += change;
        waiting += change;
    }

    void countRunning(TeamAccount team, int change) {
        team.running += change;
        forgetIfUnused(team);
    }

    /** Takes lanes that may have their turn again; empty while the team is at its limit. */
    List<WaitingQueue.Lane> takeUnblocked(TeamAccount team) {
        if (team.blocked.isEmpty() || !team.mayRunMore()) {
            return List.of();
        }
        List<WaitingQueue.Lane> lanes = new ArrayList<>(team.blocked);
        team.blocked.clear();
        return lanes;
    }

    TeamAccount change(TeamPolicy policy) {
        TeamAccount account = of(policy.name());
        account.declared = true;
        account.setLimits(policy, entries);
        return account;
    }

    void changeEntries(int count) {
        entries = Math.max(1, count);
        for (TeamAccount account : accounts.values()) {
            account.setLimits(account.policy, entries);
        }
    }

    /** Names of teams come from callers; without this, made-up ones would fill the memory. */
    private void forgetIfUnused(TeamAccount team) {
        if (!team.declared && team.running == 0 && team.jobs == 0) {
            accounts.remove(team.name, team);
        }
    }
}
