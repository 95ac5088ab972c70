import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for a minion in the mode {@code invocation}. It starts whatever it is instructed to start, keeps leases,
 * fencing tokens and the list of ends as the pages state, and returns at most 500 ends at a time, the oldest first. The
 * spec of a job has two words: the duration of a task in milliseconds, and how many of its first runs fail by its own
 * fault ({@code always} for all);
 * a third word gives the share of the tasks to which that applies, in thousandths.
 */
final class Minion implements AutoCloseable {
    private static final int MAX_HOLD_MILLIS = 1_000;
    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final int ENDS_PER_ANSWER = 500;

    /** How long a stop takes; the pages allow 50 ms. */
    private static final int STOP_MILLIS = 30;

    private final String id;
    private final int cpu;
    private final String rack;
    private final String agentAddress;
    private final World world;
    private final Server server;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> closedRuns = new HashMap<>();
    private final Map<String, Long> stopsAt = new HashMap<>();
    private final TreeMap<Long, World.End> ends = new TreeMap<>();
    private volatile boolean closed;
    private long lastEnd;
    private long token;
    private long leaseUntil;
    private boolean leased;
    private boolean failing;
    private long lapses;
    private long heartbeats;

    private record Run(String task, long number, long endsAt, boolean fails) {}

    Minion(String id, int cpu, String rack, String agentAddress, World world) throws IOException {
        this.id = id;
        this.cpu = cpu;
        this.rack = rack;
        this.agentAddress = agentAddress;
        this.world = world;
        this.server = new Server(this::handle);
        Thread.ofPlatform().daemon().start(this::watch);
        Thread.ofPlatform().daemon().start(this::sendHeartbeats);
    }

    String address() {
        return server.address();
    }

    private static long clock() {
        return 100_000 + Record.now();
    }

    private void sendHeartbeats() {
        while (!closed) {
            heartbeats++;
            Map<String, Object> beat = new LinkedHashMap<>();
            beat.put("backend", "worker");
            beat.put("address", address());
            beat.put("zone", "zone-a");
            beat.put("version", "v1");
            beat.put("slots", 8);
            beat.put("state", "ready");
            beat.put("cold_remaining_ms", 0);
            beat.put("capacity", Map.of("cpu", cpu, "mem_mb", 131_072, "gpus", 0));
            beat.put("labels", List.of("a", rack));
            beat.put("clock_ms", clock());
            beat.put("sequence", heartbeats);
            String body = Json.write(beat);
            Client.Answer answer = Client.call(agentAddress, "POST", "/Instances.Heartbeat/" + id, Map.of(), body, 1_000);
            pause(answer.status() == 200 ? HEARTBEAT_MILLIS : 200);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends runs whose time has come, and everything when the lease expires. */
    private void watch() {
        while (!closed) {
            pause(2);
            synchronized (this) {
                if (closed) {
                    return;
                }
                expireLease();
                long now = clock();
                for (Run run : List.copyOf(running.values())) {
                    if (run.endsAt() <= now) {
                        end(run, run.fails() ? "failed" : "done");
                    } else if (stopsAt.getOrDefault(run.task(), Long.MAX_VALUE) <= now) {
                        end(run, "stopped");
                    }
                }
            }
        }
    }

    private void expireLease() {
        if (leased && clock() > leaseUntil) {
            leased = false;
            lapses++;
            for (Run run : List.copyOf(running.values())) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task());
        stopsAt.remove(run.task());
        closedRuns.merge(run.task(), run.number(), Math::max);
        lastEnd++;
        ends.put(lastEnd, world.ended(id, lastEnd, run.task(), run.number(), how, lapses));
        notifyAll();
    }

    private void extend(Map<String, Object> request) {
        expireLease();
        long until = Math.min(Json.integer(request, "deadline_ms", 0), clock() + MAX_HOLD_MILLIS);
        if (until > clock()) {
            leased = true;
            leaseUntil = Math.max(leaseUntil, until);
        }
    }

    private void handle(Server.Request request) throws Exception {
        Map<String, Object> body = request.json();
        int status;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            status = execute(request.path(), request.header("Chivetally-Expect-Instance"), body, answer);
            answer.put("clock_ms", clock());
        }
        request.reply(status, answer);
    }

    private int execute(String path, String expected, Map<String, Object> body, Map<String, Object> answer)
            throws InterruptedException {
        if (!id.equals(expected)) {
            return 421;
        }
        if (Json.integer(body, "fencing_token", 0) < token) {
            answer.put("reason", "fence");
            return 409;
        }
        token = Json.integer(body, "fencing_token", 0);
        return switch (path) {
            case "/run-start" -> start(body, answer);
            case "/run-stop" -> stop(body);
            case "/hold" -> hold(body, answer);
            default -> 404;
        };
    }

    private int start(Map<String, Object> body, Map<String, Object> answer) {
        String task = Json.text(body, "task");
        long number = Json.integer(body, "run_id", 0);
        if (Json.integer(body, "deadline_ms", 0) <= clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(body);
        Run present = running.get(task);
        if (present != null && present.number() == number) {
            return 200;
        }
        if (present != null || closedRuns.getOrDefault(task, 0L) >= number) {
            answer.put("reason", "old");
            return 409;
        }
        String[] spec = Json.text(body, "spec").split(" ");
        long endsAt = clock() + Long.parseLong(spec[0]);
        boolean fails = world.started(
                id, task, number, spec.length > 1 ? spec[1] : "0", spec.length > 2 ? Integer.parseInt(spec[2]) : 1_000);
        running.put(task, new Run(task, number, endsAt, fails || failing));
        return 200;
    }

    private int stop(Map<String, Object> body) {
        String task = Json.text(body, "task");
        long number = Json.integer(body, "run_id", 0);
        Run run = running.get(task);
        if (run != null && run.number() <= number) {
            stopsAt.putIfAbsent(task, clock() + STOP_MILLIS);
        }
        closedRuns.merge(task, number, Math::max);
        return 200;
    }

    private int hold(Map<String, Object> body, Map<String, Object> answer) throws InterruptedException {
        expireLease();
        Map<Long, World.End> acknowledged = ends.headMap(Json.integer(body, "acked_through", 0), true);
        for (World.End end : acknowledged.values()) {
            world.acknowledged(end, end.lapses() == lapses);
        }
        acknowledged.clear();
        if (body.containsKey("deadline_ms")) {
            extend(body);
        }
        long until = clock() + Math.min(2_000, Json.integer(body, "wait_ms", 0));
        while (ends.isEmpty() && clock() < until) {
            wait(Math.max(1, until - clock()));
        }
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            runs.add(List.of(run.task(), run.number(), "", 0));
        }
        List<Object> finished = new ArrayList<>();
        for (Map.Entry<Long, World.End> entry : ends.entrySet()) {
            if (finished.size() == ENDS_PER_ANSWER) {
                break;
            }
            World.End end = entry.getValue();
            finished.add(List.of(entry.getKey(), end.task(), end.run(), end.how(), ""));
        }
        answer.put("running", runs);
        answer.put("finished", finished);
        return 200;
    }

    /** From now on all runs that the minion starts end {@code failed}, or none any more. */
    synchronized void setFailing(boolean value) {
        failing = value;
    }

    /** Number of running tasks. */
    synchronized int runningTasks() {
        return running.size();
    }

    /** Loses the minion for good: everything on it is gone, and nothing answers at its address. */
    void lose() {
        close();
        synchronized (this) {
            running.clear();
            ends.clear();
            notifyAll();
        }
    }

    /** Number of ends that are not acknowledged. */
    synchronized int unacknowledged() {
        return ends.size();
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }
}
