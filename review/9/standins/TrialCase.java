import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import tools.jackson.databind.node.ObjectNode;

/** Runs a case and ends with a code that run.sh of the case translates: a JVM that fails to start also ends with 1. */
final class TrialCase {
    private static final int HELD = 0;
    private static final int BROKEN = 10;
    private static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 115_000;

    private TrialCase() {}

    /** A case: returns whether the rule held. */
    interface Play {
        boolean holds(TrialRecord record, boolean trouble) throws Exception;
    }

    /** The preconditions of a case were not met. */
    static final class NotRun extends Exception {
        private static final long serialVersionUID = 1;

        NotRun(String reason) {
            super(reason);
        }
    }

    static void run(Path folder, Play play) throws IOException {
        endAfterLimit();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (TrialRecord record = new TrialRecord(folder.resolve("record.txt"))) {
            try {
                boolean held = play.holds(record, trouble);
                record.add("verdict", held ? "held" : "broken", trouble ? "" : "without the disruption");
                code = held ? HELD : BROKEN;
            } catch (Throwable e) {
                record.add("verdict", "not run", String.valueOf(e));
                code = NOT_RUN;
            }
        }
        System.exit(code);
    }

    private static void endAfterLimit() {
        Thread watchdog = new Thread(() -> {
            TrialServer.sleep(LIMIT_MILLIS);
            System.exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    static String jobId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns a job of steps of one task each, one after the other. */
    static ObjectNode chain(int steps, long taskMillis) {
        ObjectNode job = TrialServer.object().put("spec", String.valueOf(taskMillis));
        var rows = job.putArray("steps");
        for (int number = 0; number < steps; number++) {
            ObjectNode step = rows.addObject()
                    .put("count", 1)
                    .put("cpu", 500)
                    .put("mem_mb", 64)
                    .put("estimated_ms", taskMillis);
            if (number > 0) {
                step.putArray("after").add(number - 1);
            }
        }
        return job;
    }

    /** Returns a job of one step. */
    static ObjectNode single(int tasks, int cpu, long taskMillis) {
        ObjectNode job = TrialServer.object().put("spec", String.valueOf(taskMillis));
        job.putArray("steps")
                .addObject()
                .put("count", tasks)
                .put("cpu", cpu)
                .put("mem_mb", 64)
                .put("estimated_ms", taskMillis);
        return job;
    }

    /** Submits a job as a client does: again after no answer, a 502 or a 504, and after the time that a refusal names. */
    static TrialClient.Answer submit(TrialClient client, String path, ObjectNode job) {
        TrialClient.Answer answer = client.call("POST", path, job.toString(), 1_500);
        for (int attempt = 1; attempt < 10 && answer.status() / 100 != 2; attempt++) {
            TrialServer.sleep(100);
            answer = client.call("POST", path, job.toString(), 1_500);
        }
        return answer;
    }

    static void await(TrialRecord record, long atMillis) {
        long left = atMillis - record.nowMillis();
        if (left > 0) {
            TrialServer.sleep(left);
        }
    }

    /** Records the events of a kind later than a time, and returns whether there are none. */
    static boolean noneLater(TrialRecord record, String kind, String subject, long limitMillis) {
        boolean none = true;
        for (TrialRecord.Event event : record.of(kind, subject)) {
            if (event.atMillis() > limitMillis) {
                none = false;
                record.add("violation", event.subject(), kind + " at " + event.atMillis() + " ms, allowed until "
                        + limitMillis + " ms");
            }
        }
        return none;
    }
}
