package org.chivetally.command.deployment;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.chivetally.document.Section;
import org.chivetally.job.Resources;

/**
 * Size and topology of a deployment.
 *
 * @param name name shown in the output
 * @param service service that all minions serve
 * @param team team on whose behalf the demonstration submits its job
 * @param failureDomains failure domains, assigned to entries and minions in round-robin order
 * @param delayBetweenFailureDomains one-way delay of connections between processes
 * @param delayToClients one-way delay of connections from clients
 * @param httpPorts HTTP port of each entry; 0 selects a free port
 * @param minions number of minions, each with an agent
 * @param slots maximum number of concurrent tasks of each minion
 * @param connections maximum number of connections to each minion
 * @param worker processor time, memory and accelerators of each worker
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

    /** Rejects null components and copies the lists. */
    public DeploymentPlan {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(worker, "worker");
        failureDomains = List.copyOf(failureDomains);
        httpPorts = List.copyOf(httpPorts);
    }

    /** Reads the plan of a document; the plan is valid only if the document has no mistakes. */
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

    /** Returns a copy of this plan in which each entry listens on a free port. */
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

    /** Returns the failure domain of the entry or minion at a zero-based position. */
    public String failureDomain(int position) {
        return failureDomains.get(position % failureDomains.size());
    }

    /** Returns each entry's share of the log's append budget, in appends per second. */
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
