package org.chivetally.resource;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chivetally.log.LogRecord;

/** Takes records one by one into copies of a table's maps. */
final class TableFold {
    private final SortedMap<ResourceKey, Resource> resources;
    private final SortedMap<ResourceKey, Tombstone> tombstones;
    private final LinkedHashMap<String, RecordOutcome> outcomes;
    private final Deque<ResourceTable.TableChange> changes;
    private long version;
    private long earliestWatch;
    private int unreadableFormat;

    TableFold(ResourceTable.State state, List<ResourceTable.TableChange> changes, long earliestWatch) {
        this.resources = new TreeMap<>(state.resources());
        this.tombstones = new TreeMap<>(state.tombstones());
        this.outcomes = new LinkedHashMap<>(state.outcomes());
        this.changes = new ArrayDeque<>(changes);
        this.version = state.version();
        this.earliestWatch = earliestWatch;
    }

    /** Takes one record; false when it can't be understood, so that nothing after it may be taken either. */
    boolean take(LogRecord record) {
        if (record.offset() < version) {
            return true;
        }
        if (record.offset() > version) {
            throw new IllegalArgumentException(
                    "records from " + version + " to " + record.offset() + " are missing before this one");
        }
        switch (WriteRecordCodec.decode(record.payload())) {
            case WriteRecordCodec.Decoded.NewerFormat newer -> {
                // A process that skipped what it does not understand would serve another state than the others and
                // call it the newest. It stops here instead and serves what it has, which its version shows.
                unreadableFormat = newer.format();
                return false;
            }
            case WriteRecordCodec.Decoded.Malformed ignored -> version++;
            case WriteRecordCodec.Decoded.Readable readable -> {
                version++;
                apply(record.id(), readable.record());
            }
        }
        forget();
        return true;
    }

    private void apply(String id, WriteRecord write) {
        if (outcomes.containsKey(id)) {
            return;
        }
        List<Conflict> conflicts = new ArrayList<>();
        for (Change change : write.changes()) {
            conflict(change, resources, tombstones).ifPresent(conflicts::add);
        }
        outcomes.put(id, new RecordOutcome(version, conflicts));
        if (!conflicts.isEmpty()) {
            return;
        }
        for (Change change : write.changes()) {
            apply(change, write);
        }
    }

    static Optional<Conflict> conflict(
            Change change, Map<ResourceKey, Resource> resources, Map<ResourceKey, Tombstone> tombstones) {
        Resource current = resources.get(change.key());
        long currentVersion = current == null ? 0 : current.version();
        if (change.force() || change.basedOn() == currentVersion) {
            return Optional.empty();
        }
        if (current != null) {
            return Optional.of(
                    new Conflict(change.key(), change.basedOn(), currentVersion, false, current.changedBy()));
        }
        Tombstone tombstone = tombstones.get(change.key());
        if (tombstone == null) {
            return Optional.of(new Conflict(change.key(), change.basedOn(), 0, false, ""));
        }
        return Optional.of(
                new Conflict(change.key(), change.basedOn(), tombstone.version(), true, tombstone.changedBy()));
    }

    private void apply(Change change, WriteRecord write) {
        Resource before = resources.get(change.key());
        if (change.content().isPresent()) {
            Resource after = resourceOf(change.key(), change.content().get(), write);
            resources.put(change.key(), after);
            tombstones.remove(change.key());
            note(before == null ? WatchEvent.Type.ADDED : WatchEvent.Type.CHANGED, after);
        } else if (before != null) {
            resources.remove(change.key());
            tombstones.put(change.key(), new Tombstone(version, write.changedBy()));
            Change.Content last = new Change.Content(before.labels(), before.spec());
            note(WatchEvent.Type.DELETED, resourceOf(change.key(), last, write));
        }
    }

    private Resource resourceOf(ResourceKey key, Change.Content content, WriteRecord write) {
        return new Resource(key, content.labels(), content.spec(), version, write.changedBy(), write.at());
    }

    private void note(WatchEvent.Type type, Resource resource) {
        changes.addLast(new ResourceTable.TableChange(type, resource));
        while (changes.size() > ResourceTable.REMEMBERED_CHANGES) {
            earliestWatch = changes.removeFirst().version();
        }
    }

    private void forget() {
        long oldest = version - ResourceTable.REMEMBERED_RECORDS;
        Iterator<RecordOutcome> oldestFirst = outcomes.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().version() <= oldest) {
            oldestFirst.remove();
        }
        if (!tombstones.isEmpty()) {
            tombstones.values().removeIf(tombstone -> tombstone.version() <= oldest);
        }
    }

    long version() {
        return version;
    }

    long earliestWatch() {
        return earliestWatch;
    }

    int unreadableFormat() {
        return unreadableFormat;
    }

    List<ResourceTable.TableChange> changes() {
        return List.copyOf(changes);
    }

    ResourceTable.State state() {
        return new ResourceTable.State(version, resources, tombstones, outcomes);
    }
}
