package org.chivetally.resource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.membership.RendezvousOrder;
import org.chivetally.resource.ConfigurationDistribution.Decision;
import org.junit.jupiter.api.Test;

class ConfigurationDistributionTest {
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
    private static final Duration DELAY = Duration.ofMillis(300);
    private static final Duration NEVER = Duration.ofNanos(-1);

    @Test
    void letsOneEntryPushAtOnceAndTheOthersInTurn() {
        for (Duration since : List.of(Duration.ZERO, DELAY, DELAY.multipliedBy(2))) {
            int pushing = 0;
            for (String entry : ENTRIES) {
                if (decide(entry, 3, since, NEVER) == Decision.PUSH) {
                    pushing++;
                }
            }
            assertThat(pushing, is(1 + (int) since.dividedBy(DELAY)));
        }
    }

    @Test
    void leavesAnAgentAloneThatHasTheVersion() {
        for (String entry : ENTRIES) {
            assertThat(decide(entry, 7, Duration.ofHours(1), NEVER), is(Decision.WAIT));
        }
    }

    @Test
    void pushesAgainWhenTheAgentStillLags() {
        String first = ENTRIES.stream()
                .filter(entry -> RendezvousOrder.rank(entry, ENTRIES, "agent") == 0)
                .findFirst()
                .orElseThrow();
        assertThat(decide(first, 3, DELAY, DELAY), is(Decision.WAIT));
        assertThat(decide(first, 3, DELAY, DELAY.multipliedBy(2)), is(Decision.PUSH));
    }

    @Test
    void pullsOnlyFromANewerEntryThatStaysAhead() {
        assertThat(ConfigurationDistribution.decideForEntry(5, 6, Duration.ZERO, DELAY), is(Decision.WAIT));
        assertThat(ConfigurationDistribution.decideForEntry(5, 6, DELAY, DELAY), is(Decision.PULL));
        assertThat(ConfigurationDistribution.decideForEntry(6, 6, DELAY, DELAY), is(Decision.WAIT));
    }

    @Test
    void ranksAllEntriesAndSharesAgentsOut() {
        int[] first = new int[ENTRIES.size()];
        for (int agent = 0; agent < 650; agent++) {
            List<Integer> ranks = new ArrayList<>();
            for (String entry : ENTRIES) {
                ranks.add(RendezvousOrder.rank(entry, ENTRIES, "agent-" + agent));
            }
            assertThat(ranks, containsInAnyOrder(0, 1, 2));
            first[ranks.indexOf(0)]++;
        }
        for (int share : first) {
            assertThat(Math.abs(share - 650 / 3), is(lessThan(60)));
        }
    }

    private static Decision decide(String entry, long agentVersion, Duration sinceChange, Duration sincePush) {
        return ConfigurationDistribution.decideForAgent(
                entry, ENTRIES, "agent", 7, agentVersion, sinceChange, sincePush, DELAY);
    }
}
