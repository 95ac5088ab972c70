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

/**
 * Applies random sequences of events to an agent and checks its guarantees: each attempt runs at most once and gets one
 * answer, a refused attempt has not run, a task that isn't idempotent starts once, and runs never exceed the slots.
 */
class AgentStatePropertyTest {
    private static final int SLOTS = 2;
    private static final List<MinionAnswer> ANSWERS = List.of(
            new MinionAnswer.Success("1"),
            new MinionAnswer.Failure("no"),
            new MinionAnswer.Lost("gone"),
            new MinionAnswer.Declined(),
            new MinionAnswer.NotSent("refused"));

    @Property(tries = 3_000)
    void startsAndAnswersEachAttemptAtMostOnce(@ForAll("schedules") List<Step> schedule, @ForAll boolean drainAtEnd) {
        Simulation simulation = new Simulation();
        for (Step step : schedule) {
            simulation.perform(step);
        }
        simulation.finish(drainAtEnd);
    }

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Integer> smallNumbers = Arbitraries.integers().between(0, 2);
        Arbitrary<Integer> generations = Arbitraries.of(1, 1, 1, 2, 3);
        Arbitrary<Boolean> mostlyTrue = Arbitraries.of(true, true, true, false);
        Arbitrary<Step> starts =
                Combinators.combine(smallNumbers, smallNumbers, generations).as(Step.RequestStart::new);
        Arbitrary<Step> repeats = Arbitraries.integers().between(0, 60).map(Step.RepeatStart::new);
        Arbitrary<Step> answers = Combinators.combine(
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, ANSWERS.size() - 1))
                .as(Step.Answer::new);
        Arbitrary<Step> inquiries =
                Combinators.combine(smallNumbers, generations).as(Step.Inquire::new);
        Arbitrary<Step> reports = Combinators.combine(mostlyTrue, mostlyTrue.map(wanted -> !wanted), smallNumbers)
                .as(Step.ReportState::new);
        Arbitrary<Step> advances = Arbitraries.of(1, 100, 1_000, 3_500).map(Step.Advance::new);
        Arbitrary<Step> cancels = smallNumbers.map(Step.Cancel::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(8, starts),
                        Tuple.of(3, repeats),
                        Tuple.of(6, answers),
                        Tuple.of(2, inquiries),
                        Tuple.of(2, reports),
                        Tuple.of(4, advances),
                        Tuple.of(1, cancels),
                        Tuple.of(1, Arbitraries.just(new Step.Reconnect())))
                .list()
                .ofMaxSize(60);
    }

    /** An event of a schedule; numbers select the job, task, attempt or answer that it affects. */
    sealed interface Step {
        record RequestStart(int job, int task, int generation) implements Step {}

        record RepeatStart(int which) implements Step {}

        record Answer(int which, int answer) implements Step {}

        record Inquire(int job, int generation) implements Step {}

        record Cancel(int job) implements Step {}

        record ReportState(boolean healthy, boolean draining, int running) implements Step {}

        record Advance(int millis) implements Step {}

        record Reconnect() implements Step {}
    }

    /** Simulates coordinators and the minion, and checks each effect. Tasks of job 2 are idempotent. */
    private static final class Simulation {
        private final AgentFixture agent = new AgentFixture();
        private final List<Start> requested = new ArrayList<>();
        private final Map<String, Start> byAttempt = new HashMap<>();
        private final List<String> running = new ArrayList<>();
        private final Set<String> started = new HashSet<>();
        private final Set<String> mayHaveRun = new HashSet<>();
        private final Set<String> startedOnceOnly = new HashSet<>();
        private final Set<String> answered = new HashSet<>();
        private PeerId peer = AgentFixture.PEER;

        void perform(Step step) {
            switch (step) {
                case Step.RequestStart request -> requestStart(request);
                case Step.RepeatStart repeat -> repeatStart(repeat.which());
                case Step.Answer answer -> answer(answer.which(), ANSWERS.get(answer.answer()));
                case Step.Inquire inquire ->
                    observe("", () -> agent.inquire(peer, "j" + inquire.job(), inquire.generation()));
                case Step.Cancel cancel ->
                    observe("", () -> agent.apply(new AgentEvent.CancelRequested(peer, List.of("j" + cancel.job()))));
                case Step.ReportState report ->
                    observe("", () -> agent.report(report.healthy(), report.draining(), report.running()));
                case Step.Advance advance -> observe("", () -> agent.advance(Duration.ofMillis(advance.millis())));
                case Step.Reconnect reconnect -> reconnectPeer();
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
            observe("", () -> agent.advance(Duration.ofMinutes(1)));
            assertThat(answered, is(byAttempt.keySet()));
            assertThat(agent.readyToStop(), is(drain));
        }

        private void requestStart(Step.RequestStart request) {
            Start start = agent.start("a" + requested.size(), "j" + request.job(), request.task())
                    .setGeneration(request.generation())
                    .setIdempotent(request.job() == 2)
                    .build();
            requested.add(start);
            byAttempt.put(start.getAttemptId(), start);
            observe(start.getAttemptId(), () -> agent.requestStart(peer, start.toBuilder()));
        }

        private void repeatStart(int which) {
            if (requested.isEmpty()) {
                return;
            }
            Start start = requested.get(which % requested.size());
            observe(start.getAttemptId(), () -> agent.requestStart(peer, start.toBuilder()));
        }

        private void answer(int which, MinionAnswer answer) {
            if (running.isEmpty()) {
                return;
            }
            String attempt = running.remove(which % running.size());
            if (answer instanceof MinionAnswer.Declined || answer instanceof MinionAnswer.NotSent) {
                mayHaveRun.remove(attempt);
                startedOnceOnly.remove(taskOf(attempt));
            }
            observe("", () -> agent.answer(attempt, answer));
        }

        private void reconnectPeer() {
            PeerId newer = new PeerId(peer.number() + 1);
            agent.connectPeer(newer, "entry-1");
            agent.apply(new AgentEvent.PeerDisconnected(peer));
            peer = newer;
        }

        /** Runs an action and checks its effects; only the attempt that it requests may be answered again. */
        private void observe(String requestedAttempt, Runnable action) {
            int runsBefore = agent.runs().size();
            int framesBefore = agent.frames().size();
            int abandonedBefore = agent.abandoned().size();
            action.run();
            running.removeAll(
                    agent.abandoned().subList(abandonedBefore, agent.abandoned().size()));
            for (String attempt : agent.runs().subList(runsBefore, agent.runs().size())) {
                checkRun(attempt);
            }
            for (Frame frame :
                    agent.frames().subList(framesBefore, agent.frames().size())) {
                checkAnswer(frame, requestedAttempt);
            }
        }

        private void checkRun(String attempt) {
            running.add(attempt);
            assertThat("slots", running.size(), lessThanOrEqualTo(SLOTS));
            assertThat("second run of one attempt", started.add(attempt), is(true));
            assertThat("run after its refusal", answered, not(hasItem(attempt)));
            mayHaveRun.add(attempt);
            if (!byAttempt.get(attempt).getIdempotent()) {
                assertThat("second start of a task", startedOnceOnly.add(taskOf(attempt)), is(true));
            }
        }

        private void checkAnswer(Frame frame, String requestedAttempt) {
            if (frame.hasRefusal()) {
                String attempt = frame.getRefusal().getAttemptId();
                assertThat("refused though it may have run", mayHaveRun, not(hasItem(attempt)));
                checkOnce(attempt, requestedAttempt);
            } else if (frame.hasResult()) {
                checkOnce(frame.getResult().getAttemptId(), requestedAttempt);
            }
        }

        private void checkOnce(String attempt, String requestedAttempt) {
            boolean first = answered.add(attempt);
            assertThat("second answer for " + attempt, first || attempt.equals(requestedAttempt), is(true));
        }

        private String taskOf(String attempt) {
            Start start = byAttempt.get(attempt);
            return start.getJobId() + "/" + start.getTaskIndex();
        }
    }
}
