package org.chivetally.entry.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Transitions of the membership view: joining, suspicion, declared failures, rejoining and retention. */
class MembershipViewTest {
    private static final Member AGENT = MembershipDriver.agent("agent-1", "1");
    private static final Member SUCCESSOR = MembershipDriver.agent("agent-1", "2");
    private static final Member SAME_DOMAIN_ENTRY = MembershipDriver.entry("entry-2", "north");
    private static final Member SOUTH = MembershipDriver.entry("entry-3", "south");
    private static final Member EAST = MembershipDriver.entry("entry-4", "east");
    private static final MemberRecord GONE = new MemberRecord.Gone("agent-1", "1", "entry-1");
    private static final Duration DECLARATION_WAIT = Duration.ofMillis(5_500);

    private final MembershipDriver driver = new MembershipDriver();

    private Optional<MemberState> state(Member member) {
        return driver.view.state(member.id());
    }

    private List<Member> members() {
        return driver.view.list().members();
    }

    private void loseAgentWith(Member... entries) {
        driver.join(entries);
        driver.join(AGENT);
        driver.disconnect(AGENT);
    }

    @Test
    void agentUnreachableFromOneEntryOnlyStaysInTheView() {
        // One connection fails while the agent serves all other entries. Only this entry may stop using it: if the
        // agent
        // were declared gone, every entry would lose a healthy agent because of one bad connection.
        loseAgentWith(SOUTH, EAST);
        assertThat(state(AGENT), is(Optional.of(MemberState.SUSPECT)));
        driver.advance(Duration.ofMillis(300));
        assertThat(driver.effects(MembershipEffect.Ask.class), hasSize(2));
        driver.answer(AGENT, SOUTH, false);
        driver.answer(AGENT, EAST, true);
        driver.advance(Duration.ofMillis(800));
        assertThat(driver.appended(), empty());
        assertThat(members(), hasItem(AGENT));
    }

    @Test
    void agentUnreachableFromTwoFailureDomainsIsDeclaredGoneOnce() {
        // A crashed agent is unreachable from two failure domains. The view must request its gone record, and must not
        // append
        // one per query round.
        loseAgentWith(SOUTH);
        for (int second = 0; second < 20; second++) {
            driver.answer(AGENT, SOUTH, false);
            driver.advance(Duration.ofMillis(500));
        }
        assertThat(driver.appended(), contains(GONE));
        assertThat("in the view until the record is read", members(), hasItem(AGENT));
        driver.declareGone(AGENT);
        assertThat(members(), not(hasItem(AGENT)));
        assertThat(driver.view.list().ended(), contains(EndedMember.of(AGENT, EndedMember.Reason.PRESUMED_GONE)));
    }

    @Test
    void entryInTheSameFailureDomainDoesNotConfirm() {
        // A switch of one failure domain fails: its entries lose agents that still serve all other failure domains.
        loseAgentWith(SAME_DOMAIN_ENTRY);
        driver.advance(Duration.ofMillis(300));
        driver.answer(AGENT, SAME_DOMAIN_ENTRY, false);
        driver.advance(Duration.ofSeconds(30));
        assertThat(driver.effects(MembershipEffect.Ask.class), empty());
        assertThat(driver.appended(), empty());
    }

    @Test
    void shortOutageDuringABurstRemovesNoMember() {
        // A load burst keeps an agent from answering for two seconds: two entries lose it, then it reconnects.
        loseAgentWith(SOUTH);
        driver.advance(Duration.ofMillis(1_300));
        driver.answer(AGENT, SOUTH, false);
        driver.advance(Duration.ofMillis(700));
        driver.connect(AGENT);
        driver.advance(DECLARATION_WAIT);
        assertThat(driver.appended(), empty());
        assertThat(state(AGENT), is(Optional.of(MemberState.ALIVE)));
    }

    @Test
    void answerToAnEarlierQueryDoesNotConfirm() {
        // An answer to a query that a later query has replaced must not confirm: the agent may be reachable again
        // since.
        loseAgentWith(SOUTH);
        driver.advance(Duration.ofMillis(300));
        driver.answer(AGENT, SOUTH, false);
        driver.advance(Duration.ofSeconds(1));
        driver.advance(DECLARATION_WAIT);
        assertThat(driver.appended(), empty());
    }

