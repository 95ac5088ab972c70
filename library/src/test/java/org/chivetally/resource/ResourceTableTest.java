package org.chivetally.resource;

import static org.chivetally.resource.TableRecords.delete;
import static org.chivetally.resource.TableRecords.put;
import static org.chivetally.resource.TableRecords.raw;
import static org.chivetally.resource.TableRecords.record;
import static org.chivetally.resource.TableRecords.team;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.chivetally.log.LogRecord;
import org.junit.jupiter.api.Test;

class ResourceTableTest {
    @Test
    void takesABatchAsAWholeOrNotAtAll() {
        // Two operators apply folders that share one resource; both based them on the same version. The first in the
        // log's order wins; the second changes nothing, not even the resource that only it holds.
        ResourceTable table = ResourceTable.empty()
                .fold(List.of(
                        record(0, "first", put("shared", 0, 1), put("left", 0, 1)),
                        record(1, "second", put("right", 0, 2), put("shared", 0, 2))));
        assertThat(names(table), contains("left", "shared"));
        RecordOutcome lost = table.outcome("second").orElseThrow();
        assertThat(lost.conflicts(), contains(new Conflict(team("shared"), 0, 1, false, "by-first")));
    }

    @Test
    void namesTheDeletionToALateWriter() {
        ResourceTable table = ResourceTable.empty()
                .fold(List.of(
                        record(0, "a", put("t", 0, 1)),
                        record(1, "b", delete("t", 1)),
                        record(2, "c", put("t", 1, 2))));
        assertThat(table.outcome("c").orElseThrow().conflicts(), contains(new Conflict(team("t"), 1, 2, true, "by-b")));
    }

    @Test
    void stopsAtAFormatThatItDoesNotUnderstand() {
        // A newer process writes a record in its own format while an old one still runs. The old one serves what it has
        // at its version, and says which format stopped it, rather than skip a change and call itself the newest.
        ResourceTable table = ResourceTable.empty()
                .fold(List.of(
                        record(0, "a", put("t", 0, 1)), raw(1, "{\"format\":2}"), record(2, "b", put("t", 1, 2))));
        assertThat(table.version(), is(1L));
        assertThat(table.unreadableFormat(), is(OptionalInt.of(2)));
    }

    @Test
    void dropsWhatIsNoRecordAndRefusesAGap() {
        ResourceTable table = ResourceTable.empty()
                .fold(List.of(
                        raw(0, "no JSON"),
                        raw(1, "{\"format\":1,\"id\":null}"),
                        raw(2, "{\"format\":1,\"id\":\"x\",\"changedBy\":\"\",\"at\":\"\",\"changes\":[]}"),
                        record(3, "a", put("t", 0, 1))));
        assertThat(table.find(team("t")).orElseThrow().version(), is(4L));
        assertThrows(IllegalArgumentException.class, () -> table.fold(List.of(record(9, "b", put("t", 4, 1)))));
    }

    @Test
    void resumesAWatchBetweenTwoChangesOfOneWrite() {
        ResourceTable table = ResourceTable.empty()
                .fold(List.of(record(0, "a", put("x", 0, 1)), record(1, "b", put("x", 1, 2), put("y", 0, 1))));
        List<WatchEvent.Changed> events =
                table.changesAfter(0, Optional.empty()).orElseThrow();
        assertThat(events.stream().map(WatchEvent.Changed::resumeFrom).toList(), contains(1L, 1L, 2L));
        assertThat(
                events.stream().map(WatchEvent.Changed::type).toList(),
                contains(WatchEvent.Type.ADDED, WatchEvent.Type.CHANGED, WatchEvent.Type.ADDED));
    }

