package org.chivetally.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tells bad minions of one service from bad tasks and from a bad service, and withholds work from the first.
 *
 * <p>A bad minion fails many different tasks while the others succeed. A task that fails on a second minion is itself
 * at fault, so its failures count against neither. When the other minions fail too, the service is at fault and nobody
 * is withheld: there is nowhere better to send the work.
 */
public final class Quarantine {
    private static final double WEIGHT = 0.2;
    private static final double MINIMUM_OTHERS = 5;
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final QuarantineSettings settings;
    private final ServiceFleet fleet;
    private final Map<AgentView, Standing> standings = new HashMap<>();
    private final DecayingCount ended = new DecayingCount();
    private final DecayingCount failed = new DecayingCount();
    private int limited;

    /** Creates the quarantine of one service. */
    public Quarantine(QuarantineSettings settings, ServiceFleet fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /**
     * Takes in a task that was done.
     *
     * @param slow whether it ran longer than nearly all of its service
     */
    public Optional<QuarantineVerdict> succeeded(AgentView agent, boolean slow, long now) {
        Standing standing = standing(agent);
        standing.failureRate -= WEIGHT * standing.failureRate;
        standing.failures = Math.max(0, standing.failures - 1);
        standing.slowRate += WEIGHT * ((slow ? 1 : 0) - standing.slowRate);
        standing.ended.add(1, now);
        ended.add(1, now);
        return switch (standing.step) {
            case HEALTHY, WITHHELD -> Optional.empty();
            case PROBING, RELEASING -> release(agent, standing, now);
        };
    }

    /** Takes in a task that failed at this agent and nowhere else before. */
    public Optional<QuarantineVerdict> failed(AgentView agent, long now) {
        Standing standing = standing(agent);
        standing.failureRate += WEIGHT * (1 - standing.failureRate);
        standing.failures++;
        standing.ended.add(1, now);
        standing.failed.add(1, now);
        ended.add(1, now);
        failed.add(1, now);
        return switch (standing.step) {
            case HEALTHY -> isBad(standing, now) ? withhold(agent, standing, now) : Optional.empty();
            case WITHHELD -> Optional.empty();
            case PROBING, RELEASING -> withhold(agent, standing, now);
        };
    }

    /** Takes back a failure counted against an agent: the task failed elsewhere as well. */
    public void pardon(AgentView agent, long now) {
        Standing standing = standing(agent);
        standing.failureRate = Math.max(0, (standing.failureRate - WEIGHT) / (1 - WEIGHT));
        standing.failures = Math.max(0, standing.failures - 1);
        standing.failed.add(-1, now);
        failed.add(-1, now);
    }

    /** Lets one task through to a withheld agent. */
    public Optional<QuarantineVerdict> probe(AgentView agent, long now) {
        Standing standing = standings.get(agent);
        if (standing == null || standing.step != Step.WITHHELD) {
            return Optional.empty();
        }
        standing.step = Step.PROBING;
        standing.allowed = 1;
        return verdict(agent, standing, QuarantineVerdict.Kind.PROBING, 0, now);
    }

    /** Forgets an agent that is gone. */
    public void forget(AgentView agent) {
        Standing standing = standings.remove(agent);
        if (standing != null && standing.step != Step.HEALTHY) {
            limited--;
        }
    }

    /** Returns the weighted share of an agent's tasks that failed, from 0 to 1. */
    public double failureRate(AgentView agent) {
        Standing standing = standings.get(agent);
        return standing == null ? 0 : standing.failureRate;
    }

    /** Returns the weighted share of an agent's tasks that ran longer than nearly all of its service, from 0 to 1. */
    public double slowRate(AgentView agent) {
        Standing standing = standings.get(agent);
        return standing == null ? 0 : standing.slowRate;
    }

    private Standing standing(AgentView agent) {
        return standings.computeIfAbsent(agent, unknown -> new Standing());
    }

    private boolean isBad(Standing standing, long now) {
        if (standing.failures < settings.minimumFailures() || standing.failureRate < settings.failureRate()) {
            return false;
        }
        double others = ended.value(now) - standing.ended.value(now);
        boolean othersSucceed = others >= MINIMUM_OTHERS && othersRate(standing, now) <= settings.othersRate();
        return othersSucceed
                && limited + 1 <= settings.maximumShare() * fleet.members().size();
    }

    private double othersRate(Standing standing, long now) {
        double others = ended.value(now) - standing.ended.value(now);
        return others <= 0 ? 0 : Math.max(0, failed.value(now) - standing.failed.value(now)) / others;
    }

    private Optional<QuarantineVerdict> withhold(AgentView agent, Standing standing, long now) {
        if (standing.step == Step.HEALTHY) {
            limited++;
        }
        long longest = settings.longestProbe().toNanos();
        standing.probeAfter =
                standing.probeAfter == 0 ? settings.firstProbe().toNanos() : Math.min(longest, standing.probeAfter * 2);
        standing.step = Step.WITHHELD;
        standing.allowed = 0;
        standing.successes = 0;
        return verdict(agent, standing, QuarantineVerdict.Kind.WITHHELD, standing.probeAfter, now);
    }

    /** Doubles what is allowed once as many tasks succeeded as were allowed: a minion still bad costs few of them. */
    private Optional<QuarantineVerdict> release(AgentView agent, Standing standing, long now) {
        standing.successes++;
        if (standing.successes < standing.allowed) {
            return Optional.empty();
        }
        standing.successes = 0;
        standing.allowed *= 2;
        if (standing.allowed < agent.slots()) {
            standing.step = Step.RELEASING;
            return verdict(agent, standing, QuarantineVerdict.Kind.RELEASING, 0, now);
        }
        limited--;
        standing.step = Step.HEALTHY;
        standing.allowed = UNLIMITED;
        standing.failures = 0;
        standing.probeAfter = 0;
        return verdict(agent, standing, QuarantineVerdict.Kind.RELEASED, 0, now);
    }

    private Optional<QuarantineVerdict> verdict(
            AgentView agent, Standing standing, QuarantineVerdict.Kind kind, long probeAfter, long now) {
        return Optional.of(new QuarantineVerdict(
                agent, kind, standing.allowed, probeAfter, standing.failureRate, othersRate(standing, now)));
    }

    private enum Step {
        HEALTHY,
        WITHHELD,
        PROBING,
        RELEASING
    }

    private static final class Standing {
        private final DecayingCount ended = new DecayingCount();
        private final DecayingCount failed = new DecayingCount();
        private double failureRate;
        private double slowRate;
        private int failures;
        private Step step = Step.HEALTHY;
        private int allowed = UNLIMITED;
        private int successes;
        private long probeAfter;
    }
}
