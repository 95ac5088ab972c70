package org.chivetally.entry.dispatch;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.resource.ConfigurationDistribution;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.resource.ConfigurationSnapshot;
import org.chivetally.wire.v1.ConfigurationPush;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/**
 * Pushes the configuration of this entry to connected agents that have an older version. Times are nanoseconds of one
 * monotonic clock.
 */
final class ConfigurationPushes {
    /** Delay after which the next entry pushes a version that the agent has not reported yet. */
    private static final Duration PUSH_TURN = Duration.ofMillis(500);

    private static final Duration NEVER_PUSHED = Duration.ofNanos(-1);
    private static final int MAXIMUM_PUSHES_PER_CALL = 50;

    private final String self;
    private final ConfigurationExchange configuration;
    private final Map<String, Agent> agents = new LinkedHashMap<>();
    private List<String> entries = List.of();
    private long version;
    private long versionChangedAtNanos;

    ConfigurationPushes(String self, ConfigurationExchange configuration) {
        this.self = self;
        this.configuration = configuration;
    }

    void setEntries(Collection<String> names) {
        entries = List.copyOf(names);
    }

    void connected(Hello hello, long now) {
        agents.put(hello.getProcessId(), new Agent(hello, now));
    }

    void disconnected(String processId) {
        agents.remove(processId);
    }

    void reported(String processId, long reportedVersion) {
        Agent agent = agents.get(processId);
        if (agent != null) {
            agent.version = Math.max(agent.version, reportedVersion);
        }
    }

    /**
     * Returns the pushes to send now, by process id of the agent.
     *
     * <p>At most {@link #MAXIMUM_PUSHES_PER_CALL}, so that a change of the configuration does not delay other messages
     * of the actor.
     */
    Map<String, Frame> due(long now) {
        long current = configuration.version();
        if (current != version) {
            version = current;
            versionChangedAtNanos = now;
        }
        Map<String, Frame> due = new HashMap<>();
        for (Map.Entry<String, Agent> agent : agents.entrySet()) {
            if (due.size() < MAXIMUM_PUSHES_PER_CALL && isDue(agent.getKey(), agent.getValue(), now)) {
                agent.getValue().recordPush(version, now);
                due.put(agent.getKey(), pushFrame(agent.getValue().hello));
            }
        }
        return due;
    }

    private boolean isDue(String processId, Agent agent, long now) {
        if (agent.version >= version) {
            return false;
        }
        Duration sinceChange = Duration.ofNanos(now - Math.max(versionChangedAtNanos, agent.connectedAtNanos));
        Duration sincePush =
                agent.pushedVersion == version ? Duration.ofNanos(now - agent.pushedAtNanos) : NEVER_PUSHED;
        return ConfigurationDistribution.decideForAgent(
                        self, entries, processId, version, agent.version, sinceChange, sincePush, PUSH_TURN)
                == ConfigurationDistribution.Decision.PUSH;
    }

    private Frame pushFrame(Hello hello) {
        ConfigurationSnapshot snapshot = configuration.forAgent(hello.getService(), hello.getBackend());
        return Frame.newBuilder()
                .setConfigurationPush(ConfigurationPush.newBuilder()
                        .setVersion(snapshot.version())
                        .setSnapshot(ByteString.copyFrom(snapshot.content())))
                .build();
    }

    private static final class Agent {
        private final Hello hello;
        private final long connectedAtNanos;
        private long version;
        private long pushedVersion = -1;
        private long pushedAtNanos;

        private Agent(Hello hello, long now) {
            this.hello = hello;
            this.connectedAtNanos = now;
            this.version = hello.getConfigurationVersion();
        }

        private void recordPush(long newVersion, long now) {
            pushedVersion = newVersion;
            pushedAtNanos = now;
        }
    }
}
