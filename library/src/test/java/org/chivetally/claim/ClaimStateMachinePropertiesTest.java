package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;

/** Runs several claim state machines against a simulated log with random faults. */
class ClaimStateMachinePropertiesTest {
    /**
     * Checks that for random log faults and pauses of processes a key and generation is won at most once, each caller
     * gets a decision, all processes finally agree, no key belongs to a process that answered "not run", and no process
     * abandons a claim that it was reported to have won. Appends are written late, several times or never, answers are
     * lost or late, and processes race.
     */
    @Property(tries = 2_000)
    void oneWinnerAndNoOrphans(@ForAll("schedules") List<Step> schedule) {
        Simulation simulation = new Simulation();
        schedule.forEach(simulation::apply);
        simulation.quiesce();
        assertThat(simulation.winners.values(), everyItem(hasSize(1)));
        simulation.replies.forEach(reply -> assertThat(reply.isDone(), is(true)));
        TableImage image = simulation.processes.getFirst().stateMachine.image();
        simulation.processes.forEach(process -> assertThat(process.stateMachine.image(), is(image)));
        for (CompactClaim claim : image.claims()) {
            boolean unassigned = claim.coordinator().equals(Coordinator.NONE);
            List<Coordinator> winners =
                    simulation.winners.getOrDefault(Simulation.generationKey(claim.toClaim()), List.of());
            assertThat(unassigned ? winners.isEmpty() : winners.contains(claim.coordinator()), is(true));
        }
    }

    /**
     * A snapshot that covers fewer records than were read must change nothing, or claims would be removed before the
     * end of their windows.
     */
    @Example
    void olderSnapshotDoesNotReplaceNewerTable() {
        Simulation simulation = new Simulation();
        TableImage older = simulation.processes.getFirst().stateMachine().image();
        simulation.apply(new Step(StepKind.CLAIM, 0, 0));
        simulation.deliverAll();
        ClaimStateMachine stateMachine = simulation.processes.getFirst().stateMachine();
        TableImage newer = stateMachine.image();
        stateMachine.restore(older, simulation.clock.nanos());
        assertThat(stateMachine.image(), is(newer));
        assertThat(newer.claims(), hasSize(1));
    }

