package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.placement.PlacementPolicy;
import org.chivetally.queue.placement.Worker;

/** Detects slow workers by their overdue runs, and moves those of in-memory jobs to other workers. */
final class OverdueRuns {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Collection<Worker> workers;
    private final BiConsumer<Worker, Worker.SentStart> stopper;

    /**
     * Creates an instance.
     *
     * @param workers all known workers, updated by the entry
     * @param stopper stops a run, which is then started elsewhere
     */
    OverdueRuns(Collection<Worker> workers, BiConsumer<Worker, Worker.SentStart> stopper) {
        this.workers = workers;
        this.stopper = stopper;
    }

    /**
     * Stops overdue runs of in-memory jobs on slow workers, to start them elsewhere: stalled tasks would hold their
     * callers until the deadline. Stops nothing while many workers look slow, as something else is the cause.
     *
     * @param now the time, in nanoseconds of the monotonic clock
     */
    void moveFromSlowWorkers(long now) {
        List<Worker> slow = new ArrayList<>();
        int accepting = 0;
        for (Worker worker : workers) {
            accepting += worker.acceptsStarts(now) ? 1 : 0;
            boolean late = !worker.markNewlyOverdue(now).isEmpty();
            if (worker.health().isSlow()) {
                slow.add(worker);
                if (late) {
                    EventLine.of("worker-slow")
                            .with("worker", worker.process())
                            .with("overdue", worker.overdue().size())
                            .log(LOGGER.atWarning());
                }
            }
        }
        if (PlacementPolicy.MINIMUM_WORKERS_PER_AVOIDED * slow.size() > accepting) {
            return;
        }
        for (Worker worker : slow) {
            for (Worker.SentStart start : worker.overdue()) {
                if (!start.task().job().isDurable()
                        && !start.task().job().phase().isFinal()) {
                    stopper.accept(worker, start);
                }
            }
        }
    }
}
