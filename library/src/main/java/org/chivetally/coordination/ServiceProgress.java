package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.placement.Quarantine;
import org.chivetally.placement.RunTimes;
import org.chivetally.placement.ServiceFleet;

/**
 * What one coordinator knows about one service: its agents, what waits for them, and what was learned of its run times.
 */
final class ServiceProgress {
    private static final int MINIMUM_SAMPLES = 50;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    final String name;
    final ServiceFleet fleet;
    final RunTimes runTimes = new RunTimes();
    final TeamCosts costs = new TeamCosts();
    final DrainRate drainRate = new DrainRate();
    final Quarantine quarantine;
    final RetryBudget retryBudget;
    final RetryBudget speculationBudget;
    private final int smallJobTasks;
    private final Map<ClaimMode, WaitingQueue> queues = new EnumMap<>(ClaimMode.class);

    int waiting;
    int running;
    /** Where the search for agents with old reports goes on. */
    int refreshCursor;

    ServiceProgress(String name, ServiceFleet fleet, DispatchSettings settings) {
        this.name = name;
        this.fleet = fleet;
        this.quarantine = new Quarantine(settings.quarantine(), fleet);
        this.retryBudget =
                new RetryBudget(settings.retries().share(), settings.retries().minimumPerSecond());
        this.speculationBudget = new RetryBudget(settings.speculation().share(), 0);
        this.smallJobTasks = settings.queues().smallJobTasks();
    }

    /** Returns the queue of jobs with one claim mode: those of the log wait while the lease is not held. */
    WaitingQueue queue(ClaimMode mode) {
        return queues.computeIfAbsent(mode, unknown -> new WaitingQueue(this, smallJobTasks));
    }

    List<WaitingQueue> openQueues(boolean leaseHeld) {
        List<WaitingQueue> open = new ArrayList<>(queues.size());
        for (Map.Entry<ClaimMode, WaitingQueue> queue : queues.entrySet()) {
            if (leaseHeld || queue.getKey() == ClaimMode.MEMORY) {
                open.add(queue.getValue());
            }
        }
        return open;
    }

    int queued() {
        int queued = 0;
        for (WaitingQueue queue : queues.values()) {
            queued += queue.size();
        }
        return queued;
    }

    boolean hasLearned() {
        return runTimes.count() >= MINIMUM_SAMPLES;
    }

    /** Returns the learned median in nanoseconds; zero before enough was seen. */
    long medianNanos() {
        return hasLearned() ? runTimes.p50Micros() * 1_000 : 0;
    }

    /** Returns how long the last of some more tasks of a team would wait, in nanoseconds; zero when nothing tells. */
    long expectedWaitNanos(TeamAccount team, ClaimMode mode, int tasks, long now) {
        if (!hasLearned() || fleet.slots() == 0) {
            return 0;
        }
        double perSecond = drainRate.perSecond(now);
        if (perSecond == 0) {
            perSecond = fleet.slots() * MICROS_PER_SECOND / runTimes.meanMicros();
        }
        long ahead =
                queued() == 0 ? Math.max(0, tasks - fleet.slots()) : queue(mode).ahead(team, tasks);
        return (long) (ahead / perSecond * NANOS_PER_SECOND);
    }
}
