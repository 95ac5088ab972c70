package org.chivetally.command.deployment;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.chivetally.settings.AgentDaemonSettings;
import org.chivetally.settings.EntryClaimSettings;
import org.chivetally.settings.EntryDaemonSettings;
import org.chivetally.settings.HostPort;
import org.chivetally.settings.LogAccessSettings;
import org.chivetally.settings.LogLevel;
import org.chivetally.settings.MinionSettings;
import org.chivetally.settings.ProcessSettings;

/**
 * Settings of the daemons of a deployment that runs in one process; each daemon listens for frames on a free loopback
 * port.
 */
final class InProcessSettings {
    static final String HOST = "127.0.0.1";

    private static final HostPort ANY_PORT = new HostPort(HOST, 0);
    private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration MAXIMUM_TICKET_AGE = Duration.ofSeconds(3);
    private static final Duration RETENTION = Duration.ofMinutes(5);
    private static final int QUEUED_TASKS_PER_SLOT = 2;

    private final DeploymentPlan plan;

    InProcessSettings(DeploymentPlan plan) {
        this.plan = plan;
    }

    EntryDaemonSettings entry(int position, URI log) {
        EntryClaimSettings claims = new EntryClaimSettings(
                Duration.ofMinutes(10),
                Duration.ofMinutes(30),
                Duration.ofSeconds(6),
                MAXIMUM_TICKET_AGE,
                RETENTION,
                Duration.ofSeconds(2),
                plan.appendsPerSecond());
        return new EntryDaemonSettings(
                process(ProcessNames.entry(position), position, ANY_PORT, log, List.of()), ANY_PORT, claims);
    }

    AgentDaemonSettings agent(int position, URI log, URI minion, HostPort advertised, List<HostPort> seeds) {
        MinionSettings minionSettings = new MinionSettings(
                ProcessNames.minion(position),
                plan.service(),
                minion,
                plan.slots(),
                plan.connections(),
                plan.worker().processorMillis(),
                plan.worker().memoryBytes(),
                plan.worker().accelerators());
        return new AgentDaemonSettings(
                process(ProcessNames.agent(position), position, advertised, log, seeds),
                minionSettings,
                QUEUED_TASKS_PER_SLOT * plan.slots(),
                MAXIMUM_TICKET_AGE,
                RETENTION);
    }

    private ProcessSettings process(String name, int position, HostPort advertised, URI log, List<HostPort> seeds) {
        return new ProcessSettings(
                name,
                plan.failureDomain(position),
                ANY_PORT,
                advertised,
                new LogAccessSettings(log, LOG_TIMEOUT),
                seeds,
                DRAIN_TIMEOUT,
                LogLevel.WARNING);
    }
}
