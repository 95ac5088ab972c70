import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import tools.jackson.databind.node.ObjectNode;

/**
 * TWICE: the owner of a job starts its second step, but can't store the end of the first one. The next owner learns of
 * both from the agents, has the run of the second step stopped, and starts the task again without waiting for its end.
 */
final class StartedStepStopped {
    private static final long FIRST_STEP_MILLIS = 500;
    private static final long SECOND_STEP_MILLIS = 3_500;
    private static final long SUBMIT_INTERVAL_MILLIS = 30;
    private static final long CALM_MILLIS = 12_000;

    /** Length of a rejection, as on the site's day trouble-1, which has two. */
    private static final long REJECTED_MILLIS = 7_000;

    /** The three edge machines of the site and its three spare ones. */
    private static final int ENTRIES = 6;

    private static final int REJECTIONS = 3;
    private static final long SETTLE_MILLIS = 10_000;

    private StartedStepStopped() {}

    public static void main(String[] arguments) throws Exception {
        TrialCase.run(Path.of(arguments[0]), (record, trouble) -> {
            try (TrialDeployment deployment = new TrialDeployment(record, ENTRIES, 3, 8_000)) {
                deployment.start();
                return play(deployment, record, trouble);
            }
        });
    }

    private static boolean play(TrialDeployment deployment, TrialRecord record, boolean trouble) {
        List<TrialClient> clients = new ArrayList<>();
        deployment.entries.forEach(entry -> clients.add(deployment.client(entry)));
        List<CompletableFuture<?>> answers = new ArrayList<>();
        long from = record.nowMillis();
        for (int rejection = 0; rejection < REJECTIONS; rejection++) {
            String machine = deployment.entries.get(rejection).name();
            submitUntil(from + CALM_MILLIS, record, clients, answers);
            if (trouble) {
                deployment.store.reject(machine, true);
                record.add("store-rejects", machine, "with 503 for " + REJECTED_MILLIS + " ms");
            }
            submitUntil(from + CALM_MILLIS + REJECTED_MILLIS, record, clients, answers);
            deployment.store.reject(machine, false);
            from = record.nowMillis();
        }
        answers.forEach(CompletableFuture::join);
        TrialServer.sleep(SETTLE_MILLIS);
        return noneTwice(record);
    }

    private static void submitUntil(
            long untilMillis, TrialRecord record, List<TrialClient> clients, List<CompletableFuture<?>> answers) {
        while (record.nowMillis() < untilMillis) {
            TrialClient client = clients.get(ThreadLocalRandom.current().nextInt(clients.size()));
            answers.add(client.send("POST", TrialDeployment.PREFIX + TrialCase.jobId(), job().toString(), 1_500));
            TrialServer.sleep(SUBMIT_INTERVAL_MILLIS);
        }
    }

    private static ObjectNode job() {
        ObjectNode body = TrialServer.object().put("spec", FIRST_STEP_MILLIS + "," + SECOND_STEP_MILLIS);
        var steps = body.putArray("steps");
        steps.addObject().put("count", 1).put("cpu", 60).put("mem_mb", 64).put("estimated_ms", FIRST_STEP_MILLIS);
        steps.addObject()
                .put("count", 2)
                .put("cpu", 60)
                .put("mem_mb", 64)
                .put("estimated_ms", SECOND_STEP_MILLIS)
                .putArray("after")
                .add(0);
        return body;
    }

    /** Records the starts of tasks that were running elsewhere, and returns whether there are none. */
    private static boolean noneTwice(TrialRecord record) {
        boolean none = true;
        Map<String, Map<String, String>> running = new HashMap<>();
        for (TrialRecord.Event event : record.all()) {
            Map<String, String> runs = running.computeIfAbsent(event.subject(), same -> new HashMap<>());
            String[] words = event.details().split(" ");
            if (event.kind().equals("start")) {
                if (!runs.isEmpty()) {
                    none = false;
                    record.add("violation", event.subject(), "run " + words[1] + " starts on " + words[3] + " at "
                            + event.atMillis() + " ms while it runs as " + runs);
                }
                runs.put("run " + words[1], words[3]);
            } else if (event.kind().equals("end")) {
                runs.remove("run " + words[1]);
            }
        }
        return none;
    }
}
