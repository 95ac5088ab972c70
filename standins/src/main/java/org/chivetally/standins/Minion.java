package org.chivetally.standins;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/** Core of a minion stand-in without its HTTP interface: slots, faults, and the record of starts. Thread-safe. */
final class Minion {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String ALL_SLOTS_TAKEN = "all slots are taken";
    private static final String DOWN = "the minion is down";

    private final ActorSystem<?> system;
    private final NanoClock clock;
    private final MinionStandInSettings settings;
    private final Random random;
    private final Optional<StartFile> startFile;
    private final List<MinionStart> starts;
    private MinionFaults faults = MinionFaults.NONE;
    private int running;
    private long overruns;
    private Long drainingSinceNanos;

    Minion(ActorSystem<?> system, NanoClock clock, MinionStandInSettings settings) {
        this.system = system;
        this.clock = clock;
        this.settings = settings;
        this.startFile = settings.record().map(StartFile::new);
        this.starts = startFile.map(StartFile::read).orElseGet(ArrayList::new);
        this.random = new Random(settings.name().hashCode());
    }

    /** Runs a task; the stage completes with its answer, or never if the minion is silent. */
    CompletionStage<MinionAnswer> run(MinionTask task) {
        ExecutionPlan plan;
        int startIndex;
        synchronized (this) {
            if (faults.down()) {
                return CompletableFuture.completedFuture(new MinionAnswer.Refused(DOWN));
            }
            if (running >= faults.usableSlots(settings.slots())) {
                countOverrun(task);
                return CompletableFuture.completedFuture(new MinionAnswer.Refused(ALL_SLOTS_TAKEN));
            }
            running++;
            startIndex = recordStart(task);
            plan = planExecution(task);
        }
        CompletableFuture<MinionAnswer> answer = new CompletableFuture<>();
        runAfter(plan.duration(), () -> finish(startIndex, task, plan, answer));
        return answer;
    }

    /** Counts a task that was refused because a limit was exceeded. */
    synchronized void countOverrun(MinionTask task) {
        overruns++;
        LOG.atWarning().log(
                "%s",
                EventLine.of("minion-overrun")
                        .with("minion", settings.name())
                        .with("job", task.job())
                        .with("task", task.index())
                        .with("attempt", task.attempt())
                        .with("running", running));
    }

    synchronized MinionState state() {
        int free = Math.max(0, faults.usableSlots(settings.slots()) - running);
        return new MinionState(
                free, running, drainingSinceNanos != null, !faults.unhealthy(), overruns, drainingSinceNanos);
    }

    synchronized List<MinionStart> starts() {
        return List.copyOf(starts);
    }

    synchronized int startCount() {
        return starts.size();
    }

    synchronized MinionFaults faults() {
        return faults;
    }

    synchronized void setFaults(MinionFaults newFaults) {
        faults = newFaults;
        LOG.atInfo().log(
                "%s",
                EventLine.of("minion-faults-set")
                        .with("minion", settings.name())
                        .with("faults", newFaults));
    }

    synchronized void drain() {
        if (drainingSinceNanos != null) {
            return;
        }
        drainingSinceNanos = clock.nanos();
        LOG.atInfo().log("%s", EventLine.of("minion-draining").with("minion", settings.name()));
    }

    private int recordStart(MinionTask task) {
        starts.add(new MinionStart(
                task.job(),
                task.index(),
                task.attempt(),
                clock.nanos(),
                null,
                MinionStart.RUNNING,
                task.work().token()));
        int index = starts.size() - 1;
        write(index);
        return index;
    }

    private void write(int index) {
        startFile.ifPresent(record -> record.write(index, starts.get(index)));
    }

    private ExecutionPlan planExecution(MinionTask task) {
        if (faults.failEveryTask()) {
            return new ExecutionPlan(Duration.ZERO, true, faults.silent());
        }
        double factor = isSampled(faults.straggleShare()) ? faults.straggleFactor() : 1;
        Duration duration = Duration.ofMillis(Math.round(task.work().workMillis() * factor) + faults.delayMillis());
        boolean fails = task.work().fail() || isSampled(faults.failShare());
        return new ExecutionPlan(duration, fails, faults.silent());
    }

    private boolean isSampled(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /**
     * Ends a task. The slot is released before the answer is sent, so that a caller that receives the answer can use
     * it.
     */
    private void finish(int startIndex, MinionTask task, ExecutionPlan plan, CompletableFuture<MinionAnswer> answer) {
        synchronized (this) {
            running--;
            starts.set(startIndex, starts.get(startIndex).asEnded(clock.nanos(), plan.outcome()));
            write(startIndex);
        }
        if (plan.silent()) {
            return;
        }
        answer.complete(
                plan.fails()
                        ? new MinionAnswer.Failed(task.index(), "the task failed", settings.name())
                        : new MinionAnswer.Done(task.index(), task.work().answer(), settings.name()));
    }

    private void runAfter(Duration delay, Runnable action) {
        if (!delay.isPositive()) {
            action.run();
            return;
        }
        system.scheduler().scheduleOnce(delay, action, system.executionContext());
    }

    /** Duration and result of one task, determined when it starts. */
    private record ExecutionPlan(Duration duration, boolean fails, boolean silent) {
        String outcome() {
            if (silent) {
                return MinionStart.SILENT;
            }
            return fails ? MinionStart.FAILED : MinionStart.DONE;
        }
    }
}