    @Test
    void saysWhenAVersionIsTooOldToWatchFrom() {
        List<LogRecord> records = new ArrayList<>();
        for (int offset = 0; offset <= ResourceTable.REMEMBERED_CHANGES; offset++) {
            records.add(record(offset, "id" + offset, put("t", offset, offset)));
        }
        ResourceTable table = ResourceTable.empty().fold(records);
        assertThat(table.changesAfter(0, Optional.empty()), is(Optional.empty()));
        assertThat(table.changesAfter(1, Optional.empty()).orElseThrow().size(), is(ResourceTable.REMEMBERED_CHANGES));
    }

    @Test
    void forgetsOutcomesAfterTheSameNumberOfRecordsOnAllReaders() {
        List<LogRecord> records = new ArrayList<>();
        for (int offset = 0; offset < ResourceTable.REMEMBERED_RECORDS + 2; offset++) {
            records.add(raw(offset, "filler"));
        }
        records.set(0, record(0, "old", put("t", 0, 1)));
        records.set(1, record(1, "kept", delete("t", 1)));
        ResourceTable atOnce = ResourceTable.empty().fold(records.subList(0, records.size() - 1));
        assertThat(atOnce.outcome("old"), is(Optional.empty()));
        assertThat(atOnce.outcome("kept").isPresent(), is(true));
        ResourceTable half = ResourceTable.empty().fold(records.subList(0, 900));
        ResourceTable throughSnapshot = decoded(SnapshotCodec.encode(half, 0)).fold(records);
        assertThat(throughSnapshot.state(), equalTo(atOnce.fold(records).state()));
    }

    /** A write with what it is based on: the newest version of each resource, an older one, or nothing. */
    private record Draft(int id, List<Integer> keys, List<Integer> bases, boolean deletes) {}

    @Property(tries = 300)
    void isTheSameForAllReadersAndNeverGoesBack(@ForAll("drafts") List<Draft> drafts, @ForAll long seed) {
        List<LogRecord> records = new ArrayList<>();
        Map<ResourceKey, Resource> model = new HashMap<>();
        Set<String> seen = new HashSet<>();
        for (Draft draft : drafts) {
            LogRecord record = record(records.size(), "id" + draft.id(), changes(draft, model));
            records.add(record);
            if (seen.add(record.id())) {
                applyToModel(record, model);
            }
        }
        ResourceTable whole = ResourceTable.empty().fold(records);
        assertThat(new HashMap<>(whole.state().resources()), equalTo(model));
        List<byte[]> snapshots = new ArrayList<>();
        Random random = new Random(seed);
        for (int reader = 0; reader < 4; reader++) {
            ResourceTable table = readInPieces(records, snapshots, random);
            assertThat(table.state(), equalTo(whole.state()));
            assertThat(
                    new ArrayList<>(table.state().outcomes().keySet()),
                    equalTo(new ArrayList<>(whole.state().outcomes().keySet())));
        }
    }

    /** Reads the log in pieces, with repeats, and takes or leaves snapshots that this and earlier readers made. */
    private static ResourceTable readInPieces(List<LogRecord> records, List<byte[]> snapshots, Random random) {
        ResourceTable table = ResourceTable.empty();
        List<WatchEvent.Changed> told = new ArrayList<>();
        long toldUpTo = 0;
        while (table.version() < records.size()) {
            long before = table.version();
            if (!snapshots.isEmpty() && random.nextInt(3) == 0) {
                table = table.newerOf(decoded(snapshots.get(random.nextInt(snapshots.size()))));
            } else {
                int from = random.nextInt((int) before + 1);
                int to = Math.min(records.size(), (int) before + random.nextInt(4));
                table = table.fold(records.subList(from, Math.max(from, to)));
            }
            assertThat(before, lessThanOrEqualTo(table.version()));
            if (random.nextInt(3) == 0) {
                snapshots.add(SnapshotCodec.encode(table, 0));
            }
            Optional<List<WatchEvent.Changed>> events = table.changesAfter(toldUpTo, Optional.empty());
            events.ifPresent(told::addAll);
            toldUpTo = table.version();
        }
        for (int position = 1; position < told.size(); position++) {
            assertThat(
                    told.get(position - 1).resource().version(),
                    lessThanOrEqualTo(told.get(position).resource().version()));
        }
        return table;
    }

