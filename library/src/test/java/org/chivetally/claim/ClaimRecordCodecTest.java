package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chivetally.job.JobId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Records of running installations must stay readable, and malformed ones must not stop a reader. */
class ClaimRecordCodecTest {
    private static final Instant WRITTEN = Instant.parse("2026-03-01T08:00:00Z");
    private static final List<ClaimRecord> RECORDS = List.of(
            ClaimSamples.claimed(new SubmissionKey("team \"x\"", "clé\n1"), ClaimSamples.BODY, "job-1", "a"),
            ClaimSamples.takenOver("job-1", "b", 2, ClaimRecord.TakenOver.UNSPECIFIED),
            new ClaimRecord.Renewed(ClaimSamples.process("a"), Duration.ofSeconds(6)),
            new ClaimRecord.Departed(ClaimSamples.process("a")),
            new ClaimRecord.Finished(ClaimSamples.KEY, new JobId("job-1")),
            ClaimSamples.released("job-1", "b", 2),
            ClaimSamples.takenOver("job-1", "b", 2, 17),
            ClaimSamples.takenOver("job-1", "b", 2));

    /**
     * Guards against changes of the stored format. The file contains records as they are in the logs of running
     * installations: lines may be added, but none may change.
     */
    @Test
    void encodingMatchesStoredRecords() throws IOException {
        List<String> lines = RECORDS.stream()
                .map(content -> ClaimRecordCodec.encode(new TimestampedRecord(content, 1234), WRITTEN))
                .map(payload -> new String(payload, StandardCharsets.UTF_8))
                .toList();
        assertThat(lines, is(storedLines()));
    }

    /** Guards against a version that can't read the records of earlier versions. */
    @Test
    void storedRecordsAreDecoded() throws IOException {
        List<DecodedRecord> decoded = storedLines().stream()
                .map(line -> ClaimRecordCodec.decode(line.getBytes(StandardCharsets.UTF_8)))
                .toList();
        List<DecodedRecord> expected = RECORDS.stream()
                .<DecodedRecord>map(content -> new DecodedRecord.Valid(new TimestampedRecord(content, 1234)))
                .toList();
        assertThat(decoded, is(expected));
    }

    /** A later version may add fields; an earlier one must not skip such a record, or their tables would differ. */
    @Test
    void unknownFieldsAreIgnored() {
        String line =
                "{\"format\":1,\"type\":\"finished\",\"new\":{\"a\":[1]},\"team\":\"t\",\"key\":\"k\",\"job\":\"j\"}";
        ClaimRecord content = new ClaimRecord.Finished(new SubmissionKey("t", "k"), new JobId("j"));
        DecodedRecord decoded = ClaimRecordCodec.decode(line.getBytes(StandardCharsets.UTF_8));
        assertThat(decoded, is(new DecodedRecord.Valid(new TimestampedRecord(content, 0))));
    }

    /** A malformed record, or one of an unknown type or format, must not fail the reader with an exception. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "not json",
                "[1]",
                "{\"format\":1}",
                "{\"format\":2,\"type\":\"finished\",\"team\":\"t\",\"key\":\"k\",\"job\":\"j\"}",
                "{\"format\":2,\"type\":\"takeover\",\"team\":\"t\",\"key\":\"k\",\"job\":\"j\",\"generation\":2,"
                        + "\"process\":\"b\",\"incarnation\":\"b-1\",\"host\":\"h\",\"port\":1}",
                "{\"format\":1,\"type\":\"promoted\",\"team\":\"t\",\"key\":\"k\",\"job\":\"j\"}",
                "{\"format\":1,\"type\":\"finished\",\"team\":\"t\",\"key\":\"k\"}",
                "{\"format\":1,\"type\":\"finished\",\"team\":\"t\",\"key\":\"k\",\"job\":\"j\",\"time\":-1}",
                "{\"format\":1,\"type\":\"finished\",\"team\":\"t\",\"key\":\"k\",\"job\":\"j\",\"time\":\"x\"}",
                "{\"format\":1,\"type\":\"finished\",\"team\":\"t\",\"key\":\"k\",\"job\":\"j\""
            })
    void unreadableRecordIsSkipped(String line) {
        DecodedRecord decoded = ClaimRecordCodec.decode(line.getBytes(StandardCharsets.UTF_8));
        assertThat(decoded, instanceOf(DecodedRecord.Skipped.class));
    }

    private static List<String> storedLines() throws IOException {
        try (InputStream stream = ClaimRecordCodecTest.class.getResourceAsStream("claim-records.jsonl")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }
}
