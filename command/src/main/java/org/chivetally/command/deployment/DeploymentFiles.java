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

/**
 * Settings files of a deployment whose processes run separately on one machine.
 *
 * <p>All listen on loopback at ports that follow from a first one: the log there, then ten each for entries' HTTP and
 * frames, then the agents' frames, then the minions.
 */
public final class DeploymentFiles {
    /** File with one line for each process to start: its name, a tab, and the words of its command. */
    public static final String PROCESSES_FILE = "processes";

    /** File with the addresses of all processes, as a load plan takes them. */
    public static final String TARGETS_FILE = "targets.yaml";

    private static final String HOST = "127.0.0.1";
    private static final int ENTRIES_MAXIMUM = 10;
    private static final int HTTP_OFFSET = 10;
    private static final int FRAMES_OFFSET = 20;
    private static final int AGENTS_OFFSET = 30;
    private static final int MILLIS = 1000;

    private final DeploymentPlan plan;
    private final Path folder;
    private final int firstPort;
    private final boolean minionsInOneProcess;

    /**
     * Prepares the files.
     *
     * @param folder existing folder to write to
     * @param firstPort first of the ports used
     * @param minionsInOneProcess whether one process runs all minions, to save memory
     */
    public DeploymentFiles(DeploymentPlan plan, Path folder, int firstPort, boolean minionsInOneProcess) {
        if (plan.httpPorts().size() > ENTRIES_MAXIMUM) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, "at most " + ENTRIES_MAXIMUM + " entries fit");
        }
        this.plan = plan;
        this.folder = folder;
        this.firstPort = firstPort;
        this.minionsInOneProcess = minionsInOneProcess;
    }

    /** Writes all files. */
    public void write() {
        for (int entry = 0; entry < entries(); entry++) {
            write(ProcessNames.entry(entry) + ".yaml", entrySettings(entry));
        }
        for (int agent = 0; agent < plan.minions(); agent++) {
            write(ProcessNames.agent(agent) + ".yaml", agentSettings(agent));
        }
        write(PROCESSES_FILE, processes());
        write(TARGETS_FILE, targets());
    }

    private String processes() {
        List<String> lines = new ArrayList<>();
        lines.add("log\tstand-in log --port " + firstPort);
        if (minionsInOneProcess) {
            lines.add("minions\t" + minionCommand(0, plan.minions()));
        } else {
            IntStream.range(0, plan.minions())
                    .forEach(minion -> lines.add(ProcessNames.minion(minion) + "\t" + minionCommand(minion, 1)));
        }
        IntStream.range(0, entries()).forEach(entry -> lines.add(daemonLine("entry", ProcessNames.entry(entry))));
        IntStream.range(0, plan.minions()).forEach(agent -> lines.add(daemonLine("agent", ProcessNames.agent(agent))));
        return String.join("\n", lines) + "\n";
    }

    private String minionCommand(int first, int count) {
        return "stand-in minion --port %d --first %d --count %d --slots %d --connections %d"
                .formatted(minionPort(first), first + 1, count, plan.slots(), plan.connections());
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
                shared(entryName(entry), entry, framesPort(entry)), HOST, httpPort(entry), plan.appendsPerSecond());
    }

    private String agentSettings(int agent) {
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
                        shared(agentName(agent), agent, firstPort + AGENTS_OFFSET + agent),
                        minionName(agent),
                        plan.service(),
                        HOST,
                        minionPort(agent),
                        plan.slots(),
                        plan.connections(),
                        plan.worker().processorMillis() / MILLIS,
                        Units.bytes(plan.worker().memoryBytes()),
                        plan.worker().accelerators());
    }

    private String shared(String name, int position, int framesPort) {
        String failureDomain = plan.failureDomain(position);
        return """
                process: {name: %s, failureDomain: %s}
                frames: {host: %s, port: %d}
                log: {url: "http://%s:%d"}
                seeds: [%s]""".formatted(name, failureDomain, HOST, framesPort, HOST, firstPort, seeds());
    }

    private String seeds() {
        return IntStream.range(0, entries())
                .mapToObj(entry -> "{host: %s, port: %d}".formatted(HOST, framesPort(entry)))
                .collect(Collectors.joining(", "));
    }

    private String targets() {
        StringBuilder text = new StringBuilder("targets:\n  entries:\n");
        IntStream.range(0, entries()).forEach(entry -> text.append(target(ProcessNames.entry(entry), httpPort(entry))));
        text.append("  minions:\n");
        IntStream.range(0, plan.minions())
                .forEach(minion -> text.append(target(ProcessNames.minion(minion), minionPort(minion))));
        return text.append("  logs:\n").append(target("log", firstPort)).toString();
    }

    private static String target(String name, int port) {
        return "    - {name: %s, url: \"http://%s:%d\"}\n".formatted(name, HOST, port);
    }

    private int entries() {
        return plan.httpPorts().size();
    }

    private int httpPort(int entry) {
        return firstPort + HTTP_OFFSET + entry;
    }

    private int framesPort(int entry) {
        return firstPort + FRAMES_OFFSET + entry;
    }

    private int minionPort(int minion) {
        return firstPort + AGENTS_OFFSET + plan.minions() + minion;
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
