import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The only minion of a rack is lost for good, so that jobs which require the rack's label can't run any more. Other jobs
 * come meanwhile, among them three large ones.
 */
final class StarvedJobs {
    private static final int MINIONS = 10;
    private static final int LARGE_TASKS = 800;
    private static final int LARGE_TASK_MILLIS = 200;
    private static final long TRAFFIC_MILLIS = 20_000;
    private static final long LOSS_AFTER_MILLIS = 2_000;
    private static final long FIRST_LARGE_MILLIS = 12_000;
    private static final long LARGE_GAP_MILLIS = 3_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(3, MINIONS, 64_000, record)) {
            Map<String, Object> route = Deployment.route(2);
            route.put("target_latency_ms", 60);
            deployment.start(route);
            exit = run(deployment, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Record record = deployment.record;
        List<String> bound = Collections.synchronizedList(new ArrayList<>());
        List<String> free = Collections.synchronizedList(new ArrayList<>());
        List<String> large = Collections.synchronizedList(new ArrayList<>());
        Minion lost = deployment.minions.get(MINIONS - 1);
        String label = "r1-" + (1 + (MINIONS - 1) / 3);
        long begin = Record.now();
        boolean gone = false;
        int largeSent = 0;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; Record.now() < begin + TRAFFIC_MILLIS; number++) {
                if (trouble && !gone && Record.now() >= begin + LOSS_AFTER_MILLIS) {
                    gone = true;
                    record.say("minion i-" + MINIONS + ", the only one with the label " + label + ", is lost for good");
                    lost.lose();
                }
                String entry = deployment.entries.get(number % 3).frontend();
                if (largeSent < 3 && Record.now() >= begin + FIRST_LARGE_MILLIS + largeSent * LARGE_GAP_MILLIS) {
                    largeSent++;
                    clients.submit(() -> submit(deployment, entry, large, LARGE_TASK_MILLIS, LARGE_TASKS, 6_200, ""));
                }
                // One job of eight requires the label of the rack.
                boolean isBound = number % 8 == 0;
                clients.submit(() -> submit(deployment, entry, isBound ? bound : free, 86, 4, 6_200, isBound ? label : ""));
                Thread.sleep(40);
            }
        }
        record.say("accepted: " + bound.size() + " jobs that require the label, " + free.size() + " others, " + large.size()
                + " large ones of " + LARGE_TASKS + " tasks");
        if (large.isEmpty()) {
            return 2;
        }
        Thread.sleep(FINISH_MILLIS);
        int running = 0;
        for (long until = Record.now() + IDLE_MILLIS; Record.now() < until; Thread.sleep(10)) {
            for (Minion minion : deployment.minions) {
                running = Math.max(running, minion.runningTasks());
            }
        }
        record.say("most tasks that ran on a minion at a time in " + IDLE_MILLIS + " ms, from " + FINISH_MILLIS
                + " ms after the end of the traffic: " + running);
        record.say("jobs that require the label: " + states(deployment, bound));
        record.say("others: " + states(deployment, free));
        record.say("large jobs: " + states(deployment, large));
        // LOST: nothing of the job runs for 3 s, though its tasks fit everywhere and no task runs on any minion.
        int starved = 0;
        List<String> all = new ArrayList<>(free);
        all.addAll(large);
        for (String id : all) {
            String state = deployment.state(id);
            if (running == 0 && (state.equals("queued") || state.equals("running"))) {
                starved++;
                record.log("LOST: " + id + " is " + state + ", and nothing runs");
            }
        }
        record.say(starved + " jobs have nothing running though all minions but the lost one are idle");
        return starved > 0 ? 1 : 0;
    }

    private static void submit(
            Deployment deployment, String entry, List<String> accepted, int millis, int tasks, int cpu, String label) {
        String id = deployment.newId();
        Map<String, Object> step =
                new HashMap<>(Map.of("count", tasks, "cpu", cpu, "mem_mb", 64, "estimated_ms", millis));
        if (!label.isEmpty()) {
            step.put("requirements", label);
        }
        if (deployment.submit(entry, id, String.valueOf(millis), List.of(step)).status() == 200) {
            accepted.add(id);
        }
    }

    private static Map<String, Integer> states(Deployment deployment, List<String> jobs) {
        Map<String, Integer> counts = new TreeMap<>();
        jobs.forEach(id -> counts.merge(deployment.state(id), 1, Integer::sum));
        return counts;
    }
}
