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

class ClaimStateMachinePropertiesTest {
    /**
     * Whatever the log does to appends and answers, and however long processes stand still: a key and generation is won
     * once, each caller gets a decision, all processes agree in the end, no key belongs to a process that told its
     * caller "not run", and no process gives up what it was told to have won. Appends land late, several times or
     * never; answers are lost or come late; processes race.
     */
    @Property(tries = 2_000)
    void oneWinnerAndNoOrphans(@ForAll("schedules") List<Step> schedule) {
        Simulation world = new Simulation();
        schedule.forEach(world::play);
        world.quiesce();
        assertThat(world.winners.values(), everyItem(hasSize(1)));
        world.replies.forEach(reply -> assertThat(reply.isDone(), is(true)));
        TableImage image = world.processes.getFirst().claimant.image();
        world.processes.forEach(process -> assertThat(process.claimant.image(), is(image)));
        for (CompactClaim held : image.held()) {
            boolean nobody = held.coordinator().equals(Coordinator.NOBODY);
            List<Coordinator> winners = world.winners.getOrDefault(Simulation.placeOf(held.claim()), List.of());
            assertThat(nobody ? winners.isEmpty() : winners.contains(held.coordinator()), is(true));
        }
    }

    /** A snapshot that covers less than was read changes nothing: claims known once are never forgotten early. */
    @Example
    void tableNeverGoesBackwards() {
        Simulation world = new Simulation();
        TableImage older = world.processes.getFirst().claimant().image();
        world.play(new Step(StepKind.CLAIM, 0, 0));
        world.deliverAll();
        ClaimStateMachine claimant = world.processes.getFirst().claimant();
        TableImage newer = claimant.image();
        claimant.restore(older, world.clock.nanos());
        assertThat(claimant.image(), is(newer));
        assertThat(newer.held(), hasSize(1));
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
        PASS,
        SEND,
        READ,
        LAND,
        ANSWER,
        CLAIM,
        TAKE_OVER,
        LEAVE_ALONE,
        DELIVER_ALL
    }

    private record Step(StepKind kind, int process, int number) {}

    private static final class InFlightAppend {
        private final ClaimStateMachine sender;
        private final long number;
        private final List<NewRecord> records;
        private boolean landed;
        private boolean refused;

        private InFlightAppend(ClaimStateMachine sender, long number, List<NewRecord> records) {
            this.sender = sender;
            this.number = number;
            this.records = records;
        }
    }

    private record Process(Coordinator self, ClaimStateMachine claimant) {}

    private static final class Simulation {
        private static final int PROCESSES = 3;
        private static final ClaimSettings SETTINGS = ClaimSettings.defaults(Duration.ofHours(5), Duration.ofHours(6));

        private final ManualClock clock = new ManualClock();
        private final List<Process> processes = new ArrayList<>();
        private final List<LogRecord> stream = new ArrayList<>();
        private final List<InFlightAppend> flights = new ArrayList<>();
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

        private static List<Object> placeOf(Claim claim) {
            return List.of(claim.key(), claim.generation());
        }

        private void play(Step step) {
            Process process = processes.get(step.process());
            switch (step.kind()) {
                case PASS -> clock.advance(Duration.ofMillis(step.number()));
                case SEND -> send(process);
                case READ -> read(process);
                case LAND -> flight(step.number()).ifPresent(this::land);
                case ANSWER -> flight(step.number()).ifPresent(flight -> answer(flight, step.number()));
                case CLAIM -> claim(process, step.number());
                case TAKE_OVER -> takeOver(process, step.number());
                case LEAVE_ALONE -> leaveAlone(process);
                case DELIVER_ALL -> deliverAll();
            }
        }

        private Optional<InFlightAppend> flight(int number) {
            return flights.isEmpty()
                    ? Optional.empty()
                    : Optional.of(flights.get(flights.size() - 1 - number % Math.min(4, flights.size())));
        }

        private void claim(Process process, int number) {
            jobs++;
            SubmissionKey key = keyOf(number);
            ClaimRecord.Claimed claimed = new ClaimRecord.Claimed(
                    key, ClaimSamples.BODY, new JobId("job-" + jobs), process.self(), SETTINGS.writtenWindow());
            process.claimant().claim(claimed, ClaimMode.LOG, reply(), clock.nanos());
            perform(process);
        }

        private void takeOver(Process process, int number) {
            process.claimant().find(keyOf(number)).ifPresent(claim -> {
                process.claimant().takeOver(claim, reply(), clock.nanos());
                perform(process);
            });
        }

        /** All others stand still for longer than their leases. */
        private void leaveAlone(Process process) {
            for (int round = 0; round < 4; round++) {
                clock.advance(Duration.ofSeconds(3));
                send(process);
                flights.stream()
                        .filter(flight -> flight.sender == process.claimant())
                        .forEach(this::land);
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
            process.claimant().tick(clock.nanos());
            perform(process);
            process.claimant().nextAppend(clock.nanos()).ifPresent(batch -> {
                List<NewRecord> records = batch.records().stream()
                        .map(outgoing -> ClaimSamples.written(
                                process.self().processId(),
                                outgoing.sequence(),
                                outgoing.content(),
                                outgoing.entry().streamMillis()))
                        .toList();
                flights.add(new InFlightAppend(process.claimant(), batch.number(), records));
            });
        }

        private void land(InFlightAppend flight) {
            if (flight.refused) {
                return;
            }
            flight.landed = true;
            flight.records.forEach(record -> stream.add(new LogRecord(stream.size(), record.id(), record.payload())));
        }

        private void answer(InFlightAppend flight, int number) {
            boolean refuse = number % 3 == 0 && !flight.landed;
            flight.refused = flight.refused || refuse;
            AppendOutcome known = flight.landed ? new AppendOutcome.Appended(0) : new AppendOutcome.Unknown("late");
            AppendOutcome lost = refuse ? new AppendOutcome.Refused("down") : new AppendOutcome.Unknown("lost");
            flight.sender.appended(flight.number, number % 3 == 1 ? known : lost, clock.nanos());
        }

        private void read(Process process) {
            int from = (int) process.claimant().nextOffset();
            List<LogRecord> records = List.copyOf(stream.subList(from, stream.size()));
            process.claimant().read(records, stream.size(), clock.nanos(), clock.nanos());
            perform(process);
        }

        private void deliverAll() {
            processes.forEach(this::send);
            flights.stream().filter(flight -> !flight.landed).forEach(this::land);
            flights.stream().filter(flight -> flight.landed).forEach(flight -> answer(flight, 1));
            processes.forEach(this::read);
        }

        /** The log works again, and whatever was under way either lands or never does. */
        private void quiesce() {
            flights.forEach(flight -> answer(flight, 2));
            flights.forEach(flight -> flight.landed = true);
            for (int round = 0; round < 30; round++) {
                clock.advance(Duration.ofMillis(500));
                deliverAll();
            }
        }

        private void perform(Process process) {
            for (ClaimEffect effect : process.claimant().takeEffects()) {
                if (effect instanceof ClaimEffect.Decide decide) {
                    decide.reply().complete(decide.decision());
                    count(decide.decision());
                }
            }
        }

        private void count(ClaimDecision decision) {
            if (decision instanceof ClaimDecision.Won won) {
                winners.computeIfAbsent(placeOf(won.claim()), ignored -> new ArrayList<>())
                        .add(won.claim().coordinator());
            }
        }
    }
}