    @Test
    void pausedAgentRejoinsOnlyAfterItAnnouncesItselfAgain() {
        // An agent process is paused, declared gone, and resumes. This entry reconnects at once, but other entries have
        // removed the agent: it must be notified and announce itself again to become a member for all entries.
        driver.join(AGENT);
        driver.disconnect(AGENT);
        driver.declareGone(AGENT);
        driver.connect(AGENT);
        assertThat(members(), not(hasItem(AGENT)));
        assertThat(driver.effects(MembershipEffect.TellGone.class), contains(new MembershipEffect.TellGone(AGENT)));
        driver.announce(AGENT);
        assertThat(members(), hasItem(AGENT));
        assertThat(state(AGENT), is(Optional.of(MemberState.ALIVE)));
    }

    @Test
    void secondGoneRecordOfAnIncarnationIsIgnored() {
        // A duplicate gone record must not remove an agent that has announced itself again since the first one.
        driver.join(AGENT);
        driver.disconnect(AGENT);
        driver.declareGone(AGENT);
        driver.announce(AGENT);
        driver.declareGone(AGENT);
        assertThat(members(), hasItem(AGENT));
    }

    @Test
    void newIncarnationAtTheSameAddressSupersedes() {
        // A restarted agent replaces its predecessor. A late announcement must not restore the stopped incarnation.
        driver.join(AGENT);
        driver.announce(SUCCESSOR);
        assertThat(members(), hasItem(SUCCESSOR));
        assertThat(driver.view.list().ended(), contains(EndedMember.of(AGENT, EndedMember.Reason.SUPERSEDED)));
        driver.announce(AGENT);
        assertThat("after a late announcement", members(), not(hasItem(AGENT)));
    }

    @Test
    void leaveOfAPredecessorDoesNotRemoveItsSuccessor() {
        // The leave record of a stopped incarnation may be read after its successor's announcement.
        driver.announce(AGENT);
        driver.announce(SUCCESSOR);
        driver.leave(AGENT);
        assertThat(members(), hasItem(SUCCESSOR));
        driver.leave(SUCCESSOR);
        assertThat(members(), contains(driver.self));
    }

    @Test
    void leaveOfAnUnknownIncarnationIsListedAsEnded() {
        // The log has expired its announcements, but it may have run tasks of jobs that are taken over.
        driver.leave(AGENT);
        EndedMember departed = new EndedMember(AGENT.id(), "", "", EndedMember.Reason.LEFT);
        assertThat(driver.view.list().ended(), contains(departed));
        driver.announce(AGENT);
        assertThat(members(), contains(driver.self));
    }

    @Test
    void unannouncedAgentIsAnnouncedOnItsBehalf() {
        // An entry that takes over a job finds agents through the log, so an agent missing there must be announced.
        driver.handle(new MembershipEvent.Introduced(AGENT));
        driver.advance(Duration.ofSeconds(2));
        assertThat(driver.appended(), contains(new MemberRecord.Announce(AGENT)));
    }

    @Test
    void repeatedAnnouncementChangesNothing() {
        // Members announce themselves periodically; that must not publish a new list each time.
        driver.announce(AGENT);
        driver.effects.clear();
        driver.announce(AGENT);
        assertThat(driver.effects, empty());
    }

    @Test
    void openConnectionOverridesTheOrderOfRecords() {
        // Records out of order make the older incarnation the member; a connection to the newer one must correct that.
        driver.announce(SUCCESSOR);
        driver.announce(AGENT);
        driver.connect(SUCCESSOR);
        assertThat(members(), hasItem(SUCCESSOR));
        assertThat(driver.view.list().ended(), contains(EndedMember.of(AGENT, EndedMember.Reason.SUPERSEDED)));
    }

