import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * A sound minion as the platform's page describes it. The spec of a task is its duration in milliseconds, or a list of
 * durations by step; a spec of the form "crash MILLISECONDS" crashes the minion after that time.
 */
final class TrialMinion implements AutoCloseable {
    /** max_hold_ms and heartbeat_interval_ms of the deployment. */
    private static final long MAXIMUM_HOLD_MILLIS = 1_000;

    private static final long HEARTBEAT_MILLIS = 1_500;

    /** Time that a stop takes; stop_timeout_ms of the deployment is 50. */
    private static final long STOP_MILLIS = 48;
    private static final int LISTED_ENDS = 500;

    private final TrialRecord record;
    private final String name;
    private final String service;
    private final String zone;
    private final List<String> labels;
    private final int cpu;
    private final int port;
    private final int agentPort;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private TrialServer server;
    private int life = 1;
    private long endNumber;
    private long sequence;
    private long token;
    private long leaseUntilMillis;
    private long bornNanos = System.nanoTime();
    private volatile boolean silent;
    private volatile boolean cut;
    private long crashDownMillis;
    private boolean crashesSilently;

    private boolean leased;
    private long lapses;

    private record Run(long number, long endsAtMillis, boolean crashes) {}

    /** A listed end, with the number of lapses of the lease before it. */
    private record End(String task, long run, String how, long lapses) {}

