package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.agent.Incarnation;
import org.chivetally.queue.agent.MinionState;
import org.chivetally.queue.link.Peer;
import org.chivetally.queue.log.AppendOutcome;
import org.chivetally.queue.log.KeyedLog;
import org.chivetally.queue.log.KeyedRecord;
import org.chivetally.queue.log.LogStream;
import org.chivetally.queue.log.NewestValuesReader;
import org.chivetally.queue.log.StreamTail;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.StoredMember;
import org.chivetally.wire.v1.StoredMinion;

/**
 * Directory of the processes that have announced themselves in the log, by name. It may list processes that have ended.
 */
public final class MemberDirectory {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Longest wait of one read for new announcements. If a connection stalls silently, a new process goes undetected
     * for about as long.
     */
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(2_500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Map<String, Peer> members = new LinkedHashMap<>();
    private final Map<String, MinionState> minions = new HashMap<>();
    private long newestAnnouncement;

    /** Creates a directory that has read nothing yet. */
    public MemberDirectory(KeyedLog log, Timers timers, String stream) {
        this.log = log;
        this.timers = timers;
        this.stream = new LogStream(stream, 0);
    }

    /** Announces this process, and retries until the log has stored the announcement. */
    public void announce(Peer self) {
        announce(self, Optional.empty());
    }

    /** Announces this process with its minion, and retries until the log has stored the announcement. */
    public void announce(Peer self, Optional<MinionState> minion) {
        StoredMember.Builder member = StoredMember.newBuilder()
                .setIncarnation(self.incarnation())
                .setAgent(self.agent())
                .setFailureDomain(self.failureDomain())
                .setHost(self.host())
                .setPort(self.port());
        minion.ifPresent(state -> member.setMinion(encode(state)));
        newestAnnouncement++;
        write(new KeyedRecord(self.process(), member.build().toByteArray()), newestAnnouncement);
    }

    private void write(KeyedRecord record, long number) {
        if (number != newestAnnouncement) {
            // A newer announcement has replaced this one.
            return;
        }
        // No deduplication stamp is needed: a retry writes the same value again, which changes nothing.
        log.append(stream, Optional.empty(), List.of(record), outcome -> {
            if (!(outcome instanceof AppendOutcome.Appended)) {
                timers.after(RETRY_DELAY, () -> write(record, number));
            }
        });
    }

    private static StoredMinion encode(MinionState minion) {
        return StoredMinion.newBuilder()
                .setBoot(minion.minionId())
                .setService(minion.service())
                .setCapacity(JobCodec.encode(minion.capacity()))
                .addAllLabels(minion.labels())
                .setLeaving(minion.leaving())
                .setClockMillis(minion.clockMillis())
                .setBornAtMillis(minion.incarnation().startedAtMillis())
                .build();
    }

    private static MinionState decode(StoredMinion minion) {
        return new MinionState(
                Incarnation.of(minion.getBoot(), minion.getBornAtMillis()),
                minion.getService(),
                JobCodec.decode(minion.getCapacity()),
                minion.getLabelsList(),
                minion.getLeaving(),
                minion.getClockMillis(),
                0);
    }

    /**
     * Follows the announcements, old and new, from now on.
     *
     * @param listener receives each announced process
     */
    public void follow(Consumer<Peer> listener) {
        new StreamTail(log, timers, stream, POLL_TIMEOUT, record -> apply(record, listener)).start();
    }

    /**
     * Reads the announcements once, and retries until the log has answered.
     *
     * @param listener receives each announced process
     */
    public void readOnce(Consumer<Peer> listener) {
        readOnce(listener, () -> {});
    }

    /**
     * Reads the announcements once, and retries until the log has answered.
     *
     * @param listener receives each announced process
     * @param done run after all announcements have been read
     */
    public void readOnce(Consumer<Peer> listener, Runnable done) {
        new NewestValuesReader(log, timers, stream, RETRY_DELAY, () -> true, record -> apply(record, listener), done)
                .start();
    }

    /** Returns the minion in the announcement of a process that was read last. */
    public Optional<MinionState> minionOf(String process) {
        return Optional.ofNullable(minions.get(process));
    }

    /** Returns the announced processes as of the last read. */
    public Collection<Peer> members() {
        return List.copyOf(members.values());
    }

    /**
     * Applies a record. A record with an invalid identity was written by another writer and is ignored; an earlier
     * record of the same process remains in effect.
     */
    private void apply(KeyedRecord record, Consumer<Peer> listener) {
        if (record.isTombstone()) {
            members.remove(record.key());
            minions.remove(record.key());
            return;
        }
        Optional<StoredMember> parsed = parse(record);
        if (parsed.isEmpty()) {
            return;
        }
        StoredMember member = parsed.get();
        Peer peer = new Peer(
                record.key(),
                member.getIncarnation(),
                member.getAgent(),
                member.getFailureDomain(),
                member.getHost(),
                member.getPort());
        Optional<String> invalid = peer.invalidComponent();
        if (invalid.isPresent()) {
            logUnreadable(record, invalid.get());
            return;
        }
        members.put(peer.process(), peer);
        minions.remove(peer.process());
        if (member.hasMinion()) {
            putMinion(record, decode(member.getMinion()));
        }
        listener.accept(peer);
    }

    private void putMinion(KeyedRecord record, MinionState minion) {
        if (minion.isInRange()) {
            minions.put(record.key(), minion);
        } else {
            logUnreadable(record, "minion");
        }
    }

    private static Optional<StoredMember> parse(KeyedRecord record) {
        try {
            return Optional.of(StoredMember.parseFrom(record.value()));
        } catch (InvalidProtocolBufferException e) {
            logUnreadable(record, e.getMessage());
            return Optional.empty();
        }
    }

    private static void logUnreadable(KeyedRecord record, String cause) {
        EventLine.of("member-unreadable")
                .with("key", record.key())
                .with("cause", cause)
                .log(LOGGER.atWarning());
    }
}
