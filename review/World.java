import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the minions of a run have seen: starts, ends and acknowledgements of ends, in the order of their times. */
final class World {
    private final Record record;
    private final List<Start> starts = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Integer> failedRuns = new HashMap<>();
    private final Map<String, Integer> beganRuns = new HashMap<>();

    World(Record record) {
        this.record = record;
    }

    /** A task that a minion has begun on an order. */
    record Start(long at, String minion, String task, long run) {
        String job() {
            return task.substring(0, task.indexOf('.'));
        }
    }

    /** The end of a run; {@code noted} once it was acknowledged and no lease had lapsed since it was listed. */
    static final class End {
        private final long at;
        private final String minion;
        private final long number;
        private final String task;
        private final long run;
        private final String how;
        private final long lapses;
        private volatile long notedAt = -1;

        private End(long at, String minion, long number, String task, long run, String how, long lapses) {
            this.at = at;
            this.minion = minion;
            this.number = number;
            this.task = task;
            this.run = run;
            this.how = how;
            this.lapses = lapses;
        }

        long at() {
            return at;
        }

        String minion() {
            return minion;
        }

        String task() {
            return task;
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        long run() {
            return run;
        }

        String how() {
            return how;
        }

        long lapses() {
            return lapses;
        }

        long notedAt() {
            return notedAt;
        }
    }

    /**
     * Records a start; returns whether this run is to fail.
     *
     * @param failures how many of a task's first runs fail, or {@code always}
     * @param permille share of the tasks that fail at all, in thousandths
     */
    synchronized boolean started(String minion, String task, long run, String failures, int permille) {
        long now = Record.now();
        starts.add(new Start(now, minion, task, run));
        record.logAt(now, "start " + task + " run " + run + " on " + minion);
        int began = beganRuns.merge(task, 1, Integer::sum);
        if (Math.floorMod(task.hashCode() * 31 + 7, 1_000) >= permille) {
            return false;
        }
        return failures.equals("always") || began <= Integer.parseInt(failures);
    }

    synchronized End ended(String minion, long number, String task, long run, String how, long lapses) {
        long now = Record.now();
        End end = new End(now, minion, number, task, run, how, lapses);
        ends.add(end);
        if (how.equals("failed")) {
            failedRuns.merge(task, 1, Integer::sum);
        }
        record.logAt(now, "end " + task + " run " + run + " on " + minion + " " + how + " as end " + number);
        return end;
    }

    synchronized void acknowledged(End end, boolean leaseKept) {
        if (leaseKept) {
            end.notedAt = Record.now();
        }
        record.logAt(
                Record.now(),
                "acknowledged end " + end.number + " on " + end.minion + ": " + end.task + " run " + end.run
                        + (leaseKept ? "" : ", after its lease had lapsed"));
    }

    synchronized List<Start> starts() {
        return List.copyOf(starts);
    }

    synchronized List<End> ends() {
        return List.copyOf(ends);
    }

    /** Number of ends {@code failed} by task. */
    synchronized Map<String, Integer> failedRuns() {
        return Map.copyOf(failedRuns);
    }
}
