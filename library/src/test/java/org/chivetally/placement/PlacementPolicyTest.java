package org.chivetally.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivetally.coordination.AgentId;
import org.chivetally.job.Resources;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;
import org.junit.jupiter.api.Test;

/** Tests which agent each placement policy selects, and how agent views estimate load. */
class PlacementPolicyTest {
    private static final String SERVICE = "routing";
    private static final int SLOTS = 8;
    private static final long MAXIMUM_TICKET_AGE_NANOS = 2_000_000_000L;
    private static final PlacementPolicy CREDITS = new PlacementPolicy.SlotCredits(0);

    private final Fleet fleet = new Fleet(0, 0);
    private final List<AgentView> agents = new ArrayList<>();
    private long sequence;

    private AgentView agent(String domain, int running) {
        Hello hello = Hello.newBuilder()
                .setService(SERVICE)
                .setFailureDomain(domain)
                .setCapacity(Capacity.newBuilder().setSlots(SLOTS))
                .setReport(report(running))
                .build();
        AgentView agent = fleet.applyHello(new AgentId("agent" + agents.size(), "1"), hello, 0);
        agents.add(agent);
        return agent;
    }

    private Report report(int running) {
        return Report.newBuilder()
                .setSequence(++sequence)
                .setRunning(running)
                .setFreeSlots(SLOTS - running)
                .build();
    }

    private PlacementChoice choose(PlacementPolicy policy, long seed, long nowNanos) {
        Placer placer = new Placer(policy, "north", MAXIMUM_TICKET_AGE_NANOS, new SplittableRandom(seed));
        return placer.choose(fleet.of(SERVICE), Resources.NONE, Set.of(), nowNanos);
    }

    private int[] countChoices(PlacementPolicy policy, int choices) {
        int[] counts = new int[agents.size()];
        for (int seed = 0; seed < choices; seed++) {
            counts[agents.indexOf(choose(policy, seed, 0).agent().orElseThrow())]++;
        }
        return counts;
    }

    /** A task sent to an agent without a free slot would wait there although another agent may be free sooner. */
    @Test
    void slotCreditsPlaceNothingWhileAllSlotsAreTaken() {
        agent("north", SLOTS);
        assertThat(CREDITS.hasCandidates(fleet.of(SERVICE)), equalTo(false));
        assertThat(choose(CREDITS, 1, 0).agent(), equalTo(Optional.empty()));
        assertThat(new PlacementPolicy.PowerOfTwoChoices().hasCandidates(fleet.of(SERVICE)), equalTo(true));
    }

    /** Random draws would sometimes miss the least loaded agent; the load index must always find it. */
    @Test
    void leastLoadedCreditsChooseTheLeastLoadedFreeAgent() {
        PlacementPolicy policy = new PlacementPolicy.LeastLoadedCredits(0);
        agent("north", 6);
        agent("south", 1);
        agent("north", 5);

        assertThat(countChoices(policy, 40), equalTo(new int[] {0, 40, 0}));
    }

    /** The load index also contains full agents, which must not receive tasks under late binding. */
    @Test
    void leastLoadedCreditsPlaceNothingWhileAllSlotsAreTaken() {
        PlacementPolicy policy = new PlacementPolicy.LeastLoadedCredits(0);
        agent("north", SLOTS);
        agent("south", SLOTS);

        assertThat(policy.hasCandidates(fleet.of(SERVICE)), equalTo(false));
        assertThat(choose(policy, 1, 0).agent(), equalTo(Optional.empty()));
    }

    /** With overcommit, places in the agent's own queue count as slots, so that a full agent is still a candidate. */
    @Test
    void overcommitAddsSlots() {
        Fleet overcommitted = new Fleet(2, 0);
        AgentView view = overcommitted.applyHello(
                new AgentId("a", "1"),
                Hello.newBuilder()
                        .setService(SERVICE)
                        .setCapacity(Capacity.newBuilder().setSlots(SLOTS))
                        .setReport(report(SLOTS))
                        .build(),
                0);
        assertThat(view.estimatedFree(2), equalTo(2));
        assertThat(new PlacementPolicy.SlotCredits(2).hasCandidates(overcommitted.of(SERVICE)), equalTo(true));
    }

    /** The fuller agent may be chosen only if both random draws hit it. */
    @Test
    void slotCreditsChooseTheLessLoadedOfTwo() {
        agent("north", 6);
        agent("north", 1);
        int[] counts = countChoices(CREDITS, 400);
        assertThat("only when drawn twice", counts[0], lessThan(40));
    }

    /** Ignoring failure domains would send tasks across domains without need. */
    @Test
    void ownFailureDomainBreaksTies() {
        agent("south", 3);
        agent("north", 3);
        int[] counts = countChoices(CREDITS, 400);
        assertThat("only when drawn twice", counts[0], lessThan(40));
    }

    /** An agent's report includes this coordinator's own attempts; counting them twice would hide free slots. */
    @Test
    void ownAttemptsAddToThoseOfOtherCoordinators() {
        AgentView view = agent("north", 5);
        fleet.attemptStarted(view, Resources.NONE);
        fleet.attemptStarted(view, Resources.NONE);
        assertThat(view.externalTasks(), equalTo(5));
        assertThat(view.estimatedFree(0), equalTo(1));
        fleet.applyReport(view, report(7), 0);
        assertThat("the report includes own attempts", view.externalTasks(), equalTo(5));
        fleet.attemptEnded(view, Resources.NONE);
        assertThat(view.estimatedFree(0), equalTo(2));
    }

