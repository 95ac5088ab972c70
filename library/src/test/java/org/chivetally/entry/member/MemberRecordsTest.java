package org.chivetally.entry.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivetally.entry.link.Address;
import org.junit.jupiter.api.Test;

/** Serialization of member records and introductions. */
class MemberRecordsTest {
    private static final Member MEMBER = new Member(
            "a",
            "1",
            Member.AGENT,
            new Address("10.0.0.1", 7000),
            "north",
            "routing",
            "minion-1",
            new MemberCapacity(8, 64, 4_000, 1L << 33, 0));

    @Test
    void recordsRoundTripThroughJson() {
        // A component missing from the JSON would be lost for every entry that reads the record.
        List<MemberRecord> records = List.of(
                new MemberRecord.Announce(MEMBER),
                new MemberRecord.Leave("a", "1"),
                new MemberRecord.Gone("a", "1", "entry-1"));
        for (MemberRecord record : records) {
            assertThat(MemberRecords.read(MemberRecords.write(record)), is(Optional.of(record)));
        }
    }

    @Test
    void membersRoundTripThroughHello() {
        // A field missing from the conversion would be lost when members are introduced while the log is down.
        assertThat(MemberRecords.ofHello(MemberRecords.toHello(MEMBER)), is(Optional.of(MEMBER)));
    }

    @Property(tries = 200)
    void malformedContentIsSkipped(@ForAll String text) {
        // An exception for one malformed record would stop all readers of the stream.
        assertThat(MemberRecords.read(text.getBytes(StandardCharsets.UTF_8)), is(Optional.empty()));
    }
}
