package org.chivetally.queue.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chivetally.time.Timers;

/**
 * In-memory log with the features that queues rely on: newest values by key, writers that are fenced by epochs,
 * sequence numbers that make repeats harmless, and a group whose members are assigned partitions. Responses take time,
 * and can be made to fail for all callers or for some.
 */
public final class ScriptedKeyedLog {
    private static final Duration RESPONSE_DELAY = Duration.ofMillis(4);

    private final Timers timers;
    private final Map<LogStream, Partition> partitions = new HashMap<>();
    private final Map<String, Long> memberExpiries = new TreeMap<>();
    private final Map<Integer, String> owners = new HashMap<>();
    private final Map<Integer, String> assignment = new HashMap<>();
    private final int partitionCount;
    private final List<LogStream> appends = new ArrayList<>();
    private long generation;
    private final Set<String> disconnected = new HashSet<>();
    private final Set<String> unlistable = new HashSet<>();

    /** How the log handles appends. */
    public enum AppendBehavior {
        /** Stores them and responds. */
        ACCEPTING,
        /** Rejects them. */
        REFUSING,
        /** Stores them, but the response is lost. */
        RESPONSES_LOST,
        /** Neither stores them nor responds. */
        SILENT
    }

    /** How the log handles appends at present. */
    public AppendBehavior appendBehavior = AppendBehavior.ACCEPTING;

    /** Creates an empty log. */
    public ScriptedKeyedLog(Timers timers, int partitionCount) {
        this.timers = timers;
        this.partitionCount = partitionCount;
    }

    /** Disconnects a caller from the log, or connects it again. */
    public void setDisconnected(String caller, boolean disconnect) {
        if (disconnect) {
            disconnected.add(caller);
        } else {
            disconnected.remove(caller);
        }
    }

    /** Makes the listings of a stream fail for a caller, or succeed again. */
    public void setUnlistable(String caller, String stream, boolean fails) {
        if (fails) {
            unlistable.add(caller + "/" + stream);
        } else {
            unlistable.remove(caller + "/" + stream);
        }
    }

    /** Returns the stream of each append that was carried out, in order. */
    public List<LogStream> appends() {
        return appends;
    }

    /** Returns the access of one caller to the log. */
    public Access access(String caller) {
        return new Access(caller);
    }

    /** Returns the newest values of a partition. */
    public Map<String, byte[]> newest(LogStream stream) {
        return partition(stream).newest;
    }

    private Partition partition(LogStream stream) {
        return partitions.computeIfAbsent(stream, key -> new Partition());
    }

    /** Expires all records of a partition, except the newest value of each key. */
    public void expireHistory(LogStream stream) {
        Partition partition = partition(stream);
        partition.firstRetained = partition.records.size();
    }

    private static final class Partition {
        private final List<KeyedRecord> records = new ArrayList<>();
        private long firstRetained;
        private final TreeMap<String, byte[]> newest = new TreeMap<>();
        private final Map<String, Long> epochs = new HashMap<>();
        private final Map<String, Long> sequences = new HashMap<>();
    }

    /** Access of one caller to the log. */
    public final class Access implements KeyedLog, OwnershipGroup {
        private final String caller;

        private Access(String caller) {
            this.caller = caller;
        }

        private boolean isDisconnected() {
            return disconnected.contains(caller);
        }

        @Override
        public void append(
                LogStream stream, Optional<AppendId> id, List<KeyedRecord> records, Consumer<AppendOutcome> callback) {
            if (isDisconnected() || appendBehavior == AppendBehavior.SILENT) {
                timers.after(Duration.ofMillis(600), () -> callback.accept(new AppendOutcome.Unknown("silent")));
                return;
            }
            if (appendBehavior == AppendBehavior.REFUSING) {
                timers.after(RESPONSE_DELAY, () -> callback.accept(new AppendOutcome.Refused("busy")));
                return;
            }
            boolean responseLost = appendBehavior == AppendBehavior.RESPONSES_LOST;
            timers.after(RESPONSE_DELAY, () -> {
                AppendOutcome outcome = applyAppend(stream, id, records);
                if (responseLost) {
                    timers.after(
                            Duration.ofMillis(600), () -> callback.accept(new AppendOutcome.Unknown("response lost")));
                } else {
                    callback.accept(outcome);
                }
            });
        }

