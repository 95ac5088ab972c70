package org.chivetally.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.List;
import java.util.UUID;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.MemoryClaims;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberCapacity;
import org.chivetally.entry.member.MemberRecord;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.log.NewRecord;
import org.chivetally.time.NanoClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What an entry's dispatcher learns of members, over the real actors and a log in memory. */
@Timeout(60)
class EntryMembershipTest {
    private final EntryFixture fixture = new EntryFixture();
    private final ScriptedCore core = new ScriptedCore();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void entryStartedLaterLearnsOfAgentsThatEndedBefore() {
        // An agent ran a task and was replaced; then the coordinator died, and an entry that started after all this
        // takes
        // the job over. The agent's new incarnation knows nothing of the task. Unless the dispatcher hears of the old
        // one, it takes that for "never started", and the task starts twice.
        append(new MemberRecord.Announce(agent("1")));
        append(new MemberRecord.Announce(agent("2")));
        start();
        AgentId old = new AgentId("agent-1", "1");
        EntryFixture.until(() -> !core.events(DispatchEvent.AgentGone.class).isEmpty());
        assertThat(core.events(DispatchEvent.AgentGone.class), contains(new DispatchEvent.AgentGone(old)));
    }

    private void append(MemberRecord record) {
        NewRecord written = new NewRecord(UUID.randomUUID().toString(), MemberRecords.write(record));
        EntryFixture.join(fixture.log.append(MemberRecords.STREAM, List.of(written)));
    }

    private EntryServer start() {
        return fixture.start("entry-1", new Scripted(core));
    }

    private static Member agent(String incarnation) {
        return new Member(
                "agent-1",
                incarnation,
                Member.AGENT,
                new Address(EntryFixture.LOOPBACK, 9),
                "south",
                "routing",
                "minion-1",
                MemberCapacity.NONE);
    }

    private record Scripted(ScriptedCore core) implements EntryServer.Decisions {
        @Override
        public Claims claims(Coordinator self) {
            return new MemoryClaims(
                    self, EntryFixture.settings("entry-1").claims().window(), NanoClock.system());
        }

        @Override
        public DispatchCore core(Coordinator self) {
            return core;
        }
    }
}
