package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Frames and wake-ups of each process in an idle deployment of 12 entries and 70 agents. */
class IdleCostTest {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int ENTRIES = 12;
    private static final int AGENTS = 70;
    private static final int SECONDS = 21;

    private final Cluster cluster = new Cluster();
    private final WakeUpCounter wakeUps = new WakeUpCounter(cluster.timers, cluster.network);

    private void startFleet() {
        cluster.timersOf = (name, shared) -> wakeUps.of(name);
        // Processes start at different times. Otherwise their heartbeats would share wake-ups.
        for (int number = 1; number <= ENTRIES; number++) {
            cluster.entry("entry-" + number);
            cluster.advance(13);
        }
        for (int number = 1; number <= AGENTS; number++) {
            cluster.agent("agent-" + number);
            cluster.advance(7);
        }
        cluster.advance(8_000);
        cluster.network.received.clear();
        wakeUps.clear();
        cluster.advance(SECONDS * 1_000L);
    }

    private void print(String process) {
        for (Map.Entry<String, Integer> cause : wakeUps.causes(process).entrySet()) {
            LOGGER.atInfo().log("%s: %s %.2f/s", process, cause.getKey(), cause.getValue() / (double) SECONDS);
        }
        LOGGER.atInfo().log("%s: wake-ups %.2f/s", process, wakeUps.instants(process) / (double) SECONDS);
    }

    /**
     * With heartbeats at the rate that runs need, and with echoes and heartbeats of entries each sent at a time of its
     * own, an idle entry woke up 310 times a second and an idle agent 17 times.
     */
    @Test
    void idleProcessesRarelyWakeUp() {
        startFleet();

        print("entry-1");
        print("agent-1");
        assertThat(wakeUps.instants("entry-1"), lessThanOrEqualTo(125 * SECONDS));
        assertThat(wakeUps.instants("agent-1"), lessThanOrEqualTo(4 * SECONDS));
    }
}