        private AppendOutcome applyAppend(LogStream stream, Optional<AppendId> id, List<KeyedRecord> records) {
            Partition partition = partition(stream);
            if (id.isPresent()) {
                AppendId appendId = id.get();
                long epoch = partition.epochs.getOrDefault(appendId.writer(), -1L);
                if (appendId.epoch() < epoch) {
                    return new AppendOutcome.Fenced();
                }
                long lastSequence = partition.sequences.getOrDefault(appendId.writer(), 0L);
                if (appendId.epoch() == epoch && !records.isEmpty()) {
                    if (appendId.sequence() <= lastSequence && appendId.sequence() > lastSequence - 5) {
                        return new AppendOutcome.Appended(partition.records.size());
                    }
                    if (appendId.sequence() != lastSequence + 1) {
                        return new AppendOutcome.OutOfSequence(lastSequence + 1);
                    }
                }
                partition.epochs.put(appendId.writer(), appendId.epoch());
                partition.sequences.put(appendId.writer(), appendId.sequence());
            }
            appends.add(stream);
            for (KeyedRecord record : records) {
                partition.records.add(record);
                if (record.isTombstone()) {
                    partition.newest.remove(record.key());
                } else {
                    partition.newest.put(record.key(), record.value());
                }
            }
            return new AppendOutcome.Appended(partition.records.size());
        }

        @Override
        public void readNewest(LogStream stream, String afterKey, Consumer<NewestOutcome> callback) {
            if (isDisconnected() || unlistable.contains(caller + "/" + stream.name())) {
                timers.after(
                        Duration.ofMillis(600), () -> callback.accept(new NewestOutcome.Unavailable("disconnected")));
                return;
            }
            timers.after(RESPONSE_DELAY, () -> {
                Partition partition = partition(stream);
                List<KeyedRecord> items = new ArrayList<>();
                partition
                        .newest
                        .tailMap(afterKey, false)
                        .forEach((key, value) -> items.add(new KeyedRecord(key, value)));
                callback.accept(new NewestOutcome.Page(items, false, partition.records.size()));
            });
        }

        @Override
        public void read(LogStream stream, long from, Duration maximumWait, Consumer<ReadOutcome> callback) {
            if (isDisconnected()) {
                timers.after(
                        Duration.ofMillis(600), () -> callback.accept(new ReadOutcome.Unavailable("disconnected")));
                return;
            }
            Partition partition = partition(stream);
            timers.after(partition.records.size() > from ? RESPONSE_DELAY : Duration.ofMillis(50), () -> {
                if (from < partition.firstRetained) {
                    callback.accept(new ReadOutcome.Expired());
                    return;
                }
                List<KeyedRecord> records =
                        List.copyOf(partition.records.subList((int) from, partition.records.size()));
                callback.accept(new ReadOutcome.Records(from + records.size(), records));
            });
        }

        @Override
        public void join(String member, long knownGeneration, Duration timeToLive, Consumer<JoinOutcome> callback) {
            if (isDisconnected() || appendBehavior == AppendBehavior.SILENT) {
                timers.after(Duration.ofMillis(600), () -> callback.accept(new JoinOutcome.Unavailable("silent")));
                return;
            }
            timers.after(RESPONSE_DELAY, () -> {
                memberExpiries.put(member, timers.nanos() + timeToLive.toNanos());
                reassign();
                if (knownGeneration >= generation) {
                    // The member knows the current assignment, so partitions that it lost can pass to their new owners.
                    owners.replaceAll((partition, owner) -> owner.equals(member) ? assignment.get(partition) : owner);
                }
                Set<Integer> assigned = new HashSet<>();
                assignment.forEach((partition, assignee) -> {
                    if (assignee.equals(member) && owners.get(partition).equals(member)) {
                        assigned.add(partition);
                    }
                });
                callback.accept(new JoinOutcome.Joined(generation, assigned));
            });
        }

        @Override
        public void leave(String member, Runnable done) {
            timers.after(RESPONSE_DELAY, () -> {
                memberExpiries.remove(member);
                reassign();
                done.run();
            });
        }
    }

    private void reassign() {
        memberExpiries.values().removeIf(expiryNanos -> expiryNanos < timers.nanos());
        List<String> members = new ArrayList<>(memberExpiries.keySet());
        Map<Integer, String> newAssignment = new HashMap<>();
        for (int partition = 0; partition < partitionCount && !members.isEmpty(); partition++) {
            newAssignment.put(partition, members.get(partition % members.size()));
        }
        if (!newAssignment.equals(assignment)) {
            assignment.clear();
            assignment.putAll(newAssignment);
            generation++;
        }
        assignment.forEach((partition, member) ->
                owners.compute(partition, (same, owner) -> members.contains(owner) ? owner : member));
    }
}
