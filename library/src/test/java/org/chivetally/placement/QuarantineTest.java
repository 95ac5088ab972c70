package org.chivetally.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.coordination.AgentId;
import org.chivetally.placement.QuarantineVerdict.Kind;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Hello;
import org.junit.jupiter.api.Test;

/** Tests when minions are quarantined, probed and released. */
class QuarantineTest {
    private static final int AGENTS = 11;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Fleet fleet = new Fleet(0, 0);
    private final List<AgentView> agents = new ArrayList<>();
    private final Quarantine quarantine;
    private long nowNanos;

    QuarantineTest() {
        for (int number = 0; number < AGENTS; number++) {
            Hello hello = Hello.newBuilder()
                    .setService("routing")
                    .setCapacity(Capacity.newBuilder().setSlots(8))
                    .build();
            agents.add(fleet.applyHello(new AgentId("agent" + number, "1"), hello, 0));
        }
        quarantine = new Quarantine(QuarantineSettings.defaults(), fleet.of("routing"));
    }

    /** Runs one task per agent and round, failing on the faulty agents only; returns the verdicts. */
    private List<QuarantineVerdict> runRounds(int rounds, List<AgentView> faulty) {
        List<QuarantineVerdict> verdicts = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            nowNanos += SECOND_NANOS / 100;
            for (AgentView agent : agents) {
                Optional<QuarantineVerdict> verdict = faulty.contains(agent)
                        ? quarantine.taskFailed(agent, nowNanos)
                        : quarantine.taskSucceeded(agent, false, nowNanos);
                verdict.ifPresent(verdicts::add);
            }
        }
        return verdicts;
    }

    /** Without quarantine, a minion that fails all of its tasks would keep receiving new ones. */
    @Test
    void withholdsWorkFromAMinionThatFailsManyTasks() {
        List<QuarantineVerdict> verdicts = runRounds(20, agents.subList(3, 4));
        assertThat(verdicts, hasSize(1));
        assertThat(verdicts.getFirst().agent(), equalTo(agents.get(3)));
        assertThat(verdicts.getFirst().kind(), equalTo(Kind.WITHHELD));
        assertThat(verdicts.getFirst().allowed(), equalTo(0));
        assertThat(verdicts.getFirst().probeAfterNanos(), equalTo(SECOND_NANOS));
    }

    /** Occasional successes must not hide a minion that fails 4 of 5 tasks. */
    @Test
    void detectsAMinionThatFailsMostTasks() {
        List<QuarantineVerdict> verdicts = new ArrayList<>();
        for (int round = 0; round < 60; round++) {
            runRounds(1, round % 5 == 0 ? List.of() : agents.subList(0, 1));
            verdicts.addAll(quarantine.probe(agents.get(0), nowNanos).stream().toList());
        }
        assertThat(verdicts.isEmpty(), equalTo(false));
    }

    /** A minion that fails 1 of 5 tasks must keep receiving tasks. */
    @Test
    void toleratesOccasionalFailures() {
        for (int round = 0; round < 200; round++) {
            assertThat(runRounds(1, round % 5 == 0 ? agents.subList(0, 1) : List.of()), empty());
        }
    }

    @Test
    void withholdsNothingWhenAllMinionsFail() {
        // Every minion of the service fails, for example after a faulty release. Quarantining some of them would move
        // their load to minions that fail as well, and would leave too little capacity once the service is repaired.
        assertThat(runRounds(50, agents), empty());
    }

    /** Faulty tasks that fail everywhere must not quarantine the minion on which they ran first. */
    @Test
    void ignoresTasksThatFailOnSeveralMinions() {
        AgentView agent = agents.get(0);
        runRounds(10, List.of());
        for (int task = 0; task < 50; task++) {
            assertThat(quarantine.taskFailed(agent, nowNanos), equalTo(Optional.empty()));
            quarantine.retractFailure(agent, nowNanos);
        }
        assertThat(quarantine.failureRate(agent) < 0.1, equalTo(true));
    }

    /** Quarantining too many minions would leave the service without capacity. */
    @Test
    void withholdsAtMostTheMaximumShare() {
        List<QuarantineVerdict> verdicts = new ArrayList<>();
        QuarantineSettings tolerant = new QuarantineSettings(
                0.3,
                5,
                0.6,
                1.0,
                QuarantineSettings.defaults().firstProbe(),
                QuarantineSettings.defaults().longestProbe());
        Quarantine limited = new Quarantine(tolerant, fleet.of("routing"));
        for (int round = 0; round < 20; round++) {
            for (AgentView agent : agents) {
                limited.taskFailed(agent, nowNanos).ifPresent(verdicts::add);
            }
        }
        assertThat("30% of 11 agents", verdicts, hasSize(3));
    }

    /** Releasing a minion at once would fail a full load of tasks if it is still faulty. */
    @Test
    void doublesTheLimitUntilReleased() {
        AgentView agent = agents.get(0);
        runRounds(20, List.of(agent));
        List<Integer> allowed = new ArrayList<>();
        quarantine.probe(agent, nowNanos).ifPresent(verdict -> allowed.add(verdict.allowed()));
        List<Kind> kinds = new ArrayList<>();
        for (int task = 0; task < 7; task++) {
            quarantine.taskSucceeded(agent, false, nowNanos).ifPresent(verdict -> {
                allowed.add(verdict.allowed());
                kinds.add(verdict.kind());
            });
        }
        assertThat(allowed, contains(1, 2, 4, Integer.MAX_VALUE));
        assertThat(kinds, contains(Kind.RELEASING, Kind.RELEASING, Kind.RELEASED));
    }

    /** Probes at a constant interval would keep failing tasks on a minion that stays faulty. */
    @Test
    void failedProbeDoublesTheProbeDelay() {
        AgentView agent = agents.get(0);
        runRounds(20, List.of(agent));
        quarantine.probe(agent, nowNanos);
        QuarantineVerdict verdict = quarantine.taskFailed(agent, nowNanos).orElseThrow();
        assertThat(verdict.kind(), equalTo(Kind.WITHHELD));
        assertThat(verdict.probeAfterNanos(), equalTo(2 * SECOND_NANOS));
    }
}
