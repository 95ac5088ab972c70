package org.chivetally.entry.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** What holds for any interleaving of records, connections, answers and time. */
class MembershipPropertyTest {
    private static final Member SOUTH = MembershipDriver.entry("entry-3", "south");
    private static final Member NEIGHBOUR = MembershipDriver.entry("entry-2", "north");

    @Property(tries = 2_000)
    void membersAreRemovedOnlyForAReasonAndNeverForgotten(@ForAll("histories") List<Step> history) {
        MembershipDriver driver = new MembershipDriver();
        MembershipDriver twin = new MembershipDriver();
        Model model = new Model();
        driver.join(SOUTH, NEIGHBOUR);
        twin.join(SOUTH, NEIGHBOUR);
        for (Step step : history) {
            driver.effects.clear();
            step.carryOut(driver);
            step.carryOut(twin);
            model.take(step);
            model.check(driver);
        }
        assertThat("the same events give the same view", twin.view.list(), equalTo(driver.view.list()));
    }

    @Provide
    Arbitrary<List<Step>> histories() {
        Arbitrary<Member> agents = Combinators.combine(
                        Arbitraries.of("agent-1", "agent-2"), Arbitraries.of("1", "2", "3"))
                .as(MembershipDriver::agent);
        Arbitrary<Step> steps =
                Combinators.combine(Arbitraries.of(Kind.class), agents).as(Step::new);
        return steps.list().ofMinSize(1).ofMaxSize(60);
    }

    private enum Kind {
        ANNOUNCE,
        INTRODUCE,
        LEAVE,
        GONE,
        REACH,
        LOSE,
        CONFIRM,
        REFUTE,
        NEIGHBOUR_CONFIRMS,
        A_MOMENT,
        SOME_SECONDS
    }

    private record Step(Kind kind, Member agent) {
        void carryOut(MembershipDriver driver) {
            switch (kind) {
                case ANNOUNCE -> driver.announce(agent);
                case INTRODUCE -> driver.handle(new MembershipEvent.Introduced(agent));
                case LEAVE -> driver.leave(agent);
                case GONE -> driver.gone(agent);
                case REACH -> driver.reach(agent);
                case LOSE -> driver.lose(agent);
                case CONFIRM -> driver.answer(agent, SOUTH, false);
                case REFUTE -> driver.answer(agent, SOUTH, true);
                case NEIGHBOUR_CONFIRMS -> driver.answer(agent, NEIGHBOUR, false);
                case A_MOMENT -> driver.advance(Duration.ofMillis(900));
                case SOME_SECONDS -> driver.advance(Duration.ofSeconds(4));
            }
        }
    }

    /** What the view must not do, kept apart from how it does it. */
    private static final class Model {
        private final Set<MemberId> named = new HashSet<>();
        private final Set<MemberId> left = new HashSet<>();
        private final Set<MemberId> reached = new HashSet<>();
        private final Map<MemberId, Boolean> lastAnswer = new HashMap<>();
        private final Set<MemberId> goneBefore = new HashSet<>();
        private Set<MemberId> lastMembers = Set.of();
        private final Set<MemberId> mustAnnounce = new HashSet<>();

        void take(Step step) {
            MemberId id = step.agent.id();
            switch (step.kind) {
                case ANNOUNCE, INTRODUCE -> {
                    mustAnnounce.remove(id);
                    if (!left.contains(id)) {
                        named.add(id);
                    }
                }
                case LEAVE -> left.add(id);
                case GONE -> {
                    if (lastMembers.contains(id)) {
                        goneBefore.add(id);
                    }
                }
                case REACH -> {
                    reached.add(id);
                    lastAnswer.remove(id);
                }
                case LOSE -> reached.remove(id);
                case CONFIRM -> lastAnswer.put(id, false);
                case REFUTE -> lastAnswer.put(id, true);
                default -> {
                    // Says nothing of one member.
                }
            }
        }

        void check(MembershipDriver driver) {
            MemberList list = driver.view.list();
            Set<MemberId> members = ids(list.members());
            Set<MemberId> ended =
                    list.ended().stream().map(over -> over.member().id()).collect(Collectors.toSet());
            for (MemberId id : named) {
                assertThat("named: " + id, members.contains(id) || ended.contains(id), is(true));
            }
            left.forEach(id -> assertThat("left", members, not(hasItem(id))));
            mustAnnounce.forEach(id -> assertThat("to announce itself anew", members, not(hasItem(id))));
            for (MemberRecord record : driver.appended()) {
                checkDeclared((MemberRecord.Gone) record, members);
            }
            lastMembers = members;
            for (EndedMember over : list.ended()) {
                boolean presumed = over.reason() == EndedMember.Reason.PRESUMED_GONE;
                if (presumed) {
                    mustAnnounce.add(over.member().id());
                }
            }
        }

        private void checkDeclared(MemberRecord.Gone gone, Set<MemberId> members) {
            MemberId id = new MemberId(gone.processId(), gone.incarnation());
            assertThat("a member", members, hasItem(id));
            assertThat("not reached", reached, not(hasItem(id)));
            assertThat("confirmed by another failure domain", lastAnswer.get(id), is(false));
            assertThat("declared gone once", goneBefore, not(hasItem(id)));
        }

        private static Set<MemberId> ids(List<Member> members) {
            return members.stream().map(Member::id).collect(Collectors.toSet());
        }
    }
}
