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

/** Invariants of the view for any interleaving of records, connections, answers and time. */
class MembershipPropertyTest {
    private static final Member SOUTH = MembershipDriver.entry("entry-3", "south");
    private static final Member SAME_DOMAIN_ENTRY = MembershipDriver.entry("entry-2", "north");

    @Property(tries = 2_000)
    void membersAreRemovedOnlyForAReasonAndStayListed(@ForAll("histories") List<Step> history) {
        // A member removed without a reason gets no tasks; one that is not listed is not queried at a takeover.
        MembershipDriver driver = new MembershipDriver();
        MembershipDriver replica = new MembershipDriver();
        Model model = new Model();
        driver.join(SOUTH, SAME_DOMAIN_ENTRY);
        replica.join(SOUTH, SAME_DOMAIN_ENTRY);
        for (Step step : history) {
            driver.effects.clear();
            step.run(driver);
            step.run(replica);
            model.apply(step);
            model.check(driver);
        }
        assertThat("the same events give the same view", replica.view.list(), equalTo(driver.view.list()));
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
        CONNECT,
        DISCONNECT,
        CONFIRM,
        REFUTE,
        SAME_DOMAIN_CONFIRMS,
        WAIT_900_MILLIS,
        WAIT_4_SECONDS
    }

    private record Step(Kind kind, Member agent) {
        void run(MembershipDriver driver) {
            switch (kind) {
                case ANNOUNCE -> driver.announce(agent);
                case INTRODUCE -> driver.handle(new MembershipEvent.Introduced(agent));
                case LEAVE -> driver.leave(agent);
                case GONE -> driver.declareGone(agent);
                case CONNECT -> driver.connect(agent);
                case DISCONNECT -> driver.disconnect(agent);
                case CONFIRM -> driver.answer(agent, SOUTH, false);
                case REFUTE -> driver.answer(agent, SOUTH, true);
                case SAME_DOMAIN_CONFIRMS -> driver.answer(agent, SAME_DOMAIN_ENTRY, false);
                case WAIT_900_MILLIS -> driver.advance(Duration.ofMillis(900));
                case WAIT_4_SECONDS -> driver.advance(Duration.ofSeconds(4));
            }
        }
    }

    /** Reference model of the invariants, independent of the implementation of the view. */
    private static final class Model {
        private final Set<Incarnation> everAnnounced = new HashSet<>();
        private final Set<Incarnation> left = new HashSet<>();
        private final Set<Incarnation> connected = new HashSet<>();
        private final Map<Incarnation, Boolean> lastAnswer = new HashMap<>();
        private final Set<Incarnation> declaredGone = new HashSet<>();
        private Set<Incarnation> lastMembers = Set.of();
        private final Set<Incarnation> mustAnnounce = new HashSet<>();

        void apply(Step step) {
            Incarnation id = step.agent.id();
            switch (step.kind) {
                case ANNOUNCE, INTRODUCE -> {
                    mustAnnounce.remove(id);
                    if (!left.contains(id)) {
                        everAnnounced.add(id);
                    }
                }
                case LEAVE -> left.add(id);
                case GONE -> {
                    if (lastMembers.contains(id)) {
                        declaredGone.add(id);
                    }
                }
                case CONNECT -> {
                    connected.add(id);
                    lastAnswer.remove(id);
                }
                case DISCONNECT -> connected.remove(id);
                case CONFIRM -> lastAnswer.put(id, false);
                case REFUTE -> lastAnswer.put(id, true);
                default -> {
                    // Does not concern a particular member.
                }
            }
        }

        void check(MembershipDriver driver) {
            MemberList list = driver.view.list();
            Set<Incarnation> members = ids(list.members());
            Set<Incarnation> ended = list.ended().stream().map(EndedMember::id).collect(Collectors.toSet());
            for (Incarnation id : everAnnounced) {
                assertThat("listed: " + id, members.contains(id) || ended.contains(id), is(true));
            }
            left.forEach(id -> assertThat("left", members, not(hasItem(id))));
            mustAnnounce.forEach(id -> assertThat("must announce itself again", members, not(hasItem(id))));
            for (MemberRecord record : driver.appended()) {
                if (record instanceof MemberRecord.Gone gone) {
                    checkDeclared(gone, members);
                }
            }
            lastMembers = members;
            for (EndedMember endedMember : list.ended()) {
                boolean presumedGone = endedMember.reason() == EndedMember.Reason.PRESUMED_GONE;
                if (presumedGone) {
                    mustAnnounce.add(endedMember.id());
                }
            }
        }

        private void checkDeclared(MemberRecord.Gone gone, Set<Incarnation> members) {
            Incarnation id = new Incarnation(gone.processId(), gone.incarnation());
            assertThat("a member", members, hasItem(id));
            assertThat("not reached", connected, not(hasItem(id)));
            assertThat("confirmed by another failure domain", lastAnswer.get(id), is(false));
            assertThat("declared gone once", declaredGone, not(hasItem(id)));
        }

        private static Set<Incarnation> ids(List<Member> members) {
            return members.stream().map(Member::id).collect(Collectors.toSet());
        }
    }
}
