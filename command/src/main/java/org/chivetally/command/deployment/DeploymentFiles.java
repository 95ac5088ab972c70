package org.chivetally.command.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.chivetally.document.Units;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.settings.HostPort;

/** Writes the settings files of a deployment whose processes run separately on one machine, on the loopback address. */
public final class DeploymentFiles {
    /** File with one line for each process to start: its name, a tab, and the arguments of its command. */
    public static final String PROCESSES_FILE = "processes";

    /** File with the addresses of all processes, in the format that a load plan expects. */
    public static final String TARGETS_FILE = "targets.yaml";

    private static final String RELAYS_FILE = "relays.yaml";
    private static final String HOST = "127.0.0.1";
    private static final int MILLIS_PER_PROCESSOR = 1000;

    private final DeploymentPlan plan;
    private final Path folder;
    private final PortPlan ports;
    private final Options options;

    /**
     * Creates a writer of the settings files.
     *
     * @param folder existing folder to write to
     */
    public DeploymentFiles(DeploymentPlan plan, Path folder, Options options) {
        if (plan.httpPorts().size() > PortPlan.MAXIMUM_ENTRIES) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, "a deployment has at most " + PortPlan.MAXIMUM_ENTRIES + " entries");
        }
        this.plan = plan;
        this.folder = folder;
        this.ports = new PortPlan(options.firstPort(), plan.minions());
        this.options = options;
    }

    /**
     * Options of the layout.
     *
     * @param firstPort first port of the range to use
     * @param minionsInOneProcess whether one process runs all minions, to save memory
     * @param relays whether a relay is in front of each agent
     * @param entryRelays whether a relay is in front of each entry's HTTP port
     */
    public record Options(int firstPort, boolean minionsInOneProcess, boolean relays, boolean entryRelays) {}

    /** Writes all files. */
    public void write() {
        entries().forEach(entry -> write(ProcessNames.entry(entry) + ".yaml", entrySettings(entry)));
        agents().forEach(agent -> write(ProcessNames.agent(agent) + ".yaml", agentSettings(agent)));
        if (options.relays()) {
            write(
                    RELAYS_FILE,
                    "relays:\n" + relays().stream().map(RelayPlan::toYamlItem).collect(Collectors.joining()));
        }
        write(PROCESSES_FILE, processes());
        write(TARGETS_FILE, targets());
    }

    private String processes() {
        List<String> lines = new ArrayList<>();
        lines.add("log\tstand-in log --port " + ports.log());
        if (options.minionsInOneProcess()) {
            lines.add("minions\t" + minionCommand(0, plan.minions()));
        } else {
            agents().forEach(minion -> lines.add(ProcessNames.minion(minion) + "\t" + minionCommand(minion, 1)));
        }
        if (options.relays()) {
            lines.add("relays\tstand-in relay --settings " + folder.resolve(RELAYS_FILE));
        }
        entries().forEach(entry -> lines.add(daemonLine("entry", ProcessNames.entry(entry))));
        agents().forEach(agent -> lines.add(daemonLine("agent", ProcessNames.agent(agent))));
        return String.join("\n", lines) + "\n";
    }

    private String minionCommand(int first, int count) {
        return "stand-in minion --port %d --first %d --count %d --slots %d --connections %d --record %s"
                .formatted(ports.minion(first), first + 1, count, plan.slots(), plan.connections(), folder);
    }

    private String daemonLine(String command, String name) {
        return name + "\t" + command + " --settings " + folder.resolve(name + ".yaml");
    }

    private String entrySettings(int entry) {
        return """
                %s
                http: {host: %s, port: %d}
                claims: {appendsPerSecond: %d}
                """.formatted(
                        sharedSettings(ProcessNames.entry(entry), entry, ports.frames(entry), ports.frames(entry)),
                        HOST,
                        ports.http(entry),
                        plan.appendsPerSecond());
    }

    private String agentSettings(int agent) {
        int advertised = options.relays() ? ports.agentRelay(agent) : ports.agent(agent);
        return """
                %s
                minion:
                  backend: %s
                  service: %s
                  url: http://%s:%d
                  slots: %d
                  connections: %d
                  processors: %d
                  memory: %s
                  accelerators: %d
                """.formatted(
                        sharedSettings(ProcessNames.agent(agent), agent, ports.agent(agent), advertised),
                        ProcessNames.minion(agent),
                        plan.service(),
                        HOST,
                        ports.minion(agent),
                        plan.slots(),
                        plan.connections(),
                        plan.worker().processorMillis() / MILLIS_PER_PROCESSOR,
                        Units.formatBytes(plan.worker().memoryBytes()),
                        plan.worker().accelerators());
    }

    private String sharedSettings(String name, int position, int framesPort, int advertisedPort) {
        String domain = plan.failureDomain(position);
        int logPort = ports.log();
        String seedList = seeds();
        return """
                process: {name: %s, failureDomain: %s}
                frames: {host: %s, port: %d, advertisedPort: %d}
                log: {url: "http://%s:%d"}
                seeds: [%s]""".formatted(name, domain, HOST, framesPort, advertisedPort, HOST, logPort, seedList);
    }

    private String seeds() {
        return entries()
                .mapToObj(entry -> "{host: %s, port: %d}".formatted(HOST, ports.frames(entry)))
                .collect(Collectors.joining(", "));
    }

    private List<RelayPlan> relays() {
        List<RelayPlan> relays = new ArrayList<>();
        IntStream beforeEntries = options.entryRelays() ? entries() : IntStream.empty();
        beforeEntries.forEach(entry -> relays.add(new RelayPlan(
                relayName(ProcessNames.entry(entry)),
                ports.entryRelay(entry),
                new HostPort(HOST, ports.http(entry)),
                plan.delayToClients(),
                ports.entryRelayControl(entry))));
        agents().forEach(agent -> relays.add(new RelayPlan(
                relayName(ProcessNames.agent(agent)),
                ports.agentRelay(agent),
                new HostPort(HOST, ports.agent(agent)),
                plan.delayBetweenFailureDomains(),
                ports.agentRelayControl(agent))));
        return relays;
    }

    private String targets() {
        StringBuilder text = new StringBuilder("targets:\n  entries:\n");
        entries()
                .forEach(entry -> text.append(targetItem(
                        ProcessNames.entry(entry),
                        options.entryRelays() ? ports.entryRelay(entry) : ports.http(entry))));
        text.append("  minions:\n");
        agents().forEach(minion -> text.append(targetItem(ProcessNames.minion(minion), ports.minion(minion))));
        text.append("  logs:\n").append(targetItem("log", ports.log()));
        if (options.relays()) {
            text.append("  relays:\n");
            relays().forEach(relay -> text.append(targetItem(relay.name(), relay.controlPort())));
        }
        return text.toString();
    }

    private static String targetItem(String name, int port) {
        return "    - {name: %s, url: \"http://%s:%d\"}\n".formatted(name, HOST, port);
    }

    private static String relayName(String process) {
        return "relay-" + process;
    }

    private IntStream entries() {
        return IntStream.range(0, plan.httpPorts().size());
    }

    private IntStream agents() {
        return IntStream.range(0, plan.minions());
    }

    private void write(String name, String text) {
        try {
            Files.writeString(folder.resolve(name), text);
        } catch (IOException unwritable) {
            throw new ChivetallyException(
                    ErrorCode.INVALID_INPUT, folder.resolve(name) + " can't be written: " + unwritable, unwritable);
        }
    }
}
