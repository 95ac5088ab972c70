package org.chivetally.entry.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.resource.ConfigurationSnapshot;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.junit.jupiter.api.Test;

class ConfigurationPushesTest {
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");

    private long version = 7;
    private long now;
    private final List<ConfigurationPushes> entries = new ArrayList<>();

    ConfigurationPushesTest() {
        for (String entry : ENTRIES) {
            ConfigurationPushes pushes = new ConfigurationPushes(entry, new Versioned());
            pushes.setEntries(ENTRIES);
            pushes.connected(Hello.newBuilder().setProcessId("agent").build(), now);
            entries.add(pushes);
        }
    }

    // All entries are connected to the agent; if each pushed every version, the agent would receive it three times.
    @Test
    void onlyOneEntryPushesEachVersionWhenTheAgentReportsIt() {
        assertThat(dueWithin(Duration.ZERO), hasSize(1));
        reportVersionToAll();
        assertThat(dueWithin(Duration.ofSeconds(5)), is(empty()));
        version = 8;
        assertThat(dueWithin(Duration.ZERO), hasSize(1));
        reportVersionToAll();
        assertThat(dueWithin(Duration.ofSeconds(5)), is(empty()));
    }

    @Test
    void anotherEntryPushesWhenTheFirstPushIsLost() {
        // The push of the first entry is lost on a dead connection. The agent would keep the old version until the
        // entry detects that; the next entry pushes half a second later instead.
        assertThat(dueWithin(Duration.ZERO), hasSize(1));
        assertThat(dueWithin(Duration.ofMillis(600)), hasSize(1));
        assertThat(dueWithin(Duration.ofMillis(100)), is(empty()));
    }

    // Another entry may have pushed a version that this entry has not read yet.
    @Test
    void agentsWithANewerVersionReceiveNoPush() {
        entries.forEach(entry -> entry.reported("agent", 9));
        assertThat(dueWithin(Duration.ofSeconds(5)), is(empty()));
    }

    private void reportVersionToAll() {
        entries.forEach(entry -> entry.reported("agent", version));
    }

    private List<Frame> dueWithin(Duration time) {
        List<Frame> due = new ArrayList<>();
        long end = now + time.toNanos();
        do {
            entries.forEach(entry -> due.addAll(entry.due(now).values()));
            now += Duration.ofMillis(100).toNanos();
        } while (now - end <= 0);
        return due;
    }

    private final class Versioned implements ConfigurationExchange {
        @Override
        public long version() {
            return version;
        }

        @Override
        public ConfigurationSnapshot forAgent(String service, String backend) {
            return new ConfigurationSnapshot(version, new byte[0]);
        }

        @Override
        public Optional<ConfigurationSnapshot> forEntry(long haveVersion) {
            return Optional.empty();
        }

        @Override
        public void offer(long offered, byte[] snapshot) {
            throw new IllegalStateException("offer is not expected");
        }
    }
}
