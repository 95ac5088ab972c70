package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.chivetally.job.JobId;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;

/** Properties of the claim table for random streams with duplicated records. */
class ClaimTablePropertiesTest {
    private static final int PROCESSES = 3;
    private static final long WINDOW_MILLIS = ClaimSamples.WINDOW.toMillis();

    /**
     * All readers get the same table: one that reads every record once, one that reads some records twice, and one that
     * starts from a snapshot at a random offset. If they differed, two processes could coordinate one job.
     */
    @Property
    void allReadersGetTheSameTable(@ForAll("streams") List<Written> stream, @ForAll @IntRange(max = 100) int percent) {
        int cut = stream.size() * percent / 100;
        ClaimTable sequential = new ClaimTable();
        fold(sequential, stream, 0, cut);
        ClaimTable fromSnapshot = ClaimTable.of(encodeAndDecode(sequential.image()));
        ClaimTable overlapping = new ClaimTable();
        fold(overlapping, stream, 0, cut);
        fold(sequential, stream, cut, stream.size());
        fold(fromSnapshot, stream, cut, stream.size());
        fold(overlapping, stream, cut / 2, stream.size());
        assertThat(fromSnapshot.image(), is(sequential.image()));
        assertThat(overlapping.image(), is(sequential.image()));
    }

    /**
     * A key and generation have at most one winner: a key is won again only after its release or the end of its window,
     * and the generations of a claim increase by one.
     */
    @Property
    void keyAndGenerationHaveOneWinner(@ForAll("streams") List<Written> stream) {
        ClaimTable table = new ClaimTable();
        Map<SubmissionKey, Integer> generations = new HashMap<>();
        Map<SubmissionKey, Long> wonMillis = new HashMap<>();
        for (Written written : stream) {
            FoldResult folded = written.fold(table);
            if (folded instanceof FoldResult.Won won) {
                SubmissionKey key = won.claim().key();
                long since = table.streamMillis() - wonMillis.getOrDefault(key, -WINDOW_MILLIS);
                assertThat(!generations.containsKey(key) || since >= WINDOW_MILLIS, is(true));
                generations.put(key, 1);
                wonMillis.put(key, table.streamMillis());
            }
            if (folded instanceof FoldResult.TakenOver taken) {
                int before = generations.put(taken.claim().key(), taken.claim().generation());
                assertThat(taken.claim().generation(), is(before + 1));
            }
            if (folded instanceof FoldResult.Released released
                    && released.claim().generation() == 1) {
                generations.remove(released.claim().key());
            }
        }
    }

    /**
     * Streams as processes write them: each writer's sequence numbers increase, and any earlier record may be written
     * again at any later position.
     */
    @Provide
    Arbitrary<List<Written>> streams() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.integers().between(0, PROCESSES - 1),
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.longs().between(0, WINDOW_MILLIS / 3))
                .as(Step::new);
        return step.list().ofMaxSize(60).map(ClaimTablePropertiesTest::toStream);
    }

    private static List<Written> toStream(List<Step> steps) {
        List<Written> stream = new ArrayList<>();
        long[] sequences = new long[PROCESSES];
        long millis = 0;
        for (Step step : steps) {
            if (step.kind() == 9) {
                repeatOne(stream, step);
                continue;
            }
            millis += step.elapsedMillis();
            sequences[step.process()]++;
            RecordId id = ClaimSamples.id("p" + step.process(), sequences[step.process()]);
            stream.add(new Written(stream.size(), id, new TimestampedRecord(contentOf(step), millis)));
        }
        return stream;
    }

    private static void repeatOne(List<Written> stream, Step step) {
        if (stream.isEmpty()) {
            return;
        }
        Written earlier = stream.get((int) (step.elapsedMillis() % stream.size()));
        stream.add(new Written(stream.size(), earlier.id(), earlier.timestamped()));
    }

    private static ClaimRecord contentOf(Step step) {
        SubmissionKey key = new SubmissionKey("team", "key-" + step.number() % 2);
        JobId job = new JobId("job-" + step.number());
        Coordinator process = ClaimSamples.process("p" + step.process());
        return switch (step.kind()) {
            case 0, 1, 2 -> new ClaimRecord.Claimed(key, ClaimSamples.BODY, job, process, ClaimSamples.WINDOW);
            case 3, 4 -> new ClaimRecord.TakenOver(key, job, process, step.generation() + 1, lastRenewalOf(step));
            case 5, 6 -> new ClaimRecord.Released(key, job, process, step.generation());
            case 7 -> new ClaimRecord.Finished(key, job);
            default -> new ClaimRecord.Renewed(process, ClaimSamples.WINDOW);
        };
    }

    private static long lastRenewalOf(Step step) {
        return step.elapsedMillis() % 2 == 0 ? ClaimRecord.TakenOver.UNSPECIFIED : step.elapsedMillis() % 50 - 1;
    }

    private static void fold(ClaimTable table, List<Written> stream, int from, int to) {
        stream.subList(from, to).forEach(written -> written.fold(table));
    }

    private static TableImage encodeAndDecode(TableImage image) {
        List<NewRecord> chunks = SnapshotCodec.encode(image, "writer", SnapshotSettings.MAXIMUM_CHUNK_BYTES);
        SnapshotAssembler assembler = new SnapshotAssembler();
        chunks.forEach(chunk -> assembler.add(new LogRecord(0, chunk.id(), chunk.payload())));
        return assembler.newest().orElseThrow();
    }

    private record Step(int process, int kind, int number, int generation, long elapsedMillis) {}

    private record Written(long offset, RecordId id, TimestampedRecord timestamped) {
        private FoldResult fold(ClaimTable table) {
            return table.fold(offset, id, timestamped);
        }
    }
}
