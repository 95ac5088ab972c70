package org.chivetally.command.deployment;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.chivetally.document.Section;
import org.chivetally.job.Resources;

/**
 * Shape of a deployment.
 *
 * @param name name in the output
 * @param service service that all minions run
 * @param team team that the demonstration submits for
 * @param failureDomains failure domains, over which entries and minions are spread in turn
 * @param delayBetweenFailureDomains one-way delay of connections between processes
 * @param delayToClients one-way delay of connections from clients
 * @param httpPorts one port for each entry; 0 takes a free one
 * @param minions number of minions, each with an agent
 * @param slots slots of each minion
 * @param connections connections of each minion
 * @param worker what each worker gives to its minion
 */
public record DeploymentPlan(
        String name,
        String service,
        String team,
        List<String> failureDomains,
        Duration delayBetweenFailureDomains,
        Duration delayToClients,
        List<Integer> httpPorts,
        int minions,
        int slots,
        int connections,
        Resources worker) {
    private static final int TOTAL_APPENDS_PER_SECOND = 270;
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_MINIONS = 1000;
    private static final int MAXIMUM_SLOTS = 1024;
    private static final int MAXIMUM_PROCESSORS = 4096;
    private static final long MAXIMUM_MEMORY_BYTES = 1L << 46;
    private static final int MILLIS_PER_PROCESSOR = 1000;
    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(1);

    /** Copies the lists and refuses missing parts. */
    public DeploymentPlan {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(worker, "worker");
        failureDomains = List.copyOf(failureDomains);
        httpPorts = List.copyOf(httpPorts);
    }

    /** Reads the plan of a document; its mistakes tell whether the plan may be used. */
    public static DeploymentPlan read(Section root) {
        Section delays = root.section("delays");
        Section minions = root.section("minions");
        return new DeploymentPlan(
                root.requiredText("name"),
                root.requiredText("service"),
                root.requiredText("team"),
                failureDomains(root),
                delays.duration("betweenFailureDomains", Duration.ZERO, MAXIMUM_DELAY, Duration.ZERO),
                delays.duration("toClients", Duration.ZERO, MAXIMUM_DELAY, Duration.ZERO),
                httpPorts(root.section("entries")),
                (int) minions.requiredInteger("count", 1, MAXIMUM_MINIONS),
                (int) minions.requiredInteger("slots", 1, MAXIMUM_SLOTS),
                (int) minions.requiredInteger("connections", 1, MAXIMUM_SLOTS),
                worker(root.section("worker")));
    }

    /** Returns the same plan with free ports. */
    public DeploymentPlan withFreePorts() {
        List<Integer> free = httpPorts.stream().map(port -> 0).toList();
        return new DeploymentPlan(
                name,
                service,
                team,
                failureDomains,
                delayBetweenFailureDomains,
                delayToClients,
                free,
                minions,
                slots,
                connections,
                worker);
    }

    /** Returns the failure domain of the entry or minion at a position, counted from zero. */
    public String failureDomain(int position) {
        return failureDomains.get(position % failureDomains.size());
    }

    /** Returns each entry's share of the log's append budget. */
    public int appendsPerSecond() {
        return TOTAL_APPENDS_PER_SECOND / httpPorts.size();
    }

    private static List<String> failureDomains(Section root) {
        List<String> names = root.texts("failureDomains");
        if (names.isEmpty()) {
            root.mistake("failureDomains", "at least one is needed");
        }
        return names;
    }

    private static List<Integer> httpPorts(Section entries) {
        List<String> texts = entries.texts("httpPorts");
        if (texts.isEmpty()) {
            entries.mistake("httpPorts", "at least one port is needed");
        }
        return texts.stream().map(text -> port(entries, text)).toList();
    }

    private static int port(Section entries, String text) {
        try {
            int port = Integer.parseInt(text);
            if (port >= 0 && port <= MAXIMUM_PORT) {
                return port;
            }
        } catch (NumberFormatException malformed) {
            // Reported below like a port out of range.
        }
        entries.mistake("httpPorts", '"' + text + "\" is not a port from 0 to " + MAXIMUM_PORT);
        return 0;
    }

    private static Resources worker(Section worker) {
        return new Resources(
                worker.requiredInteger("processors", 1, MAXIMUM_PROCESSORS) * MILLIS_PER_PROCESSOR,
                worker.requiredBytes("memory", 0, MAXIMUM_MEMORY_BYTES),
                (int) worker.integer("accelerators", 0, MAXIMUM_SLOTS, 0));
    }
}
