import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stored jobs of many short tasks run while the store is down, so that minions list more than 500 ends. */
final class EndsBeyondOneAnswer {
    private static final int JOBS = 288;
    private static final int JOBS_PER_SECOND = 100;
    private static final int TASKS = 32;
    private static final int TASK_MILLIS = 200;
    private static final long OUTAGE_MILLIS = 4_500;

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
        List<String> accepted = Collections.synchronizedList(new ArrayList<>());
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < JOBS; number++) {
                String id = deployment.newId();
                String entry = deployment.entries.get(number % 3).frontend();
                clients.submit(() -> {
                    Client.Answer answer = deployment.submit(entry, id, String.valueOf(TASK_MILLIS), List.of(Map.of(
                            "count", TASKS, "cpu", 1_000, "mem_mb", 64, "estimated_ms", TASK_MILLIS)));
                    if (answer.status() == 200) {
                        accepted.add(id);
                    }
                });
                Thread.sleep(1_000 / JOBS_PER_SECOND);
            }
        }
        record.say(accepted.size() + " of " + JOBS + " jobs were accepted");
        if (accepted.size() < JOBS / 2) {
            return 2;
        }
        if (trouble) {
            record.say("the store is down for " + OUTAGE_MILLIS + " ms");
            deployment.store.setDown(true);
        }
        int most = 0;
        for (long until = Record.now() + OUTAGE_MILLIS; Record.now() < until; Thread.sleep(50)) {
            for (Minion minion : deployment.minions) {
                most = Math.max(most, minion.unacknowledged());
            }
        }
        deployment.store.setDown(false);
        record.say("most ends that one minion listed at a time: " + most);
        long until = Record.now() + 40_000;
        List<String> open = new ArrayList<>(accepted);
        while (!open.isEmpty() && Record.now() < until) {
            Thread.sleep(500);
            open.removeIf(id -> "completed".equals(deployment.state(id)));
        }
        record.say(open.size() + " jobs are not shown as completed");
        Thread.sleep(1_000);
        return check(deployment);
    }

    /** TWICE: a start after a run has ended {@code done}, if that end is taken note of then or later. */
    private static int check(Deployment deployment) {
        Map<String, World.End> done = new HashMap<>();
        for (World.End end : deployment.world.ends()) {
            if (end.how().equals("done") && end.notedAt() >= 0) {
                done.putIfAbsent(end.task(), end);
            }
        }
        int twice = 0;
        for (World.Start start : deployment.world.starts()) {
            World.End end = done.get(start.task());
            if (end != null && start.at() > end.at()) {
                twice++;
                deployment.record.log("TWICE: " + start.task() + " was done on " + end.minion() + " as run " + end.run()
                        + " at " + end.at() + ", taken note of at " + end.notedAt() + ", and started on "
                        + start.minion() + " as run " + start.run() + " at " + start.at());
            }
        }
        deployment.record.say(twice + " starts of tasks whose end 'done' was taken note of");
        return twice > 0 ? 1 : 0;
    }
}