    @Provide
    Arbitrary<List<Draft>> drafts() {
        Arbitrary<List<Integer>> keys = Arbitraries.integers()
                .between(0, 2)
                .list()
                .uniqueElements()
                .ofMinSize(1)
                .ofMaxSize(3);
        Arbitrary<List<Integer>> bases = Arbitraries.frequency(Tuple.of(6, 0), Tuple.of(1, 1), Tuple.of(1, 2))
                .list()
                .ofSize(3);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 12), keys, bases, Arbitraries.of(false, false, true))
                .as(Draft::new)
                .list()
                .ofMaxSize(20);
    }

    private static Change[] changes(Draft draft, Map<ResourceKey, Resource> model) {
        Change[] changes = new Change[draft.keys().size()];
        for (int position = 0; position < changes.length; position++) {
            String name = "t" + draft.keys().get(position);
            Resource current = model.get(team(name));
            long newest = current == null ? 0 : current.version();
            long basedOn = switch (draft.bases().get(position)) {
                case 0 -> newest;
                case 1 -> newest + 1;
                default -> 0;
            };
            Change change = draft.deletes() && basedOn > 0 ? delete(name, basedOn) : put(name, basedOn, draft.id());
            changes[position] = draft.id() == 12 ? change.forced() : change;
        }
        return changes;
    }

    private static void applyToModel(LogRecord log, Map<ResourceKey, Resource> model) {
        WriteRecord record = ((WriteRecordCodec.Decoded.Readable) WriteRecordCodec.decode(log.payload())).record();
        for (Change change : record.changes()) {
            long newest =
                    model.containsKey(change.key()) ? model.get(change.key()).version() : 0;
            if (!change.force() && change.basedOn() != newest) {
                return;
            }
        }
        for (Change change : record.changes()) {
            model.remove(change.key());
            change.content()
                    .ifPresent(content -> model.put(
                            change.key(),
                            new Resource(
                                    change.key(),
                                    content.labels(),
                                    content.spec(),
                                    log.offset() + 1,
                                    record.changedBy(),
                                    record.at())));
        }
    }

    @Property(tries = 300)
    void refusesSnapshotsThatAreCutOrChanged(@ForAll int position, @ForAll byte change) {
        byte[] whole = SnapshotCodec.encode(ResourceTable.empty().fold(List.of(record(0, "a", put("t", 0, 1)))), 7);
        int place = Math.floorMod(position, whole.length);
        byte[] cut = Arrays.copyOf(whole, place);
        assertThat(SnapshotCodec.decode(cut), instanceOf(SnapshotCodec.Decoded.Refused.class));
        byte[] changed = whole.clone();
        changed[place] ^= change == 0 ? 1 : change;
        assertThat(SnapshotCodec.decode(changed), instanceOf(SnapshotCodec.Decoded.Refused.class));
    }

    @Property(tries = 500)
    void neverCrashesOnAnyRecordOrSnapshot(@ForAll byte[] bytes) {
        ResourceTable.empty().fold(List.of(new LogRecord(0, "x", bytes)));
        assertThat(SnapshotCodec.decode(bytes), instanceOf(SnapshotCodec.Decoded.Refused.class));
    }

    @Test
    void refusesASnapshotOfANewerFormat() {
        byte[] snapshot = "chivetally-configuration 2 00000000\n".getBytes(StandardCharsets.US_ASCII);
        assertThat(
                ((SnapshotCodec.Decoded.Refused) SnapshotCodec.decode(snapshot)).reason(),
                containsString("format 2 is not understood"));
    }

    private static ResourceTable decoded(byte[] snapshot) {
        return ((SnapshotCodec.Decoded.Whole) SnapshotCodec.decode(snapshot)).table();
    }

    private static List<String> names(ResourceTable table) {
        return table.all().stream().map(resource -> resource.key().name()).toList();
    }
}