    TrialMinion(TrialRecord record, String name, String service, String zone, List<String> labels, int cpu, int agentPort)
            throws IOException {
        this.record = record;
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.labels = labels;
        this.cpu = cpu;
        this.agentPort = agentPort;
        this.port = TrialServer.freePort();
        this.server = new TrialServer(port, this::handle);
        scheduler.scheduleAtFixedRate(this::endDueRuns, 2, 2, TimeUnit.MILLISECONDS);
        scheduler.scheduleWithFixedDelay(this::announce, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    int port() {
        return port;
    }

    private String id() {
        return name + "-" + life;
    }

    private long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    /** Sets what a crash by a task does: how long the minion is down, and whether it is silent or refuses connections. */
    synchronized void onCrash(long downMillis, boolean silently) {
        crashDownMillis = downMillis;
        crashesSilently = silently;
    }

    /** Crashes now; the minion is back as another boot after a time. */
    synchronized void crash(long downMillis, boolean silently) {
        record.add("minion-crash", id(), silently ? "silent" : "refuses connections");
        running.clear();
        ends.clear();
        leased = false;
        highestRuns.clear();
        token = 0;
        leaseUntilMillis = 0;
        endNumber = 0;
        silent = true;
        notifyAll();
        if (!silently) {
            server.close();
        }
        boolean listens = silently;
        scheduler.schedule(() -> restart(listens), downMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Is cut off from all machines for a time and runs on; connections to it are refused. Its leases are not extended
     * meanwhile.
     */
    synchronized void cutOff(long millis) {
        record.add("minion-cut", id(), "refuses connections for " + millis + " ms, and runs on");
        cut = true;
        server.close();
        scheduler.schedule(this::healCut, millis, TimeUnit.MILLISECONDS);
    }

    private void healCut() {
        try {
            synchronized (this) {
                server = new TrialServer(port, this::handle);
                cut = false;
                record.add("minion-healed", id(), "");
            }
            announce();
        } catch (IOException e) {
            record.add("minion-failed", name, String.valueOf(e));
        }
    }

    private void restart(boolean listens) {
        try {
            synchronized (this) {
                if (!listens) {
                    server = new TrialServer(port, this::handle);
                }
                life++;
                sequence = 0;
                bornNanos = System.nanoTime();
                silent = false;
                record.add("minion-boot", id(), "");
            }
            announce();
        } catch (IOException e) {
            record.add("minion-failed", name, String.valueOf(e));
        }
    }

    private void announce() {
        ObjectNode body = TrialServer.object();
        String id;
        synchronized (this) {
            if (silent || cut) {
                return;
            }
            id = id();
            sequence++;
            body.put("backend", service).put("address", "127.0.0.1:" + port).put("zone", zone);
            body.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
            body.putObject("capacity").put("cpu", cpu).put("mem_mb", 131_072).put("gpus", 0);
            ArrayNode rows = body.putArray("labels");
            labels.forEach(rows::add);
            body.put("clock_ms", clock()).put("sequence", sequence);
        }
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + agentPort + "/Instances.Heartbeat/" + id))
                .timeout(Duration.ofSeconds(1))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(TrialServer.JSON.writeValueAsBytes(body)))
                .build();
        try {
            client.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The agent is down; the next heartbeat tells the same.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void endDueRuns() {
        long now = clock();
        boolean lapsed = now > leaseUntilMillis;
        lapses += lapsed && leased ? 1 : 0;
        leased &= !lapsed;
        for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
            Run run = entry.getValue();
            if (lapsed) {
                end(entry.getKey(), run, "lapsed");
            } else if (now >= run.endsAtMillis() && run.crashes()) {
                crash(crashDownMillis, crashesSilently);
                return;
            } else if (now >= run.endsAtMillis()) {
                end(entry.getKey(), run, "done");
            }
        }
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        highestRuns.merge(task, run.number(), Math::max);
        endNumber++;
        ends.put(endNumber, new End(task, run.number(), how, lapses));
        record.add("end", task, "run " + run.number() + " " + how + " on " + id());
        notifyAll();
    }

    private void handle(HttpExchange exchange, byte[] body) throws IOException {
        if (silent) {
            stayMute();
            return;
        }
        JsonNode request = TrialServer.JSON.readTree(body);
        String expected = exchange.getRequestHeaders().getFirst("Chivetally-Expect-Instance");
        ObjectNode answer = TrialServer.object();
        int status;
        synchronized (this) {
            status = execute(exchange.getRequestURI().getPath(), request, expected, answer);
            answer.put("clock_ms", clock());
        }
        if (silent) {
            stayMute();
            return;
        }
        TrialServer.answer(exchange, status, answer);
    }

    /** Keeps a connection open without an answer, as a machine without power does. */
    private void stayMute() {
        while (silent) {
            TrialServer.sleep(20);
        }
        TrialServer.sleep(2_000);
    }

    private int execute(String path, JsonNode request, String expected, ObjectNode answer) throws IOException {
        if (!id().equals(expected)) {
            return 421;
        }
        long fencingToken = request.path("fencing_token").asLong(0);
        if (fencingToken < token) {
            answer.put("reason", "fence");
            return 409;
        }
        token = fencingToken;
        return switch (path) {
            case "/run-start" -> start(request, answer);
            case "/run-stop" -> stop(request);
            case "/hold" -> hold(request, answer);
            default -> 404;
        };
    }

    private void extendLease(JsonNode request) {
        leased = true;
        long until = Math.min(request.path("deadline_ms").asLong(0), clock() + MAXIMUM_HOLD_MILLIS);
        leaseUntilMillis = Math.max(leaseUntilMillis, until);
    }

    private int start(JsonNode request, ObjectNode answer) {
        String task = request.path("task").asString();
        long number = request.path("run_id").asLong();
        if (request.path("deadline_ms").asLong() < clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extendLease(request);
        Run present = running.get(task);
        if (present != null && present.number() == number) {
            return 200;
        }
        if (present != null || highestRuns.getOrDefault(task, 0L) >= number) {
            answer.put("reason", "old");
            return 409;
        }
        String[] words = request.path("spec").asString().split(" ");
        boolean crashes = words[0].equals("crash");
        String[] bySteps = words[crashes ? 1 : 0].split(",");
        int step = Integer.parseInt(task.split("\\.")[2]);
        long millis = Long.parseLong(bySteps[Math.min(step, bySteps.length - 1)]);
        running.put(task, new Run(number, clock() + millis, crashes));
        record.add("start", task, "run " + number + " on " + id() + " of " + request.path("spec").asString());
        return 200;
    }

    private int stop(JsonNode request) {
        String task = request.path("task").asString();
        long number = request.path("run_id").asLong();
        highestRuns.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number() <= number) {
            scheduler.schedule(() -> endStopped(task, run), STOP_MILLIS, TimeUnit.MILLISECONDS);
        }
        return 200;
    }

    private synchronized void endStopped(String task, Run run) {
        if (running.get(task) == run) {
            end(task, run, "stopped");
        }
    }

    private int hold(JsonNode request, ObjectNode answer) throws IOException {
        Map<Long, End> acknowledged = ends.headMap(request.path("acked_through").asLong(0), true);
        for (End end : acknowledged.values()) {
            boolean counts = end.lapses() == lapses;
            record.add("noted", end.task(), "run " + end.run() + " " + end.how() + (counts ? "" : " after a lapse"));
        }
        acknowledged.clear();
        if (request.has("deadline_ms")) {
            extendLease(request);
        }
        int called = life;
        long until = clock() + request.path("wait_ms").asLong(0);
        while (ends.isEmpty() && life == called && !silent && clock() < until) {
            try {
                wait(Math.max(1, until - clock()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            }
        }
        if (life != called) {
            return 421;
        }
        ArrayNode runs = answer.putArray("running");
        running.forEach((task, run) ->
                runs.addArray().add(task).add(run.number()).add("").add(50).add(0));
        ArrayNode finished = answer.putArray("finished");
        ends.entrySet().stream().limit(LISTED_ENDS).forEach(entry -> finished.addArray()
                .add(entry.getKey())
                .add(entry.getValue().task())
                .add(entry.getValue().run())
                .add(entry.getValue().how())
                .add(""));
        return 200;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        server.close();
    }
}
