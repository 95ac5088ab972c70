package org.chivetally.entry.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.chivetally.resource.ConfigurationDistribution;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.wire.v1.ConfigurationPull;
import org.chivetally.wire.v1.Frame;

/**
 * Asks other entries for a configuration that this one does not get from the log.
 *
 * <p>The log usually brings a version to all within milliseconds, so an entry that is ahead is asked only after a
 * while, and one at a time.
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
     * Tells, once after each change here, that the other entries are to be asked for their versions; the next heartbeat
     * may be seconds away, and operators would see them lag until then.
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

    /** Returns the question that is due, by the entry to ask. */
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
