package org.chivetally.resource;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chivetally.log.LogRecord;

/**
 * All resources at one version: a pure fold of the stream {@link WriteRecord#STREAM}, the same for all readers.
 *
 * <p>Its version is the number of records folded, which is the offset of the next record. A write takes effect when all
 * its changes fit, and otherwise not at all; the version of a changed resource is the write's offset plus one.
 * Immutable.
 *
 * <p>A repeated record (an append whose answer was lost was sent again) is dropped by its id. Ids are remembered for
 * {@link #REMEMBERED_RECORDS} records, counted by offsets so that all readers forget alike. That is enough because a
 * writer sends a record again for some seconds only, and because a later repeat is based on a version long replaced.
 */
public final class ResourceTable {
    /** For how many records the outcomes of writes and the names of deleted resources are remembered. */
    public static final long REMEMBERED_RECORDS = 4_096;

    /** Most changes kept for watches. */
    public static final int REMEMBERED_CHANGES = 1_024;

    private static final ResourceTable EMPTY =
            new ResourceTable(new State(0, new TreeMap<>(), new TreeMap<>(), new LinkedHashMap<>()), List.of(), 0, 0);

    private final State state;
    private final List<TableChange> changes;
    private final long earliestWatch;
    private final int unreadableFormat;

    private ResourceTable(State state, List<TableChange> changes, long earliestWatch, int unreadableFormat) {
        this.state = state;
        this.changes = changes;
        this.earliestWatch = earliestWatch;
        this.unreadableFormat = unreadableFormat;
    }

    /**
     * What a snapshot holds of a table.
     *
     * @param outcomes of remembered writes by their ids, oldest first
     */
    record State(
            long version,
            SortedMap<ResourceKey, Resource> resources,
            SortedMap<ResourceKey, Tombstone> tombstones,
            Map<String, RecordOutcome> outcomes) {
        State {
            resources = Collections.unmodifiableSortedMap(resources);
            tombstones = Collections.unmodifiableSortedMap(tombstones);
            outcomes = Collections.unmodifiableMap(outcomes);
        }

        /** Returns the same state as if the records up to a later version had changed nothing. */
        State at(long laterVersion) {
            return new State(laterVersion, resources, tombstones, outcomes);
        }
    }

    /** Returns the table before any write. */
    public static ResourceTable empty() {
        return EMPTY;
    }

    /** Returns a table from a snapshot; watches can begin at its version at the earliest. */
    static ResourceTable of(State state) {
        return new ResourceTable(state, List.of(), state.version(), 0);
    }

    State state() {
        return state;
    }

    /** Returns the offset of the next record to fold. */
    public long version() {
        return state.version();
    }

    /** Returns the earliest version from which a watch can tell every change. */
    public long earliestWatch() {
        return earliestWatch;
    }

    /**
     * Returns the format of the record at {@link #version()}, if that stopped the fold because this process does not
     * understand it.
     */
    public OptionalInt unreadableFormat() {
        return unreadableFormat == 0 ? OptionalInt.empty() : OptionalInt.of(unreadableFormat);
    }

    /** Returns a resource. */
    public Optional<Resource> find(ResourceKey key) {
        return Optional.ofNullable(state.resources().get(key));
    }

    /** Returns all resources of a kind that carry all of these labels, by name. */
    public List<Resource> list(ResourceKind kind, Map<String, String> labels) {
        List<Resource> found = new ArrayList<>();
        for (Resource resource : state.resources().values()) {
            if (resource.key().kind() == kind && resource.hasLabels(labels)) {
                found.add(resource);
            }
        }
        return List.copyOf(found);
    }

    /** Returns all resources by kind and name. */
    public List<Resource> all() {
        return List.copyOf(state.resources().values());
    }

    /** Returns what became of a write; empty when it has not been read, or was forgotten. */
    public Optional<RecordOutcome> outcome(String id) {
        return Optional.ofNullable(state.outcomes().get(id));
    }

    /** Returns the conflicts that a change would have at this version, without the log's word. */
    public Optional<Conflict> conflictOf(Change change) {
        return TableFold.conflict(change, state.resources(), state.tombstones());
    }

    /**
     * Returns the changes after a version, of one kind or of all.
     *
     * @return empty when some of them are no longer kept
     */
    public Optional<List<WatchEvent.Changed>> changesAfter(long from, Optional<ResourceKind> kind) {
        if (from < earliestWatch) {
            return Optional.empty();
        }
        List<TableChange> wanted = new ArrayList<>();
        for (TableChange change : changes) {
            boolean isOfKind =
                    kind.isEmpty() || kind.get() == change.resource().key().kind();
            if (change.version() > from && isOfKind) {
                wanted.add(change);
            }
        }
        return Optional.of(withResumption(wanted, from));
    }

    /**
     * Returns the table after further records.
     *
     * @param records consecutive, as read; those before {@link #version()} are skipped
     * @throws IllegalArgumentException when records between are missing
     */
    public ResourceTable fold(List<LogRecord> records) {
        TableFold fold = new TableFold(state, changes, earliestWatch);
        for (LogRecord record : records) {
            if (!fold.take(record)) {
                break;
            }
        }
        if (fold.version() == version() && fold.unreadableFormat() == unreadableFormat) {
            return this;
        }
        return new ResourceTable(fold.state(), fold.changes(), fold.earliestWatch(), fold.unreadableFormat());
    }

    /**
     * Returns another table if it is newer, and this one otherwise.
     *
     * <p>A snapshot of a slow process, or an old one found in the log, would take accepted changes back.
     */
    ResourceTable newerOf(ResourceTable other) {
        return other.version() > version() ? other : this;
    }

    /** One change as kept for watches. */
    record TableChange(WatchEvent.Type type, Resource resource) {
        long version() {
            return resource.version();
        }
    }

    // A watch cut between two changes of one write must not lose the second: only the last one moves the version to
    // resume from, so that the client sees the first one again rather than miss the second.
    private static List<WatchEvent.Changed> withResumption(List<TableChange> wanted, long from) {
        List<WatchEvent.Changed> events = new ArrayList<>();
        long resumeFrom = from;
        for (int position = 0; position < wanted.size(); position++) {
            TableChange change = wanted.get(position);
            boolean isLast =
                    position + 1 == wanted.size() || wanted.get(position + 1).version() > change.version();
            if (isLast) {
                resumeFrom = change.version();
            }
            events.add(new WatchEvent.Changed(change.type(), change.resource(), resumeFrom));
        }
        return List.copyOf(events);
    }
}
