package org.chivetally.entry.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivetally.entry.link.Address;
import org.junit.jupiter.api.Test;

class MemberTableTest {
    private final MemberTable table = new MemberTable();

    @Test
    void keepsTheLastAnnouncementOfEachProcess() {
        assertThat(announce("a", "1", 0), is(true));
        assertThat(announce("a", "1", 5), is(false));
        assertThat(announce("b", "1", 5), is(true));
        assertThat(announce("a", "2", 6), is(true));
        assertThat(table.members(), contains(member("a", "2"), member("b", "1")));
    }

    @Test
    void dropsWhatLeavesButNotItsSuccessor() {
        announce("a", "1", 0);
        announce("a", "2", 1);
        assertThat(leave("a", "1"), is(false));
        assertThat(leave("a", "2"), is(true));
        assertThat(table.members(), is(empty()));
    }

    @Test
    void tellsWhichRunsOfAgentsHaveEnded() {
        announce("a", "1", 0);
        announce("a", "2", 1);
        leave("b", "1");
        assertThat(table.endedAgents(), is(Set.of(new Incarnation("a", "1"), new Incarnation("b", "1"))));
    }

    // An announcement is delayed in the log for so long that it comes after its process has ended and been replaced.
    // Entries would dial the old address and count the new process as gone; the ended incarnation stays ended.
    @Test
    void anEndedIncarnationNeverComesBack() {
        announce("a", "1", 0);
        announce("a", "2", 1);
        assertThat(announce("a", "1", 2), is(false));
        assertThat(table.members(), contains(member("a", "2")));
        leave("a", "2");
        assertThat(announce("a", "2", 3), is(false));
        assertThat(table.members(), is(empty()));
    }

    @Test
    void expiresMembersThatWereNotHeardOfSince() {
        announce("a", "1", 0);
        announce("b", "1", 0);
        table.heard("b", 10);
        assertThat(table.expire(10), is(true));
        assertThat(table.members(), contains(member("b", "1")));
        assertThat(table.expire(10), is(false));
    }

    @Test
    void recordsPassThroughTheirJson() {
        MemberRecord announce = new MemberRecord.Announce(member("a", "1"));
        assertThat(MemberRecords.read(MemberRecords.write(announce)), is(Optional.of(announce)));
        MemberRecord leave = new MemberRecord.Leave("a", "1");
        assertThat(MemberRecords.read(MemberRecords.write(leave)), is(Optional.of(leave)));
    }

    @Property(tries = 200)
    void contentThatIsNoRecordIsSkipped(@ForAll String text) {
        assertThat(MemberRecords.read(text.getBytes(StandardCharsets.UTF_8)), is(Optional.empty()));
    }

    private boolean announce(String processId, String incarnation, long now) {
        return table.fold(new MemberRecord.Announce(member(processId, incarnation)), now);
    }

    private boolean leave(String processId, String incarnation) {
        return table.fold(new MemberRecord.Leave(processId, incarnation), 0);
    }

    private static Member member(String processId, String incarnation) {
        return new Member(
                processId,
                incarnation,
                Member.AGENT,
                new Address("10.0.0.1", 7000),
                "north",
                "routing",
                "minion-1",
                new MemberCapacity(8, 64, 4_000, 1L << 33, 0));
    }
}
