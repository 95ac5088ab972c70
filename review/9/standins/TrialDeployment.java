import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: a store, entries, and agents with a minion each. All jobs go to one queue. Settings
 * follow deploy/settings.yaml with the bounds of sites/stispor-jyl.toml.
 */
final class TrialDeployment implements AutoCloseable {
    static final int PARTITIONS = 16;
    static final String PREFIX = "/trial/";
    private static final String SERVICE = "trial-service";
    private static final long READY_MILLIS = 30_000;
    private static final long CONFIGURED_MILLIS = 3_000;

    final TrialRecord record;
    final TrialStore store;
    final List<TrialProcess> entries = new ArrayList<>();
    final List<TrialProcess> agents = new ArrayList<>();
    final List<TrialMinion> minions = new ArrayList<>();
    private final Map<String, Integer> callerPorts = new HashMap<>();
    private final List<Integer> readyPorts = new ArrayList<>();
    private final Path folder;
    private int version;

    TrialDeployment(TrialRecord record, int entryCount, int agentCount, int minionCpu) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("trial");
        this.store = new TrialStore(PARTITIONS);
        // Also ends the processes if the case itself is ended by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        configure(Map.of(PREFIX, "trial-queue"));
        for (int number = 1; number <= entryCount; number++) {
            String name = "entry-" + number;
            int callers = TrialServer.freePort();
            int ready = TrialServer.freePort();
            callerPorts.put(name, callers);
            readyPorts.add(ready);
            entries.add(new TrialProcess(
                    name,
                    "entry",
                    folder,
                    settings(name, "zone-" + number) + "entry:\n  callers: \"127.0.0.1:" + callers
                            + "\"\n  readiness: \"127.0.0.1:" + ready + "\"\n"));
        }
        for (int number = 1; number <= agentCount; number++) {
            String name = "agent-" + number;
            String zone = "zone-" + ((number - 1) % entryCount + 1);
            int announcements = TrialServer.freePort();
            TrialMinion minion = new TrialMinion(
                    record, "minion-" + number, SERVICE, zone, List.of("a", "r1-" + number), minionCpu, announcements);
            minions.add(minion);
            agents.add(new TrialProcess(
                    name,
                    "agent",
                    folder,
                    settings(name, zone) + "agent:\n  announcements: \"127.0.0.1:" + announcements
                            + "\"\n  minion: \"127.0.0.1:" + minion.port() + "\"\n"));
        }
    }

    private String settings(String name, String zone) throws IOException {
        return "process:\n  name: \"" + name + "\"\n  failureDomain: \"" + zone + "\"\n"
                + "frames:\n  host: \"127.0.0.1\"\n  port: " + TrialServer.freePort()
                + "\n  metricsPort: " + TrialServer.freePort() + "\n"
                + "log:\n  address: \"127.0.0.1:" + store.open(name) + "\"\n  partitions: " + PARTITIONS + "\n"
                + "statusRetention: 120s\ndrainTimeout: 6s\n"
                + "scheduling:\n  learnedSpeeds: true\n  crashLimit: 3\n";
    }

    /** Writes a configuration whose routes have the given prefixes and queue names. */
    void configure(Map<String, String> queuesByPrefix) {
        version += 3;
        var body = TrialServer.object().put("version", version);
        var routes = body.putArray("routes");
        queuesByPrefix.forEach((prefix, queue) -> routes.addObject()
                .put("name", queue)
                .put("hostname", TrialClient.HOST)
                .put("path_prefix", prefix)
                .put("backend", SERVICE)
                .put("timeout_ms", 1_500)
                .put("priority", 0)
                .put("max_attempts", 3)
                .put("slack_factor", 4)
                .put("target_latency_ms", 60_000));
        body.putArray("services").addObject().put("name", SERVICE).put("rejects_overload", false);
        body.putObject("limits").put("header_bytes", 16_384).put("body_bytes", 262_144);
        store.write("keyed.op", "config", TrialServer.JSON.writeValueAsString(body).getBytes(StandardCharsets.UTF_8));
        record.add("configuration", "version " + version, queuesByPrefix.toString());
    }

    /** Starts all processes, and waits until the entries are ready and have met the agents. */
    void start() throws IOException {
        for (TrialProcess process : entries) {
            process.start();
        }
        for (TrialProcess process : agents) {
            process.start();
        }
        long until = record.nowMillis() + READY_MILLIS;
        for (int port : readyPorts) {
            while (!TrialClient.isReady(port)) {
                if (record.nowMillis() > until) {
                    recordLastLines();
                    throw new IOException("an entry did not become ready");
                }
                TrialServer.sleep(50);
            }
        }
        TrialServer.sleep(CONFIGURED_MILLIS);
        record.add("ready", "deployment", entries.size() + " entries, " + agents.size() + " agents");
    }

    private void recordLastLines() throws IOException {
        for (TrialProcess entry : entries) {
            List<String> lines = entry.logLines();
            record.add("log", entry.name(), String.join(" | ", lines.subList(Math.max(0, lines.size() - 5), lines.size())));
        }
    }

    TrialClient client(TrialProcess entry) {
        return new TrialClient(record, entry.name(), callerPorts.get(entry.name()));
    }

    TrialClient client(int entry) {
        return client(entries.get(entry));
    }

    /** Returns the entry that holds the partition of a job at the store. */
    TrialProcess ownerOf(String jobId) {
        String holder = store.holderOf(partitionOf(jobId));
        return entries.stream()
                .filter(entry -> holder.startsWith(entry.name() + "-"))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no owner of " + jobId));
    }

    static int partitionOf(String jobId) {
        return org.chivetally.queue.Partitions.of(jobId, PARTITIONS);
    }

    private void endProcesses() {
        entries.forEach(TrialProcess::close);
        agents.forEach(TrialProcess::close);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        minions.forEach(TrialMinion::close);
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
