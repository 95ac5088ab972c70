import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An entry stands still while others take over its jobs. Jobs are accepted by the others meanwhile, and cancelled over
 * connections to the entry that stands still.
 */
final class StaleCancel {
    private static final int JOBS = 24;
    private static final long FREEZE_MILLIS = 4_000;
    private static final long SUBMIT_AFTER_MILLIS = 2_500;
    private static final long CANCEL_AFTER_MILLIS = 3_500;
    private static final int CALLER_TIMEOUT_MILLIS = 1_500;
    private static final long CANCEL_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3, 3, 64_000, record)) {
            deployment.start(Deployment.route(2));
            exit = run(deployment, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        Deployment.Process frozen = deployment.entries.get(0);
        String other = deployment.entries.get(1).frontend();
        List<Client> connections = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            connections.add(new Client(frozen.frontend()));
        }
        long begin = Record.now();
        if (trouble) {
            record.say(frozen.name + " stands still for " + FREEZE_MILLIS + " ms");
            frozen.signal("STOP");
        }
        sleepUntil(begin + SUBMIT_AFTER_MILLIS);
        // Ten steps, one after the other, of one task of a second each.
        List<Map<String, Object>> steps = new ArrayList<>();
        for (int step = 0; step < 10; step++) {
            Map<String, Object> fields = new HashMap<>(
                    Map.of("count", 1, "cpu", 1_000, "mem_mb", 64, "estimated_ms", 1_000));
            if (step > 0) {
                fields.put("after", List.of(step - 1));
            }
            steps.add(fields);
        }
        List<String> jobs = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            String id = deployment.newId();
            if (deployment.submit(other, id, "1000", steps).status() == 200) {
                jobs.add(id);
            }
        }
        record.say(jobs.size() + " of " + JOBS + " jobs were accepted by " + deployment.entries.get(1).name);
        if (jobs.size() < JOBS / 2) {
            return 2;
        }
        sleepUntil(begin + CANCEL_AFTER_MILLIS);
        Map<String, Long> acknowledged = new ConcurrentHashMap<>();
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < jobs.size(); number++) {
                String id = jobs.get(number);
                Client connection = connections.get(number);
                clients.submit(() -> cancel(deployment, connection, id, acknowledged, statuses));
            }
            if (trouble) {
                sleepUntil(begin + FREEZE_MILLIS);
                frozen.signal("CONT");
            }
        }
        record.say(acknowledged.size() + " cancels were acknowledged; first answers: " + counts(statuses));
        Thread.sleep(CANCEL_MILLIS + 6_000);
        int unasked = 0;
        List<String> affected = new ArrayList<>();
        for (World.Start start : deployment.world.starts()) {
            Long at = acknowledged.get(start.job());
            if (at != null && start.at() > at + CANCEL_MILLIS) {
                unasked++;
                if (!affected.contains(start.job())) {
                    affected.add(start.job());
                }
                record.log("UNASKED: " + start.task() + " was started on " + start.minion() + " at " + start.at()
                        + ", and the cancelling was acknowledged at " + at);
            }
        }
        for (String id : affected) {
            record.log("state of " + id + ": " + deployment.state(id));
        }
        record.say(unasked + " starts of " + affected.size() + " jobs later than " + CANCEL_MILLIS
                + " ms after their cancelling was acknowledged");
        return unasked > 0 ? 1 : 0;
    }

    /** Cancels a job over an open connection, and then at the other entries until it is acknowledged. */
    private static void cancel(
            Deployment deployment,
            Client connection,
            String id,
            Map<String, Long> acknowledged,
            Map<String, Integer> statuses) {
        deployment.record.log("sent DELETE " + id + " to " + deployment.entries.get(0).name);
        Client.Answer answer = connection.send(
                "DELETE", Deployment.PREFIX + id, Deployment.headers(), "", CALLER_TIMEOUT_MILLIS);
        statuses.put(id, answer.status());
        for (int attempt = 1; ; attempt++) {
            deployment.record.log("answered DELETE " + id + ": " + answer.status() + ' ' + answer.body());
            if (answer.status() / 100 == 2 || answer.status() == 410) {
                acknowledged.put(id, Record.now());
                return;
            }
            if (attempt == 10) {
                return;
            }
            try {
                Thread.sleep(300);
            } catch (InterruptedException e) {
                return;
            }
            answer = Client.call(
                    deployment.entries.get(1 + attempt % 2).frontend(),
                    "DELETE",
                    Deployment.PREFIX + id,
                    Deployment.headers(),
                    "",
                    CALLER_TIMEOUT_MILLIS);
        }
    }

    private static Map<Integer, Integer> counts(Map<String, Integer> statuses) {
        Map<Integer, Integer> counts = new HashMap<>();
        statuses.values().forEach(status -> counts.merge(status, 1, Integer::sum));
        return counts;
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Record.now()));
    }
}
