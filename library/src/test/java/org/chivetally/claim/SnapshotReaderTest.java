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

class SnapshotReaderTest {
    private static final String STREAM = LogClaims.SNAPSHOT_STREAM;
    private static final int CHUNK_BYTES = 16 * 1024;

    private final ScriptedLog log = ScriptedLog.create();
    private final SnapshotReader reader = new SnapshotReader(log, Runnable::run);

    @Test
    void emptyStreamHasNoSnapshot() {
        assertThat(load(), is(new SnapshotLoadResult.None()));
    }

    @Test
    void unavailableLogIsReported() {
        log.setDown(true);
        assertThat(load(), instanceOf(SnapshotLoadResult.Unavailable.class));
    }

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
     * A fresh process starts from the last whole snapshot, though a newer one was cut off half way.
     * Its writer died between two chunks; a reader that took the parts for the whole would let keys be claimed again.
     */
    @Test
    void incompleteSnapshotIsIgnored() {
        write(chunks(table(500), "a"));
        List<NewRecord> newer = chunks(table(1_000), "b");
        write(newer.subList(0, newer.size() / 2));
        assertThat(load(), is(new SnapshotLoadResult.Found(table(500).image())));
    }

    @Test
    void damagedSnapshotIsIgnored() {
        write(chunks(table(300), "a"));
        List<NewRecord> newer = chunks(table(1_000), "b");
        newer.getLast().payload()[newer.getLast().payload().length / 2]++;
        write(newer);
        assertThat(load(), is(new SnapshotLoadResult.Found(table(300).image())));
    }

    /*
     * A process of the version before wrote the newest snapshot. It says nothing of renewals, and a reader that began
     * with it would judge takeovers otherwise than all others; it is refused, and the stream itself is read instead.
     */
    @Test
    void snapshotOfTheFirstFormatIsRefused() throws IOException {
        write(chunks(table(300), "a"));
        try (InputStream first = SnapshotReaderTest.class.getResourceAsStream("claim-snapshot-format-1.txt")) {
            write(List.of(new NewRecord("old", first.readAllBytes())));
        }
        assertThat(load(), is(new SnapshotLoadResult.Found(table(300).image())));
        SnapshotAssembler assembler = new SnapshotAssembler();
        log.records(STREAM).forEach(assembler::add);
        assertThat(assembler.unsupportedFormats(), contains(1));
    }

    /*
     * Two processes write snapshots at once, and some of their chunks land twice: a fresh process reads the newer one.
     * Chunks name their snapshot and part, so that those of the two can't be taken for each other's.
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
