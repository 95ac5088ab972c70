package org.chivetally.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Detects faulty minions of one service and withholds tasks from them.
 *
 * <p>A minion is faulty if it fails many different tasks while the other minions succeed. A task that fails on a second
 * minion is itself at fault, so its failures count against neither minion. If the other minions fail as well, the
 * service is at fault and no minion is quarantined, because there is no better place for its tasks.
 */
public final class Quarantine {
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final double MINIMUM_OTHER_TASKS = 5;
    private static final int NO_LIMIT = Integer.MAX_VALUE;

    private final QuarantineSettings settings;
    private final ServiceFleet fleet;
    private final Map<AgentView, AgentHealth> healthByAgent = new HashMap<>();
    private final DecayingCount ended = new DecayingCount();
    private final DecayingCount failed = new DecayingCount();
    private int limitedAgents;

    /** Creates the quarantine of one service, with all its agents healthy. */
    public Quarantine(QuarantineSettings settings, ServiceFleet fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /**
     * Records that a task succeeded.
     *
     * @param slow whether the task took longer than the 99th percentile of its service
     * @param nowNanos monotonic clock reading in nanoseconds
     * @return the change of the agent's attempt limit, if any
     */
    public Optional<QuarantineVerdict> taskSucceeded(AgentView agent, boolean slow, long nowNanos) {
        AgentHealth health = health(agent);
        health.failureRate -= SMOOTHING_FACTOR * health.failureRate;
        health.failures = Math.max(0, health.failures - 1);
        health.slowRate += SMOOTHING_FACTOR * ((slow ? 1 : 0) - health.slowRate);
        health.ended.add(1, nowNanos);
        ended.add(1, nowNanos);
        return switch (health.stage) {
            case HEALTHY, WITHHELD -> Optional.empty();
            case PROBING, RELEASING -> release(agent, health, nowNanos);
        };
    }

    /**
     * Records that a task failed on this agent. Must not be called for a task that has failed on another agent before.
     *
     * @param nowNanos monotonic clock reading in nanoseconds
     * @return the change of the agent's attempt limit, if any
     */
    public Optional<QuarantineVerdict> taskFailed(AgentView agent, long nowNanos) {
        AgentHealth health = health(agent);
        health.failureRate += SMOOTHING_FACTOR * (1 - health.failureRate);
        health.failures++;
        health.ended.add(1, nowNanos);
        health.failed.add(1, nowNanos);
        ended.add(1, nowNanos);
        failed.add(1, nowNanos);
        return switch (health.stage) {
            case HEALTHY -> isFaulty(health, nowNanos) ? withhold(agent, health, nowNanos) : Optional.empty();
            case WITHHELD -> Optional.empty();
            case PROBING, RELEASING -> withhold(agent, health, nowNanos);
        };
    }

    /**
     * Removes a failure from an agent's statistics after the same task has failed on another agent as well.
     *
     * @param nowNanos monotonic clock reading in nanoseconds
     */
    public void retractFailure(AgentView agent, long nowNanos) {
        AgentHealth health = health(agent);
        health.failureRate = Math.max(0, (health.failureRate - SMOOTHING_FACTOR) / (1 - SMOOTHING_FACTOR));
        health.failures = Math.max(0, health.failures - 1);
        health.failed.add(-1, nowNanos);
        failed.add(-1, nowNanos);
    }

    /**
     * Allows a single task on a quarantined agent, as a probe.
     *
     * @param nowNanos monotonic clock reading in nanoseconds
     * @return the change of the agent's attempt limit; empty unless all tasks are withheld from the agent
     */
    public Optional<QuarantineVerdict> probe(AgentView agent, long nowNanos) {
        AgentHealth health = healthByAgent.get(agent);
        if (health == null || health.stage != Stage.WITHHELD) {
            return Optional.empty();
        }
        health.stage = Stage.PROBING;
        health.attemptLimit = 1;
        return verdict(agent, health, QuarantineVerdict.Kind.PROBING, 0, nowNanos);
    }

    /** Removes the statistics of an agent that is gone. */
    public void remove(AgentView agent) {
        AgentHealth health = healthByAgent.remove(agent);
        if (health != null && health.stage != Stage.HEALTHY) {
            limitedAgents--;
        }
    }

    /** Returns the exponentially weighted share of an agent's tasks that failed, from 0 to 1. */
    public double failureRate(AgentView agent) {
        AgentHealth health = healthByAgent.get(agent);
        return health == null ? 0 : health.failureRate;
    }

    /**
     * Returns the exponentially weighted share of an agent's tasks that took longer than the 99th percentile of their
     * service, from 0 to 1.
     */
    public double slowRate(AgentView agent) {
        AgentHealth health = healthByAgent.get(agent);
        return health == null ? 0 : health.slowRate;
    }

    private AgentHealth health(AgentView agent) {
        return healthByAgent.computeIfAbsent(agent, unknown -> new AgentHealth());
    }

    private boolean isFaulty(AgentHealth health, long nowNanos) {
        if (health.failures < settings.minimumFailures() || health.failureRate < settings.failureRate()) {
            return false;
        }
        double otherTasks = ended.value(nowNanos) - health.ended.value(nowNanos);
        boolean othersSucceed = otherTasks >= MINIMUM_OTHER_TASKS
                && othersFailureRate(health, nowNanos) <= settings.othersFailureRate();
        return othersSucceed
                && limitedAgents + 1 <= settings.maximumShare() * fleet.agents().size();
    }

    private double othersFailureRate(AgentHealth health, long nowNanos) {
        double otherTasks = ended.value(nowNanos) - health.ended.value(nowNanos);
        return otherTasks <= 0 ? 0 : Math.max(0, failed.value(nowNanos) - health.failed.value(nowNanos)) / otherTasks;
    }

    private Optional<QuarantineVerdict> withhold(AgentView agent, AgentHealth health, long nowNanos) {
        if (health.stage == Stage.HEALTHY) {
            limitedAgents++;
        }
        long longestNanos = settings.longestProbe().toNanos();
        health.probeDelayNanos = health.probeDelayNanos == 0
                ? settings.firstProbe().toNanos()
                : Math.min(longestNanos, health.probeDelayNanos * 2);
        health.stage = Stage.WITHHELD;
        health.attemptLimit = 0;
        health.successesAtLimit = 0;
        return verdict(agent, health, QuarantineVerdict.Kind.WITHHELD, health.probeDelayNanos, nowNanos);
    }

    /**
     * Doubles the attempt limit once as many tasks succeeded as the limit allows, so that a minion that is still faulty
     * fails only few tasks.
     */
    private Optional<QuarantineVerdict> release(AgentView agent, AgentHealth health, long nowNanos) {
        health.successesAtLimit++;
        if (health.successesAtLimit < health.attemptLimit) {
            return Optional.empty();
        }
        health.successesAtLimit = 0;
        health.attemptLimit *= 2;
        if (health.attemptLimit < agent.slots()) {
            health.stage = Stage.RELEASING;
            return verdict(agent, health, QuarantineVerdict.Kind.RELEASING, 0, nowNanos);
        }
        limitedAgents--;
        health.stage = Stage.HEALTHY;
        health.attemptLimit = NO_LIMIT;
        health.failures = 0;
        health.probeDelayNanos = 0;
        return verdict(agent, health, QuarantineVerdict.Kind.RELEASED, 0, nowNanos);
    }

    private Optional<QuarantineVerdict> verdict(
            AgentView agent, AgentHealth health, QuarantineVerdict.Kind kind, long probeAfterNanos, long nowNanos) {
        return Optional.of(new QuarantineVerdict(
                agent,
                kind,
                health.attemptLimit,
                probeAfterNanos,
                health.failureRate,
                othersFailureRate(health, nowNanos)));
    }

    private enum Stage {
        HEALTHY,
        WITHHELD,
        PROBING,
        RELEASING
    }

    private static final class AgentHealth {
        private final DecayingCount ended = new DecayingCount();
        private final DecayingCount failed = new DecayingCount();
        private double failureRate;
        private double slowRate;
        private int failures;
        private Stage stage = Stage.HEALTHY;
        private int attemptLimit = NO_LIMIT;
        private int successesAtLimit;
        private long probeDelayNanos;
    }
}