    /** A report that arrives late must not replace the ticket and load of a newer one. */
    @Test
    void reportsOutOfOrderAreIgnored() {
        AgentView view = agent("north", 0);
        Report earlier = report(7);
        Report later = report(1);
        fleet.applyReport(view, later, 5);
        fleet.applyReport(view, earlier, 6);
        assertThat(view.externalTasks(), equalTo(1));
        assertThat(view.ticketReceivedAtNanos(), equalTo(5L));
    }

    /** The baseline policy must not be biased by load, or comparisons with it are meaningless. */
    @Test
    void uniformRandomIgnoresLoad() {
        agent("north", 0);
        agent("south", SLOTS);
        int[] counts = countChoices(new PlacementPolicy.UniformRandom(), 1_000);
        assertThat((double) counts[0], closeTo(500, 80));
    }

    /** A single agent with less load must be found among 100 others with equal load. */
    @Test
    void leastLoadedFindsOneAgentAmongMany() {
        for (int number = 0; number < 100; number++) {
            agent("north", 4);
        }
        AgentView least = agent("south", 2);
        assertThat(choose(new PlacementPolicy.LeastLoaded(), 3, 0).agent(), equalTo(Optional.of(least)));
    }

    /** An idle agent must be found among many busy ones, and no longer counts as idle once a task was placed on it. */
    @Test
    void joinIdleQueuePrefersIdleAgents() {
        for (int number = 0; number < 20; number++) {
            agent("north", 1);
        }
        AgentView idle = agent("north", 0);
        PlacementPolicy policy = new PlacementPolicy.JoinIdleQueue();
        assertThat(choose(policy, 3, 0).agent(), equalTo(Optional.of(idle)));
        fleet.attemptStarted(idle, Resources.NONE);
        assertThat("any agent if none is idle", choose(policy, 3, 0).agent().isPresent(), equalTo(true));
    }

    /** Agents refuse starts with an old ticket, so the caller must refresh it first, with one heartbeat only. */
    @Test
    void staleTicketsAreReturnedForRefresh() {
        AgentView view = agent("north", 0);
        PlacementChoice choice = choose(CREDITS, 1, MAXIMUM_TICKET_AGE_NANOS + 1);
        assertThat(choice.agent(), equalTo(Optional.empty()));
        assertThat(choice.staleTickets(), contains(view));
        fleet.refreshSent(view, MAXIMUM_TICKET_AGE_NANOS + 1);
        assertThat(
                "a heartbeat is already in flight",
                choose(CREDITS, 1, MAXIMUM_TICKET_AGE_NANOS + 2).staleTickets(),
                empty());
    }

    /** Random draws may hit only agents with stale tickets; the scan must then find the one with a fresh ticket. */
    @Test
    void oneFreshAgentAmongManyStaleIsFound() {
        for (int number = 0; number < 40; number++) {
            agent("north", 0);
        }
        AgentView fresh = agents.get(17);
        fleet.applyReport(fresh, report(0), MAXIMUM_TICKET_AGE_NANOS);
        PlacementChoice choice = choose(CREDITS, 1, MAXIMUM_TICKET_AGE_NANOS + 1);
        assertThat(choice.agent(), equalTo(Optional.of(fresh)));
    }

    /** Tasks must not fail for lack of another agent, but must wait if another agent is only full. */
    @Test
    void avoidedAgentIsChosenOnlyWithoutAlternative() {
        AgentView only = agent("north", 0);
        Placer placer = new Placer(CREDITS, "north", MAXIMUM_TICKET_AGE_NANOS, new SplittableRandom(1));
        Set<AgentId> avoid = Set.of(only.id());
        assertThat(placer.choose(fleet.of(SERVICE), Resources.NONE, avoid, 0).agent(), equalTo(Optional.of(only)));
        agent("north", SLOTS);
        assertThat(
                "waits for the other agent",
                placer.choose(fleet.of(SERVICE), Resources.NONE, avoid, 0).agent(),
                equalTo(Optional.empty()));
    }

    /** Gone agents receive no tasks, but remain possible holders of tasks that were started before. */
    @Test
    void unreachableAndGoneAgentsAreNotCandidates() {
        AgentView view = agent("north", 0);
        fleet.markUnreachable(view.id());
        assertThat(view.state(), equalTo(AgentState.UNREACHABLE));
        assertThat(fleet.of(SERVICE).hasAccepting(), equalTo(false));
        fleet.markGone(view.id(), 0);
        assertThat(view.state(), equalTo(AgentState.GONE));
        assertThat(fleet.of(SERVICE).agents(), empty());
        assertThat("may have run tasks before", fleet.possibleHolders(SERVICE, OptionalLong.empty(), 0), hasSize(1));
    }

    /** Failed simulation runs must be reproducible from their seed. */
    @Test
    void sameSeedRepeatsTheChoices() {
        for (int number = 0; number < 50; number++) {
            agent("north", number % 5);
        }
        assertThat(countChoices(CREDITS, 50), equalTo(countChoices(CREDITS, 50)));
    }
}
