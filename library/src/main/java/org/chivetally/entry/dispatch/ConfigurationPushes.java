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

/** Brings the configuration of this entry to agents that have an older one. Times are nanoseconds of one clock. */
final class ConfigurationPushes {
    private static final Duration TURN = Duration.ofMillis(500);
    private static final Duration NEVER = Duration.ofNanos(-1);
    private static final int MOST_AT_ONCE = 50;

    private final String self;
    private final ConfigurationExchange configuration;
    private final Map<String, Agent> agents = new LinkedHashMap<>();
    private List<String> entries = List.of();
    private long version;
    private long versionSince;

    ConfigurationPushes(String self, ConfigurationExchange configuration) {
        this.self = self;
        this.configuration = configuration;
    }

    void entries(Collection<String> names) {
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

    /** Returns what to send now, by process id; a bounded number, so that a change does not hold up other work. */
    Map<String, Frame> due(long now) {
        long current = configuration.version();
        if (current != version) {
            version = current;
            versionSince = now;
        }
        Map<String, Frame> due = new HashMap<>();
        for (Map.Entry<String, Agent> one : agents.entrySet()) {
            if (due.size() < MOST_AT_ONCE && isDue(one.getKey(), one.getValue(), now)) {
                one.getValue().pushed(version, now);
                due.put(one.getKey(), push(one.getValue().hello));
            }
        }
        return due;
    }

    private boolean isDue(String processId, Agent agent, long now) {
        if (agent.version >= version) {
            return false;
        }
        Duration sinceChange = Duration.ofNanos(now - Math.max(versionSince, agent.connectedAt));
        Duration sincePush = agent.pushedVersion == version ? Duration.ofNanos(now - agent.pushedAt) : NEVER;
        return ConfigurationDistribution.decideForAgent(
                        self, entries, processId, version, agent.version, sinceChange, sincePush, TURN)
                == ConfigurationDistribution.Decision.PUSH;
    }

    private Frame push(Hello hello) {
        ConfigurationSnapshot snapshot = configuration.forAgent(hello.getService(), hello.getBackend());
        return Frame.newBuilder()
                .setConfigurationPush(ConfigurationPush.newBuilder()
                        .setVersion(snapshot.version())
                        .setSnapshot(ByteString.copyFrom(snapshot.content())))
                .build();
    }

    private static final class Agent {
        private final Hello hello;
        private final long connectedAt;
        private long version;
        private long pushedVersion = -1;
        private long pushedAt;

        private Agent(Hello hello, long now) {
            this.hello = hello;
            this.connectedAt = now;
            this.version = hello.getConfigurationVersion();
        }

        private void pushed(long newVersion, long now) {
            pushedVersion = newVersion;
            pushedAt = now;
        }
    }
}