    @Provide
    Arbitrary<List<Step>> schedules() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.of(StepKind.class),
                        Arbitraries.integers().between(0, Simulation.PROCESSES - 1),
                        Arbitraries.integers().between(0, 4_000))
                .as(Step::new);
        return step.list().ofMinSize(20).ofMaxSize(150);
    }

    private enum StepKind {
        ADVANCE_CLOCK,
        SEND,
        READ,
        WRITE,
        ANSWER,
        CLAIM,
        TAKE_OVER,
        RUN_ALONE,
        DELIVER_ALL
    }

    private record Step(StepKind kind, int process, int number) {}

    private static final class InFlightAppend {
        private final ClaimStateMachine sender;
        private final long number;
        private final List<NewRecord> records;
        private boolean written;
        private boolean refused;

        private InFlightAppend(ClaimStateMachine sender, long number, List<NewRecord> records) {
            this.sender = sender;
            this.number = number;
            this.records = records;
        }
    }

    private record Process(Coordinator self, ClaimStateMachine stateMachine) {}

    private static final class Simulation {
        private static final int PROCESSES = 3;
        private static final ClaimSettings SETTINGS = ClaimSettings.defaults(Duration.ofHours(5), Duration.ofHours(6));

        private final ManualClock clock = new ManualClock();
        private final List<Process> processes = new ArrayList<>();
        private final List<LogRecord> stream = new ArrayList<>();
        private final List<InFlightAppend> appends = new ArrayList<>();
        private final List<CompletableFuture<ClaimDecision>> replies = new ArrayList<>();
        private final Map<List<Object>, List<Coordinator>> winners = new HashMap<>();
        private int jobs;

        private Simulation() {
            for (int number = 0; number < PROCESSES; number++) {
                Coordinator self = ClaimSamples.process("p" + number);
                LeaseTable leases = new LeaseTable(SETTINGS.lease(), SETTINGS.longestTicketAge());
                OwnLease lease = new OwnLease(SETTINGS.lease());
                processes.add(new Process(self, new ClaimStateMachine(SETTINGS, self, leases, lease, clock)));
                read(processes.getLast());
            }
        }

        private static List<Object> generationKey(Claim claim) {
            return List.of(claim.key(), claim.generation());
        }

        private void apply(Step step) {
            Process process = processes.get(step.process());
            switch (step.kind()) {
                case ADVANCE_CLOCK -> clock.advance(Duration.ofMillis(step.number()));
                case SEND -> send(process);
                case READ -> read(process);
                case WRITE -> pickAppend(step.number()).ifPresent(this::write);
                case ANSWER -> pickAppend(step.number()).ifPresent(append -> answer(append, step.number()));
                case CLAIM -> claim(process, step.number());
                case TAKE_OVER -> takeOver(process, step.number());
                case RUN_ALONE -> runAlone(process);
                case DELIVER_ALL -> deliverAll();
            }
        }

        private Optional<InFlightAppend> pickAppend(int number) {
            return appends.isEmpty()
                    ? Optional.empty()
                    : Optional.of(appends.get(appends.size() - 1 - number % Math.min(4, appends.size())));
        }

        private void claim(Process process, int number) {
            jobs++;
            SubmissionKey key = keyOf(number);
            ClaimRecord.Claimed claimed = new ClaimRecord.Claimed(
                    key, ClaimSamples.BODY, new JobId("job-" + jobs), process.self(), SETTINGS.recordedWindow());
            process.stateMachine().claim(claimed, ClaimMode.LOG, reply(), clock.nanos());
            perform(process);
        }

        private void takeOver(Process process, int number) {
            process.stateMachine().find(keyOf(number)).ifPresent(claim -> {
                process.stateMachine().takeOver(claim, reply(), clock.nanos());
                perform(process);
            });
        }

        /** Runs one process alone for longer than the leases of all others. */
        private void runAlone(Process process) {
            for (int round = 0; round < 4; round++) {
                clock.advance(Duration.ofSeconds(3));
                send(process);
                appends.stream()
                        .filter(append -> append.sender == process.stateMachine())
                        .forEach(this::write);
                read(process);
            }
        }

        private static SubmissionKey keyOf(int number) {
            return number % 2 == 0 ? ClaimSamples.KEY : ClaimSamples.OTHER_KEY;
        }

        private CompletableFuture<ClaimDecision> reply() {
            replies.add(new CompletableFuture<>());
            return replies.getLast();
        }

        private void send(Process process) {
            process.stateMachine().tick(clock.nanos());
            perform(process);
            process.stateMachine().nextAppend(clock.nanos()).ifPresent(batch -> {
                List<NewRecord> records = batch.records().stream()
                        .map(outgoing -> ClaimSamples.newRecord(
                                process.self().processId(),
                                outgoing.sequence(),
                                outgoing.content(),
                                outgoing.timestamped().streamMillis()))
                        .toList();
                appends.add(new InFlightAppend(process.stateMachine(), batch.number(), records));
            });
        }

        private void write(InFlightAppend append) {
            if (append.refused) {
                return;
            }
            append.written = true;
            append.records.forEach(record -> stream.add(new LogRecord(stream.size(), record.id(), record.payload())));
        }

        private void answer(InFlightAppend append, int number) {
            boolean refuse = number % 3 == 0 && !append.written;
            append.refused = append.refused || refuse;
            AppendOutcome truthful = append.written ? new AppendOutcome.Appended(0) : new AppendOutcome.Unknown("late");
            AppendOutcome lost = refuse ? new AppendOutcome.Refused("down") : new AppendOutcome.Unknown("lost");
            append.sender.appendCompleted(append.number, number % 3 == 1 ? truthful : lost, clock.nanos());
        }

        private void read(Process process) {
            int from = (int) process.stateMachine().nextOffset();
            List<LogRecord> records = List.copyOf(stream.subList(from, stream.size()));
            process.stateMachine().recordsRead(records, stream.size(), clock.nanos(), clock.nanos());
            perform(process);
        }

        private void deliverAll() {
            processes.forEach(this::send);
            appends.stream().filter(append -> !append.written).forEach(this::write);
            appends.stream().filter(append -> append.written).forEach(append -> answer(append, 1));
            processes.forEach(this::read);
        }

        /** Ends all faults; appends in flight are either written or never will be. */
        private void quiesce() {
            appends.forEach(append -> answer(append, 2));
            appends.forEach(append -> append.written = true);
            for (int round = 0; round < 30; round++) {
                clock.advance(Duration.ofMillis(500));
                deliverAll();
            }
        }

        private void perform(Process process) {
            for (ClaimEffect effect : process.stateMachine().drainEffects()) {
                if (effect instanceof ClaimEffect.Decide decide) {
                    decide.reply().complete(decide.decision());
                    recordWinner(decide.decision());
                }
            }
        }

        private void recordWinner(ClaimDecision decision) {
            if (decision instanceof ClaimDecision.Won won) {
                winners.computeIfAbsent(generationKey(won.claim()), ignored -> new ArrayList<>())
                        .add(won.claim().coordinator());
            }
        }
    }
}
