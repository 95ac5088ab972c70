package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.Room;
import org.chivetally.queue.agent.FakeMinion;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.log.LogStream;
import org.chivetally.wire.v1.StoredMember;
import org.chivetally.wire.v1.StoredMinion;
import org.junit.jupiter.api.Test;

/** Records among the members that no process has announced. */
class ForeignMembersTest {
    private static final String ID = "00000000000000a1";
    private static final LogStream MEMBERS = new LogStream("members", 0);

    private final Cluster cluster = new Cluster();

    private static byte[] member(boolean agent, String host, int port) {
        return StoredMember.newBuilder()
                .setIncarnation(7)
                .setAgent(agent)
                .setHost(host)
                .setPort(port)
                .build()
                .toByteArray();
    }

    private void write(String key, byte[] value) {
        cluster.writeForeign(MEMBERS, key, value);
    }

    private void writeForeignMembers() {
        write("a-port", member(true, "10.0.0.200", 70_000));
        write("a-negative-port", member(true, "10.0.0.200", -1));
        write("a-name", member(true, "nowhere.example", 8_161));
        write("a-bare", member(true, "", 0));
        write("a-text", "{\"port\":70000}".getBytes(StandardCharsets.UTF_8));
        write("z-entry", member(false, "10.0.0.200", 70_000));
        write("agent-1", member(true, "10.0.0.200", 70_000));
    }

    private void startCluster() {
        cluster.entry("entry-1");
        cluster.entry("entry-2");
        cluster.agent("agent-1");
        cluster.awaitLinks();
    }

    /** Returns the time from the kill of the owner of a waiting job to the first start by the next one. */
    private long millisToFirstStart() {
        FakeMinion minion = cluster.minions.get("agent-1");
        minion.startsDelayed = true;
        String owner = cluster.ownerName(Partitions.of(ID, Cluster.PARTITIONS));
        cluster.submit(cluster.entries.get(owner), Jobs.of(ID, 1));
        cluster.advance(20);
        cluster.kill(owner);
        minion.startsDelayed = false;
        long millis = 0;
        while (minion.executedStarts.isEmpty()) {
            cluster.advance(10);
            millis += 10;
            assertThat("started within 20 s", millis < 20_000, is(true));
        }
        return millis;
    }

    /** Each foreign record was awaited at a takeover like an agent that is cut off with runs. */
    @Test
    void delaysNoTakeoverForMembersThatCannotExist() {
        startCluster();
        writeForeignMembers();
        assertThat(millisToFirstStart(), is(lessThan(AwaitedAgents.TAKEOVER_TIMEOUT.toMillis())));
    }

    /** An announced agent must be awaited although another writer has overwritten its record. */
    @Test
    void keepsAMemberWhoseRecordIsOverwritten() {
        startCluster();
        MemberDirectory directory = new MemberDirectory(cluster.log.access("reader"), cluster.timers, "members");
        directory.follow(peer -> {});
        cluster.advance(100);
        write("agent-1", member(true, "10.0.0.200", 70_000));
        cluster.advance(3_000);
        List<String> hosts = directory.members().stream()
                .filter(peer -> peer.process().equals("agent-1"))
                .map(Peer::host)
                .toList();
        assertThat(hosts, is(List.of(cluster.network.addressOf("agent-1"))));
    }

    /**
     * A restarted agent would calculate leases by such a clock, which overflow, and its minion would refuse all starts.
     */
    @Test
    void restoresNoMinionWithNumbersOutOfRange() {
        StoredMinion.Builder minion = StoredMinion.newBuilder()
                .setBoot("boot")
                .setService("reports")
                .setCapacity(JobCodec.encode(new Room(12_000, 1_000, 0)));
        MemberDirectory directory = new MemberDirectory(cluster.log.access("reader"), cluster.timers, "members");
        StoredMember.Builder announced = StoredMember.newBuilder()
                .setIncarnation(7)
                .setAgent(true)
                .setHost("10.0.0.200")
                .setPort(8_161);
        write("agent-1", announced.setMinion(minion.setClockMillis(5)).build().toByteArray());
        write(
                "agent-2",
                announced
                        .setMinion(minion.setClockMillis(Long.MAX_VALUE))
                        .build()
                        .toByteArray());
        directory.readOnce(peer -> {});
        cluster.advance(100);
        assertThat(directory.minionOf("agent-1").isPresent(), is(true));
        assertThat(directory.minionOf("agent-2").isPresent(), is(false));
        assertThat(directory.members(), hasSize(2));
    }
}
