package org.chivetally.entry.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.chivetally.resource.ConfigurationDistribution;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.wire.v1.ConfigurationPull;
import org.chivetally.wire.v1.Frame;

/**
 * Pulls from other entries a newer configuration that this entry has not read from the log.
 *
 * <p>All entries usually read a new version from the log within milliseconds. A pull is therefore sent only after
 * {@link #LOG_GRACE_PERIOD}, to one entry at a time. Times are nanoseconds of one monotonic clock.
 */
final class ConfigurationPulls {
    private static final Duration LOG_GRACE_PERIOD = Duration.ofSeconds(1);
    private static final long VERSION_QUERY_DELAY_NANOS = Duration.ofMillis(200).toNanos();
    private static final long PULL_RETRY_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

    private final ConfigurationExchange configuration;
    private final Map<String, Long> versionsByEntry = new HashMap<>();
    private long lastOwnVersion;
    private long queryVersionsAtNanos;
    private boolean versionsQueried = true;
    private long nextPullAtNanos;
    private boolean pulled;
    private long behindSinceNanos;
    private long behindVersion = -1;

    ConfigurationPulls(ConfigurationExchange configuration) {
        this.configuration = configuration;
    }

    void reported(String processId, long version) {
        versionsByEntry.put(processId, version);
    }

    void lost(String processId) {
        versionsByEntry.remove(processId);
    }

    /**
     * Returns true once, {@link #VERSION_QUERY_DELAY_NANOS} after each change of the own version, when the versions of
     * the other entries must be queried. Their next heartbeat may be seconds away, and operators would see outdated
     * versions until then.
     */
    boolean shouldQueryVersions(long now) {
        long own = configuration.version();
        if (own != lastOwnVersion) {
            lastOwnVersion = own;
            queryVersionsAtNanos = now + VERSION_QUERY_DELAY_NANOS;
            versionsQueried = false;
        }
        if (versionsQueried || now - queryVersionsAtNanos < 0) {
            return false;
        }
        versionsQueried = true;
        return true;
    }

    /** Returns the pull that is due, by the process id of the entry with the newest version; empty if none is due. */
    Map<String, Frame> due(long now) {
        long own = configuration.version();
        Map.Entry<String, Long> newest = newest();
        if (newest == null || newest.getValue() <= own) {
            behindVersion = -1;
            return Map.of();
        }
        if (behindVersion != own) {
            behindVersion = own;
            behindSinceNanos = now;
        }
        Duration lag = Duration.ofNanos(now - behindSinceNanos);
        boolean pull = ConfigurationDistribution.decideForEntry(own, newest.getValue(), lag, LOG_GRACE_PERIOD)
                == ConfigurationDistribution.Decision.PULL;
        if (!pull || pulled && now - nextPullAtNanos < 0) {
            return Map.of();
        }
        pulled = true;
        nextPullAtNanos = now + PULL_RETRY_INTERVAL_NANOS;
        ConfigurationPull request =
                ConfigurationPull.newBuilder().setHaveVersion(own).build();
        return Map.of(
                newest.getKey(),
                Frame.newBuilder().setConfigurationPull(request).build());
    }

    private Map.Entry<String, Long> newest() {
        Map.Entry<String, Long> newest = null;
        for (Map.Entry<String, Long> candidate : versionsByEntry.entrySet()) {
            if (newest == null || candidate.getValue() > newest.getValue()) {
                newest = candidate;
            }
        }
        return newest;
    }
}
