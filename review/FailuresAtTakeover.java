import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** One minion fails all that it starts. One entry is killed meanwhile, and others take over its jobs. */
final class FailuresAtTakeover {
    private static final int AGENTS = 11;
    private static final int MAX_ATTEMPTS = 2;
    private static final int TASKS = 4;
    private static final int TASK_MILLIS = 1_286;
    private static final int JOBS_PER_SECOND = 100;
    private static final long TRAFFIC_MILLIS = 9_000;
    private static final long FAILING_AFTER_MILLIS = 3_000;
    private static final long FAILING_MILLIS = 6_500;
    private static final long KILL_AFTER_MILLIS = 4_000;
    private static final long RESTART_AFTER_MILLIS = 3_500;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3, AGENTS, 64_000, record)) {
            deployment.start(Deployment.route(MAX_ATTEMPTS));
            exit = run(deployment, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        long begin = Record.now();
        Thread failing = Thread.ofVirtual().start(() -> {
            if (trouble || "failing".equals(System.getenv("ALSO"))) {
                failAll(deployment);
            }
        });
        Thread operator = Thread.ofVirtual().start(() -> {
            if (trouble) {
                killOneEntry(deployment);
            }
        });
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; Record.now() < begin + TRAFFIC_MILLIS; number++) {
                int first = number;
                clients.submit(() -> submit(deployment, first, accepted));
                Thread.sleep(1_000 / JOBS_PER_SECOND);
            }
        }
        operator.join();
        failing.join();
        record.say(accepted.size() + " jobs were accepted");
        if (accepted.isEmpty()) {
            return 2;
        }
        Thread.sleep(5_000);
        Map<String, String> states = new TreeMap<>();
        List<String> open = new ArrayList<>(accepted);
        for (long until = Record.now() + 30_000; !open.isEmpty() && Record.now() < until; Thread.sleep(200)) {
            open.removeIf(id -> {
                String state = deployment.state(id);
                states.put(id, state);
                return state.equals("completed") || state.equals("failed");
            });
        }
        Map<String, Integer> byState = new TreeMap<>();
        states.values().forEach(state -> byState.merge(state, 1, Integer::sum));
        record.say("states of the jobs: " + byState);
        return check(deployment, states);
    }

    /** Submits a job; after no answer, a broken connection, 502 or 504 it is sent again with the same id. */
    private static void submit(Deployment deployment, int number, List<String> accepted) {
        String id = deployment.newId();
        String spec = String.valueOf(TASK_MILLIS);
        for (int attempt = 0; attempt < 5; attempt++) {
            Client.Answer answer = deployment.submit(
                    deployment.entries.get((number + attempt) % 3).frontend(),
                    id,
                    spec,
                    List.of(Map.of("count", TASKS, "cpu", 1_000, "mem_mb", 64, "estimated_ms", TASK_MILLIS)));
            if (answer.status() == 200) {
                accepted.add(id);
                return;
            }
            if (answer.status() != 0 && answer.status() != 502 && answer.status() != 504) {
                return;
            }
        }
    }

    private static void failAll(Deployment deployment) {
        try {
            Minion minion = deployment.minions.get(0);
            Thread.sleep(FAILING_AFTER_MILLIS);
            deployment.record.say("minion i-1 fails all that it starts for " + FAILING_MILLIS + " ms");
            minion.setFailing(true);
            Thread.sleep(FAILING_MILLIS);
            minion.setFailing(false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void killOneEntry(Deployment deployment) {
        try {
            Thread.sleep(KILL_AFTER_MILLIS);
            Deployment.Process entry = deployment.entries.get(0);
            deployment.record.say(entry.name + " is killed, and starts again " + RESTART_AFTER_MILLIS + " ms later");
            entry.signal("KILL");
            Thread.sleep(RESTART_AFTER_MILLIS);
            entry.start();
        } catch (Exception failure) {
            failure.printStackTrace();
        }
    }

    /** LOST: a job is shown as {@code failed}, and no task of it has ended {@code failed} max_attempts times. */
    private static int check(Deployment deployment, Map<String, String> states) {
        Map<String, Integer> mostFailures = new HashMap<>();
        deployment.world.failedRuns().forEach((task, count) ->
                mostFailures.merge(task.substring(0, task.indexOf('.')), count, Math::max));
        int lost = 0;
        for (Map.Entry<String, String> job : states.entrySet()) {
            int failures = mostFailures.getOrDefault(job.getKey(), 0);
            if (job.getValue().equals("failed") && failures < MAX_ATTEMPTS) {
                lost++;
                deployment.record.log("LOST: " + job.getKey() + " is shown as failed, and no task of it has failed more than "
                        + failures + " time(s) of " + MAX_ATTEMPTS);
            }
        }
        deployment.record.say(lost + " accepted jobs are shown as failed without cause");
        return lost > 0 ? 1 : 0;
    }
}
