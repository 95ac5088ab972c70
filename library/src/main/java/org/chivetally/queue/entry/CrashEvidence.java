package org.chivetally.queue.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.agent.EndCodec;
import org.chivetally.queue.crash.CrashSuspicion;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.queue.link.Peer;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.RunEnd;
import org.chivetally.wire.v1.WorkerReport;

/**
 * Collects the evidence for suspected crashes. A minion that answers again under another id has crashed; one that has
 * its id was cut off. Its agent reports which; if the agent was restarted meanwhile, its reports on the minion show it.
 */
final class CrashEvidence {
    private final Timers timers;
    private final CrashTracker crashes;
    private final Function<Task, Optional<JobOwner>> owners;

    /**
     * Creates an instance without suspicions.
     *
     * @param owners returns the owner of a task's job; empty if it is not this entry
     */
    CrashEvidence(Timers timers, CrashTracker crashes, Function<Task, Optional<JobOwner>> owners) {
        this.timers = timers;
        this.crashes = crashes;
        this.owners = owners;
    }

    /** Records that an agent's minion may have crashed during a run of a task. */
    void suspect(Peer agent, Task task, long run, String minion) {
        if (task.status() != Task.Status.DONE && !task.job().phase().isFinal()) {
            crashes.recordSuspicion(task, run, reporter(agent), minion, timers.nanos());
        }
    }

    /** Records that the minion has not crashed during a run. */
    void disprove(Task task, long run) {
        crashes.recordDisproved(task, run);
        releaseTasks();
    }

    /**
     * Drops the suspicions that an agent has reported and that its inventory doesn't contain any more: they were
     * disproved while there was no link.
     */
    void applyInventory(Peer agent, List<RunEnd> ends) {
        Set<RunKey> suspected = new HashSet<>();
        for (RunEnd end : ends) {
            EndCodec.decode(end)
                    .filter(decoded -> decoded.outcome() == RunOutcome.CRASH_SUSPECTED)
                    .ifPresent(decoded -> suspected.add(decoded.run()));
        }
        for (Task task : crashes.tasksWithSuspicion()) {
            for (CrashSuspicion suspicion : task.crashSuspicions()) {
                RunKey run = new RunKey(task.key(), suspicion.run());
                if (suspicion.reporter().equals(reporter(agent)) && !suspected.contains(run)) {
                    disprove(task, suspicion.run());
                }
            }
        }
    }

    /** Resolves the suspicions of an agent's earlier incarnation by its report on the minion. */
    void applyReport(Peer agent, WorkerReport report) {
        if (report.getMinion().isEmpty()) {
            return;
        }
        for (Task task : crashes.tasksWithSuspicion()) {
            for (CrashSuspicion suspicion : task.crashSuspicions()) {
                if (isOfEarlierIncarnation(suspicion, agent)) {
                    resolve(task, suspicion, report);
                }
            }
        }
    }

    private void resolve(Task task, CrashSuspicion suspicion, WorkerReport report) {
        if (!suspicion.isSameMinion(report.getMinion())) {
            owners.apply(task).ifPresent(owner -> owner.earlierRunCrashed(task, suspicion.run(), () -> {}));
            releaseTasks();
        } else if (report.getAccepting()) {
            // A restarted agent may report its predecessor's minion; it accepts starts once that has answered.
            disprove(task, suspicion.run());
        }
    }

    private static boolean isOfEarlierIncarnation(CrashSuspicion suspicion, Peer agent) {
        return suspicion.reporter().process().equals(agent.process())
                && suspicion.reporter().incarnation() < agent.incarnation();
    }

    private static CrashSuspicion.Reporter reporter(Peer agent) {
        return new CrashSuspicion.Reporter(agent.process(), agent.incarnation());
    }

    /** Has the tasks placed that need no longer be held back. */
    void releaseTasks() {
        for (Task task : crashes.release(timers.nanos())) {
            owners.apply(task).ifPresent(owner -> owner.reconsider(task));
        }
    }
}
