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
    private static final Duration LOG_TIME = Duration.ofSeconds(1);
    private static final long ASK_AGAIN_NANOS = Duration.ofSeconds(2).toNanos();

    private final ConfigurationExchange configuration;
    private final Map<String, Long> versions = new HashMap<>();
    private long askAgainAt;
    private boolean asked;
    private long behindSince;
    private long behindAt = -1;

    ConfigurationPulls(ConfigurationExchange configuration) {
        this.configuration = configuration;
    }

    void reported(String processId, long version) {
        versions.put(processId, version);
    }

    void lost(String processId) {
        versions.remove(processId);
    }

    /** Returns the question that is due, by the entry to ask. */
    Map<String, Frame> due(long now) {
        long own = configuration.version();
        Map.Entry<String, Long> newest = newest();
        if (newest == null || newest.getValue() <= own) {
            behindAt = -1;
            return Map.of();
        }
        if (behindAt != own) {
            behindAt = own;
            behindSince = now;
        }
        Duration lag = Duration.ofNanos(now - behindSince);
        boolean pull = ConfigurationDistribution.decideForEntry(own, newest.getValue(), lag, LOG_TIME)
                == ConfigurationDistribution.Decision.PULL;
        if (!pull || asked && now - askAgainAt < 0) {
            return Map.of();
        }
        asked = true;
        askAgainAt = now + ASK_AGAIN_NANOS;
        ConfigurationPull question =
                ConfigurationPull.newBuilder().setHaveVersion(own).build();
        return Map.of(
                newest.getKey(),
                Frame.newBuilder().setConfigurationPull(question).build());
    }

    private Map.Entry<String, Long> newest() {
        Map.Entry<String, Long> newest = null;
        for (Map.Entry<String, Long> one : versions.entrySet()) {
            if (newest == null || one.getValue() > newest.getValue()) {
                newest = one;
            }
        }
        return newest;
    }
}