    @Test
    void leaveRemovesAtOnceAndPermanently() {
        // Late announcements and open connections must not restore an incarnation that left, even after the retention.
        driver.join(AGENT);
        driver.leave(AGENT);
        assertThat(members(), not(hasItem(AGENT)));
        driver.announce(AGENT);
        driver.connect(AGENT);
        assertThat(members(), not(hasItem(AGENT)));
        driver.advanceAtOnce(MembershipDriver.CLAIM_WINDOW.multipliedBy(3));
        driver.disconnect(AGENT);
        driver.advanceAtOnce(MembershipDriver.CLAIM_WINDOW.multipliedBy(3));
        assertThat(driver.view.list().ended(), empty());
        driver.announce(AGENT);
        assertThat("after the retention", members(), not(hasItem(AGENT)));
    }

    @Test
    void introducedMembersAreListedAsUnannounced() {
        // While the log is down, processes are known by their introductions only, and must be members nevertheless.
        driver.handle(new MembershipEvent.Introduced(AGENT));
        assertThat(members(), hasItem(AGENT));
        assertThat(driver.view.list().unannounced(), contains(AGENT.id()));
        driver.announce(AGENT);
        assertThat(driver.view.list().unannounced(), empty());
    }

    @Test
    void agentNeverConnectedIsSuspectedAndQueried() {
        // The log still lists an agent that crashed before this entry started.
        driver.join(SOUTH);
        driver.announce(AGENT);
        driver.advance(Duration.ofSeconds(10));
        assertThat(state(AGENT), is(Optional.of(MemberState.SUSPECT)));
        for (int half = 0; half < 15; half++) {
            driver.advance(Duration.ofMillis(500));
            driver.answer(AGENT, SOUTH, false);
        }
        assertThat(driver.appended(), contains(GONE));
    }

    @Test
    void flappingAgentIsHeldDownForLongerEachTime() {
        // A bad cable drops an agent's connection every few seconds. If the agent got its full share of tasks after
        // each
        // reconnection, each drop would leave that share of all tasks with an unknown outcome.
        driver.join(AGENT);
        for (int failure = 0; failure < 3; failure++) {
            driver.disconnect(AGENT);
            driver.advance(Duration.ofMillis(100));
            driver.connect(AGENT);
        }
        assertThat(
                driver.effects(MembershipEffect.HoldDown.class),
                contains(
                        new MembershipEffect.HoldDown(AGENT.id(), true),
                        new MembershipEffect.HoldDown(AGENT.id(), true)));
        driver.effects.clear();
        driver.advance(Duration.ofMillis(1_900));
        assertThat(driver.effects(MembershipEffect.HoldDown.class), empty());
        driver.advance(Duration.ofMillis(200));
        assertThat(
                driver.effects(MembershipEffect.HoldDown.class),
                contains(new MembershipEffect.HoldDown(AGENT.id(), false)));
    }

    @Test
    void entryDeclaredGoneByMistakeAnnouncesItselfAgain() {
        // An entry that reads its own gone record must announce itself again, or other entries would keep it removed.
        driver.declareGone(driver.self);
        assertThat(driver.appended(), contains(new MemberRecord.Announce(driver.self)));
        assertThat(members(), hasItem(driver.self));
    }

    @Test
    void memberWithoutContactIsPresumedGoneAfterTheTimeout() {
        // No other entry confirms the failure of this agent; without the timeout of 25 minutes it would stay a member.
        driver.announce(AGENT);
        driver.advanceAtOnce(Duration.ofMinutes(24));
        assertThat(members(), hasItem(AGENT));
        driver.announce(AGENT);
        driver.advanceAtOnce(Duration.ofMinutes(25));
        assertThat(driver.view.list().ended(), contains(EndedMember.of(AGENT, EndedMember.Reason.PRESUMED_GONE)));
    }

    @Test
    void endedMembersAreListedForTheRetention() {
        // Jobs may be taken over for that long, and the new owner has to query ended agents that may have run their
        // tasks.
        driver.announce(AGENT);
        driver.announce(SUCCESSOR);
        driver.advanceAtOnce(MembershipDriver.CLAIM_WINDOW.multipliedBy(2).minusMillis(1));
        assertThat(driver.view.list().ended(), hasSize(1));
        driver.advanceAtOnce(Duration.ofMillis(1));
        assertThat(driver.view.list().ended(), empty());
    }
}
