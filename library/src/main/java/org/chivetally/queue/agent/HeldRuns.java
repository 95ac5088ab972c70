package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;

/** The runs that occupy resources of the minion, at most one for each task, and the sum of their resources. */
final class HeldRuns {
    private final Map<TaskKey, HeldRun> runs = new LinkedHashMap<>();
    private Room room = Room.NONE;
    private int suspected;

    boolean isEmpty() {
        return runs.isEmpty();
    }

    int size() {
        return runs.size();
    }

    /** Returns the run of a task; null if there is none. */
    HeldRun of(TaskKey task) {
        return runs.get(task);
    }

    boolean has(HeldRun run) {
        return runs.get(run.key().task()) == run;
    }

    void add(HeldRun run) {
        runs.put(run.key().task(), run);
        room = room.plus(run.room());
        suspected += run.isSuspected() ? 1 : 0;
    }

    void remove(HeldRun run) {
        runs.remove(run.key().task());
        room = room.minus(run.room());
        suspected -= run.isSuspected() ? 1 : 0;
    }

    /** Returns the resources that all runs occupy. */
    Room room() {
        return room;
    }

    /** Returns the number of runs whose tasks were running on a minion when that minion crashed. */
    int suspected() {
        return suspected;
    }

    /** Returns a copy of all runs. */
    List<HeldRun> all() {
        return List.copyOf(runs.values());
    }

    /** Returns the runs of an owner. */
    List<HeldRun> ownedBy(RunOwner owner) {
        return runs.values().stream().filter(run -> run.owner().equals(owner)).toList();
    }

    /**
     * Removes all runs and returns their ends.
     *
     * @param incarnation name of the minion's incarnation
     * @param outcome how the runs ended, except those that were carried over from an earlier incarnation
     */
    List<OwnedEnd> endAll(String incarnation, RunOutcome outcome) {
        List<OwnedEnd> ended = new ArrayList<>();
        for (HeldRun run : runs.values()) {
            ended.add(run.isCarriedOver() ? run.endAtPreviousIncarnation() : run.unlistedEnd(incarnation, outcome));
        }
        runs.clear();
        room = Room.NONE;
        suspected = 0;
        return ended;
    }

    /** Returns the owners of all runs. */
    Set<RunOwner> owners() {
        Set<RunOwner> owners = new HashSet<>();
        for (HeldRun run : runs.values()) {
            owners.add(run.owner());
        }
        return owners;
    }

    /** Returns the owner of each run. */
    Map<RunKey, RunOwner> byKey() {
        Map<RunKey, RunOwner> byKey = new LinkedHashMap<>();
        for (HeldRun run : runs.values()) {
            byKey.put(run.key(), run.owner());
        }
        return byKey;
    }
}
