import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: the store, entries, agents with their minions. The processes are started with the commands of the
 * deploy file, with settings made from its template, and talk over loopback.
 */
final class Deployment implements AutoCloseable {
    static final String HOST = "queue.example";
    static final String PREFIX = "/jobs/";
    private static final long READY_MILLIS = 30_000;

    final Store store;
    final World world;
    final Record record;
    final List<Process> processes = new ArrayList<>();
    final List<Process> entries = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();
    private final Path folder;
    private final Random random = new Random();
    private final Set<Integer> usedPorts = new HashSet<>();

    /** One process of the system. */
    final class Process {
        final String name;
        private final String role;
        private final Map<String, String> settings = new HashMap<>();
        private java.lang.Process process;

        private Process(String name, String role, int number) throws IOException {
            this.name = name;
            this.role = role;
            settings.put("node_name", name);
            settings.put("zone", "zone-" + (char) ('a' + number % 3));
            settings.put("ip", "127.0.0.1");
            settings.put("internal_port_range.0", String.valueOf(freePort()));
            settings.put("internal_port_range.1", String.valueOf(freePort()));
            settings.put("platform.address", store.address(name));
            settings.put("platform.parts", String.valueOf(Store.PARTITIONS));
            settings.put("bounds.status_s", "120");
            settings.put("bounds.grace_period_s", "6");
        }

        String frontend() {
            return settings.get("listen_addrs.frontend");
        }

        void start() throws IOException {
            Path file = folder.resolve(name + ".yaml");
            Files.writeString(file, render(Files.readString(Path.of("deploy/settings.yaml")), settings));
            ProcessBuilder builder = new ProcessBuilder(command(role));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
            environment.put("CHIVETALLY_SETTINGS", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.log("started " + name);
        }

        void signal(String name) throws IOException {
            record.log("SIG" + name + " to " + this.name);
            try {
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Waits for the end of the process; kills it after the grace period, as the platform does. */
        void awaitEnd(long graceMillis) throws InterruptedException {
            if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
            record.log(name + " has ended");
        }
    }

    Deployment(int entryCount, int agentCount, int minionCpu, Record record) throws Exception {
        this.record = record;
        this.world = new World(record);
        this.store = new Store();
        this.folder = Files.createTempDirectory("chivetally-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int number = 0; number < entryCount; number++) {
            Process entry = new Process("entry-" + (number + 1), "entry", number);
            entry.settings.put("listen_addrs.frontend", "127.0.0.1:" + freePort());
            entry.settings.put("listen_addrs.ready", "127.0.0.1:" + freePort());
            entries.add(entry);
            processes.add(entry);
        }
        for (int number = 0; number < agentCount; number++) {
            Process agent = new Process("agent-" + (number + 1), "agent", number);
            String control = "127.0.0.1:" + freePort();
            Minion minion = new Minion("i-" + (number + 1), minionCpu, "r1-" + (1 + number / 3), control, world);
            minions.add(minion);
            agent.settings.put("listen_addrs.control_addr", control);
            agent.settings.put("app", minion.address());
            processes.add(agent);
        }
    }

    /** Starts all processes and waits until the entries are ready and a job has run on each minion. */
    void start(Map<String, Object> route) throws Exception {
        configure(1, List.of(route));
        for (Process process : processes) {
            process.start();
        }
        long until = Record.now() + READY_MILLIS;
        for (Process entry : entries) {
            while (Client.call(entry.settings.get("listen_addrs.ready"), "GET", "/readyz", Map.of(), "", 500).status()
                    != 200) {
                checkTime(until, entry.name + " is not ready");
            }
        }
        int number = 0;
        while (world.starts().stream().map(World.Start::minion).distinct().count() < minions.size()) {
            checkTime(until, "no task has run on some minion");
            String entry = entries.get(number++ % entries.size()).frontend();
            submit(entry, newId(), "20", List.of(Map.of("count", 8, "cpu", 2_000, "mem_mb", 64, "estimated_ms", 20)));
        }
        Thread.sleep(3_000);
        record.log("the deployment is ready");
    }

    private static void checkTime(long until, String message) throws InterruptedException {
        if (Record.now() > until) {
            throw new IllegalStateException(message);
        }
        Thread.sleep(100);
    }

    void configure(int version, List<Map<String, Object>> routes) {
        record.log("configuration " + version + " is written");
        store.operate("config", Map.of("version", version, "routes", routes, "services", List.of()));
    }

    static Map<String, Object> route(int maxAttempts) {
        Map<String, Object> route = new HashMap<>();
        route.put("name", "queue");
        route.put("hostname", HOST);
        route.put("path_prefix", PREFIX);
        route.put("backend", "worker");
        route.put("timeout_ms", 1_500);
        route.put("target_latency_ms", 20_000);
        route.put("slack_factor", 1.6);
        route.put("priority", 0);
        route.put("max_attempts", maxAttempts);
        return route;
    }

    String newId() {
        return String.format("%016x", random.nextLong());
    }

    /** Submits a job once; the answer is recorded. */
    Client.Answer submit(String entry, String id, String spec, List<Map<String, Object>> steps) {
        record.log("sent POST " + id + " to " + entry);
        Client.Answer answer = Client.call(
                entry, "POST", PREFIX + id, headers(), Json.write(Map.of("spec", spec, "steps", steps)), 1_500);
        record.log("answered POST " + id + ": " + answer.status() + ' ' + answer.body());
        return answer;
    }

    static Map<String, String> headers() {
        return Map.of("Host", HOST, "Chivetally-Request-Deadline", "1500");
    }

    /** Returns the state of a job as some entry shows it; empty when no entry answers with 200 or 410. */
    String state(String id) {
        for (Process entry : entries) {
            Client.Answer answer = Client.call(entry.frontend(), "GET", PREFIX + id, headers(), "", 1_500);
            if (answer.status() == 410) {
                return "unknown";
            }
            if (answer.status() == 200) {
                return Json.text(Json.object(answer.body()), "state");
            }
        }
        return "";
    }

    private int freePort() throws IOException {
        while (true) {
            int port = 20_000 + random.nextInt(12_000);
            if (!usedPorts.add(port)) {
                continue;
            }
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (IOException used) {
                // Tries another one.
            }
        }
    }

    /** Returns the words of a role's command in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        String section = file.substring(file.indexOf("[roles." + role + "]"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(section);
        if (!run.find()) {
            throw new IllegalStateException("no command for the role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    /** Fills in the template of the settings: sections for values that are present, and placeholders. */
    private static String render(String template, Map<String, String> settings) {
        Matcher sections = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}").matcher(template);
        String text = sections.replaceAll(section ->
                settings.containsKey(section.group(1)) ? Matcher.quoteReplacement(section.group(2)) : "");
        Matcher placeholders = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}").matcher(text);
        return placeholders.replaceAll(place -> {
            String value = settings.getOrDefault(place.group(1), "");
            return Matcher.quoteReplacement(place.group(2) == null ? value : Json.write(value));
        });
    }

    @Override
    public void close() {
        for (Process process : processes) {
            if (process.process != null) {
                process.process.destroyForcibly();
            }
        }
        minions.forEach(Minion::close);
        store.close();
        record.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
                folder.toFile().delete();
            } catch (IOException left) {
                // The folder is in the system's temporary folder.
            }
        } else {
            System.out.println("logs: " + folder);
        }
    }
}
