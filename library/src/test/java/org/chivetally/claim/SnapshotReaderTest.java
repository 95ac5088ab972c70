package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.stream.IntStream;
import org.chivetally.log.NewRecord;
import org.junit.jupiter.api.Test;

/** Checks which snapshot is read; a wrong or incomplete one would let keys be claimed again. */
class SnapshotReaderTest {
    private static final String STREAM = LogClaims.SNAPSHOT_STREAM;
    private static final int CHUNK_BYTES = 16 * 1024;

    private final ScriptedLog log = ScriptedLog.create();
    private final SnapshotReader reader = new SnapshotReader(log, Runnable::run);

    /** A new installation has no snapshot and must start from the claims stream. */
    @Test
    void emptyStreamHasNoSnapshot() {
        assertThat(load(), is(new SnapshotLoadResult.None()));
    }

    /** An unavailable log must not be taken for an empty stream. */
    @Test
    void unavailableLogIsReported() {
        log.setDown(true);
        assertThat(load(), instanceOf(SnapshotLoadResult.Unavailable.class));
    }

    /** A snapshot may have more chunks than the reader fetches at first; none may exceed the maximum size. */
    @Test
    void newestCompleteSnapshotIsReadFromManyChunks() {
        List<NewRecord> chunks = chunks(table(4_000), "a");
        assertThat(chunks.size(), greaterThan(32));
        chunks.forEach(chunk -> assertThat(chunk.payload().length, lessThanOrEqualTo(CHUNK_BYTES)));
        write(chunks(table(500), "b"));
        write(chunks);
        assertThat(load(), is(new SnapshotLoadResult.Found(table(4_000).image())));
    }

    /*
     * The writer of the newest snapshot died between two chunks. A new process must start from the last complete one;
     * with the chunks of the incomplete one it would let keys be claimed again.
     */
    @Test
    void incompleteSnapshotIsIgnored() {
        write(chunks(table(500), "a"));
        List<NewRecord> newer = chunks(table(1_000), "b");
        write(newer.subList(0, newer.size() / 2));
        assertThat(load(), is(new SnapshotLoadResult.Found(table(500).image())));
    }

    /** A corrupted chunk must make the whole snapshot unusable. */
    @Test
    void damagedSnapshotIsIgnored() {
        write(chunks(table(300), "a"));
        List<NewRecord> newer = chunks(table(1_000), "b");
        newer.getLast().payload()[newer.getLast().payload().length / 2]++;
        write(newer);
        assertThat(load(), is(new SnapshotLoadResult.Found(table(300).image())));
    }

    /*
     * A process of an earlier version wrote the newest snapshot, which contains no renewals. A reader that started from
     * it would decide takeovers differently from all others, so it is refused; the reader uses an older snapshot or the
     * claims stream itself.
     */
    @Test
    void snapshotOfTheFirstFormatIsRefused() throws IOException {
        write(chunks(table(300), "a"));
        try (InputStream formatOne = SnapshotReaderTest.class.getResourceAsStream("claim-snapshot-format-1.txt")) {
            write(List.of(new NewRecord("old", formatOne.readAllBytes())));
        }
        assertThat(load(), is(new SnapshotLoadResult.Found(table(300).image())));
        SnapshotAssembler assembler = new SnapshotAssembler();
        log.records(STREAM).forEach(assembler::add);
        assertThat(assembler.unsupportedFormats(), contains(1));
    }

    /*
     * Two processes write snapshots concurrently, and some of their chunks are written twice: a new process reads the
     * newer one. Chunks carry the id of their snapshot and their index, so those of the two are not mixed up.
     */
    @Test
    void interleavedSnapshotsAreReadSeparately() {
        List<NewRecord> older = chunks(table(900), "a");
        List<NewRecord> newer = chunks(table(1_000), "b");
        for (int part = 0; part < newer.size(); part++) {
            log.write(STREAM, newer.get(part), older.get(Math.min(part, older.size() - 1)), newer.get(part));
        }
        assertThat(load(), is(new SnapshotLoadResult.Found(table(1_000).image())));
    }

    /** A snapshot whose first chunks have expired in the log is incomplete. */
    @Test
    void snapshotWithExpiredChunksIsIgnored() {
        List<NewRecord> only = chunks(table(1_000), "a");
        write(only);
        log.expire(STREAM, 1);
        assertThat(load(), is(new SnapshotLoadResult.None()));
    }

    private SnapshotLoadResult load() {
        return reader.load().toCompletableFuture().join();
    }

    private void write(List<NewRecord> chunks) {
        log.write(STREAM, chunks.toArray(NewRecord[]::new));
    }

    private static List<NewRecord> chunks(ClaimTable table, String process) {
        return SnapshotCodec.encode(table.image(), RecordId.writerOf(ClaimSamples.process(process)), CHUNK_BYTES);
    }

    private static ClaimTable table(int claims) {
        ClaimTable table = new ClaimTable();
        IntStream.range(0, claims).forEach(number -> {
            SubmissionKey key = new SubmissionKey("team", "key \"" + number);
            ClaimRecord content = ClaimSamples.claimed(key, ClaimSamples.BODY, "job-" + number, "p" + number % 3);
            table.fold(number, ClaimSamples.id("p" + number % 3, number + 1), new TimestampedRecord(content, number));
        });
        return table;
    }
}
