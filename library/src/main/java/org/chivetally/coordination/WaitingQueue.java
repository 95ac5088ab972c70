package org.chivetally.coordination;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.SequencedSet;

/**
 * Tasks of one service that wait for an agent: fair between teams by deficit round robin, in order within a job.
 *
 * <p>A task costs its team what the team's tasks were seen to take, against the service's mean; so a team of long tasks
 * has fewer turns, and short ones are not stuck behind them. Within a team, small jobs go before large ones three times
 * of four.
 */
final class WaitingQueue {
    /** Cost of a task that takes the service's mean. */
    static final int MEAN_COST = 8;
    /** Highest cost, and what each turn adds per weight; so every turn affords at least one task. */
    static final int MAXIMUM_COST = 64;

    private static final int SMALL_JOB_TURNS = 3;

    final ServiceProgress service;
    private final int smallJobTasks;
    private final Map<String, Lane> lanes = new HashMap<>();
    private final ArrayDeque<Lane> turns = new ArrayDeque<>();
    private int size;
    private int activeWeight;

    WaitingQueue(ServiceProgress service, int smallJobTasks) {
        this.service = service;
        this.smallJobTasks = smallJobTasks;
    }

    int size() {
        return size;
    }

    /** Returns the tasks that go before {@code tasks} more of a team, those included, if all teams keep waiting. */
    long ahead(TeamAccount team, int tasks) {
        Lane lane = lanes.get(team.name);
        int own = tasks + (lane == null ? 0 : lane.sizeBefore(tasks <= smallJobTasks));
        int weights = activeWeight + (lane == null ? team.policy.weight() : 0);
        return Math.min((long) size + tasks, (long) own * weights / team.policy.weight());
    }

    void addLast(TaskProgress task) {
        Lane lane = laneOf(task.job);
        task.job.queued.addLast(task);
        lane.band(task.job).add(task.job);
        count(lane, task.job, 1);
    }

    /** Puts a task before all others of its team. */
    void addFirst(TaskProgress task) {
        Lane lane = laneOf(task.job);
        task.job.queued.addFirst(task);
        lane.band(task.job).addFirst(task.job);
        count(lane, task.job, 1);
    }

    /** Puts a polled task back as if it had not been polled. */
    void putBack(TaskProgress task) {
        addFirst(task);
        Lane lane = lanes.get(task.job.team.name);
        lane.deficit += cost(lane);
    }

    /** Takes the next task; null when none may have its turn. */
    TaskProgress poll() {
        while (!turns.isEmpty()) {
            Lane lane = turns.peekFirst();
            if (lane.size == 0) {
                retire(lane);
                continue;
            }
            if (!lane.team.mayRunMore()) {
                leaveTurn(lane);
                lane.team.blocked.add(lane);
                continue;
            }
            int cost = cost(lane);
            if (lane.deficit < cost) {
                lane.deficit += MAXIMUM_COST * lane.team.policy.weight();
                turns.addLast(turns.pollFirst());
                continue;
            }
            lane.deficit -= cost;
            return take(lane);
        }
        return null;
    }

    /** Takes one task out of the queue. */
    void remove(TaskProgress task) {
        if (task.job.queued.remove(task)) {
            Lane lane = lanes.get(task.job.team.name);
            count(lane, task.job, -1);
            dropIfEmpty(lane, task.job);
        }
    }

    /** Takes all tasks of a job out of the queue. */
    void removeJob(JobProgress job) {
        if (job.queued.isEmpty()) {
            return;
        }
        Lane lane = lanes.get(job.team.name);
        count(lane, job, -job.queued.size());
        job.queued.clear();
        dropIfEmpty(lane, job);
    }

    /** Gives a lane its turns again. */
    void resume(Lane lane) {
        if (!lane.inTurn) {
            lane.inTurn = true;
            turns.addLast(lane);
        }
    }

    private Lane laneOf(JobProgress job) {
        Lane lane = lanes.get(job.team.name);
        if (lane == null || lane.team != job.team) {
            lane = new Lane(this, job.team);
            lanes.put(job.team.name, lane);
        }
        if (!lane.inTurn && !job.team.blocked.contains(lane)) {
            resume(lane);
        }
        return lane;
    }

    private void count(Lane lane, JobProgress job, int change) {
        boolean wasActive = lane.size > 0;
        size += change;
        lane.size += change;
        lane.smallSize += job.tasks.size() <= smallJobTasks ? change : 0;
        boolean isActive = lane.size > 0;
        if (isActive != wasActive) {
            lane.weight = isActive ? lane.team.policy.weight() : lane.weight;
            activeWeight += isActive ? lane.weight : -lane.weight;
        }
    }

    private TaskProgress take(Lane lane) {
        JobProgress job = lane.nextJob();
        TaskProgress task = job.queued.pollFirst();
        count(lane, job, -1);
        dropIfEmpty(lane, job);
        return task;
    }

    private void dropIfEmpty(Lane lane, JobProgress job) {
        if (job.queued.isEmpty()) {
            lane.band(job).remove(job);
        }
    }

    private void leaveTurn(Lane lane) {
        turns.pollFirst();
        lane.inTurn = false;
        lane.deficit = 0;
    }

    private void retire(Lane lane) {
        leaveTurn(lane);
        lanes.remove(lane.team.name, lane);
    }

    private int cost(Lane lane) {
        return service.costs.costOf(lane.team.name);
    }

    /** What one team has in the queue. */
    static final class Lane {
        final WaitingQueue queue;
        final TeamAccount team;
        private final SequencedSet<JobProgress> small = new LinkedHashSet<>();
        private final SequencedSet<JobProgress> large = new LinkedHashSet<>();
        private int size;
        private int smallSize;
        private int weight;
        private int deficit;
        private int smallTurns;
        private boolean inTurn;

        private Lane(WaitingQueue queue, TeamAccount team) {
            this.queue = queue;
            this.team = team;
        }

        private SequencedSet<JobProgress> band(JobProgress job) {
            return job.tasks.size() <= queue.smallJobTasks ? small : large;
        }

        /** Returns the tasks that go before those of a new job. */
        private int sizeBefore(boolean smallJob) {
            int withLarge = smallSize + smallSize / SMALL_JOB_TURNS;
            return smallJob ? Math.min(size, withLarge) : size;
        }

        private JobProgress nextJob() {
            if (large.isEmpty()) {
                return small.getFirst();
            }
            if (small.isEmpty() || smallTurns >= SMALL_JOB_TURNS) {
                smallTurns = 0;
                return large.getFirst();
            }
            smallTurns++;
            return small.getFirst();
        }
    }
}
