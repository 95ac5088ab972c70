package org.chivetally.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Start;

class AgentStatePropertyTest {
    private static final int SLOTS = 2;
    private static final List<MinionAnswer> ANSWERS = List.of(
            new MinionAnswer.Success("1"),
            new MinionAnswer.Failure("no"),
            new MinionAnswer.Lost("gone"),
            new MinionAnswer.Declined(),
            new MinionAnswer.NotSent("refused"));

    @Property(tries = 3_000)
    void keepsItsPromisesUnderAnyEvents(@ForAll("schedules") List<Step> schedule, @ForAll boolean drainAtEnd) {
        World world = new World();
        for (Step step : schedule) {
            world.take(step);
        }
        world.finish(drainAtEnd);
    }

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Integer> small = Arbitraries.integers().between(0, 2);
        Arbitrary<Integer> generations = Arbitraries.of(1, 1, 1, 2, 3);
        Arbitrary<Boolean> mostly = Arbitraries.of(true, true, true, false);
        Arbitrary<Step> asks = Combinators.combine(small, small, generations).as(Step.Ask::new);
        Arbitrary<Step> repeats = Arbitraries.integers().between(0, 60).map(Step.Repeat::new);
        Arbitrary<Step> answers = Combinators.combine(
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, ANSWERS.size() - 1))
                .as(Step.Answer::new);
        Arbitrary<Step> inquiries = Combinators.combine(small, generations).as(Step.Inquire::new);
        Arbitrary<Step> reports = Combinators.combine(mostly, mostly.map(wanted -> !wanted), small)
                .as(Step.Tell::new);
        Arbitrary<Step> passes = Arbitraries.of(1, 100, 1_000, 3_500).map(Step.Pass::new);
        Arbitrary<Step> cancels = small.map(Step.Cancel::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(8, asks),
                        Tuple.of(3, repeats),
                        Tuple.of(6, answers),
                        Tuple.of(2, inquiries),
                        Tuple.of(2, reports),
                        Tuple.of(4, passes),
                        Tuple.of(1, cancels),
                        Tuple.of(1, Arbitraries.just(new Step.Reconnect())))
                .list()
                .ofMaxSize(60);
    }

    /** One event of a schedule; numbers choose among what there is. */
    sealed interface Step {
        record Ask(int job, int task, int generation) implements Step {}

        record Repeat(int which) implements Step {}

        record Answer(int which, int answer) implements Step {}

        record Inquire(int job, int generation) implements Step {}

        record Cancel(int job) implements Step {}

        record Tell(boolean healthy, boolean draining, int running) implements Step {}

        record Pass(int millis) implements Step {}

        record Reconnect() implements Step {}
    }

    /** Plays coordinators and the minion, and checks each effect. Tasks of job 2 are idempotent. */
    private static final class World {
        private final AgentFixture agent = new AgentFixture();
        private final List<Start> asked = new ArrayList<>();
        private final Map<String, Start> byAttempt = new HashMap<>();
        private final List<String> running = new ArrayList<>();
        private final Set<String> begun = new HashSet<>();
        private final Set<String> mayHaveRun = new HashSet<>();
        private final Set<String> onceOnlyDone = new HashSet<>();
        private final Set<String> answered = new HashSet<>();
        private PeerId peer = AgentFixture.PEER;

        void take(Step step) {
            switch (step) {
                case Step.Ask ask -> ask(ask);
                case Step.Repeat repeat -> repeat(repeat.which());
                case Step.Answer answer -> answer(answer.which(), ANSWERS.get(answer.answer()));
                case Step.Inquire inquire ->
                    observe("", () -> agent.inquire(peer, "j" + inquire.job(), inquire.generation()));
                case Step.Cancel cancel ->
                    observe("", () -> agent.apply(new AgentEvent.CancelRequested(peer, List.of("j" + cancel.job()))));
                case Step.Tell tell -> observe("", () -> agent.report(tell.healthy(), tell.draining(), tell.running()));
                case Step.Pass pass -> observe("", () -> agent.pass(Duration.ofMillis(pass.millis())));
                case Step.Reconnect reconnect -> reconnect();
            }
        }

        void finish(boolean drain) {
            observe("", () -> agent.report(true, false, 0));
            if (drain) {
                observe("", () -> agent.apply(new AgentEvent.DrainRequested("replaced")));
            }
            while (!running.isEmpty()) {
                answer(0, ANSWERS.getFirst());
            }
            observe("", () -> agent.pass(Duration.ofMinutes(1)));
            assertThat(answered, is(byAttempt.keySet()));
            assertThat(agent.stopReady(), is(drain));
        }

        private void ask(Step.Ask ask) {
            Start start = agent.start("a" + asked.size(), "j" + ask.job(), ask.task())
                    .setGeneration(ask.generation())
                    .setIdempotent(ask.job() == 2)
                    .build();
            asked.add(start);
            byAttempt.put(start.getAttemptId(), start);
            observe(start.getAttemptId(), () -> agent.ask(peer, start.toBuilder()));
        }

        private void repeat(int which) {
            if (asked.isEmpty()) {
                return;
            }
            Start start = asked.get(which % asked.size());
            observe(start.getAttemptId(), () -> agent.ask(peer, start.toBuilder()));
        }

        private void answer(int which, MinionAnswer answer) {
            if (running.isEmpty()) {
                return;
            }
            String attempt = running.remove(which % running.size());
            if (answer instanceof MinionAnswer.Declined || answer instanceof MinionAnswer.NotSent) {
                mayHaveRun.remove(attempt);
                onceOnlyDone.remove(taskOf(attempt));
            }
            observe("", () -> agent.answer(attempt, answer));
        }

        private void reconnect() {
            PeerId newer = new PeerId(peer.number() + 1);
            agent.join(newer, "entry-1");
            agent.apply(new AgentEvent.PeerDisconnected(peer));
            peer = newer;
        }

        /** Lets something happen and checks its effects; an attempt just asked for may be answered again. */
        private void observe(String askedAttempt, Runnable happening) {
            int runsBefore = agent.runs().size();
            int framesBefore = agent.frames().size();
            int abandonedBefore = agent.abandoned().size();
            happening.run();
            running.removeAll(
                    agent.abandoned().subList(abandonedBefore, agent.abandoned().size()));
            for (String attempt : agent.runs().subList(runsBefore, agent.runs().size())) {
                checkRun(attempt);
            }
            for (Frame frame :
                    agent.frames().subList(framesBefore, agent.frames().size())) {
                checkAnswer(frame, askedAttempt);
            }
        }

        private void checkRun(String attempt) {
            running.add(attempt);
            assertThat("slots", running.size(), lessThanOrEqualTo(SLOTS));
            assertThat("second run of one attempt", begun.add(attempt), is(true));
            assertThat("run after its refusal", answered, not(hasItem(attempt)));
            mayHaveRun.add(attempt);
            if (!byAttempt.get(attempt).getIdempotent()) {
                assertThat("second start of a task", onceOnlyDone.add(taskOf(attempt)), is(true));
            }
        }

        private void checkAnswer(Frame frame, String askedAttempt) {
            if (frame.hasRefusal()) {
                String attempt = frame.getRefusal().getAttemptId();
                assertThat("refused though it may have run", mayHaveRun, not(hasItem(attempt)));
                checkOnce(attempt, askedAttempt);
            } else if (frame.hasResult()) {
                checkOnce(frame.getResult().getAttemptId(), askedAttempt);
            }
        }

        private void checkOnce(String attempt, String askedAttempt) {
            boolean first = answered.add(attempt);
            assertThat("second answer for " + attempt, first || attempt.equals(askedAttempt), is(true));
        }

        private String taskOf(String attempt) {
            Start start = byAttempt.get(attempt);
            return start.getJobId() + "/" + start.getTaskIndex();
        }
    }
}
