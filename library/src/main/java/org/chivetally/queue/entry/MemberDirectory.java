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
import org.chivetally.queue.log.NewestValues;
import org.chivetally.queue.log.StreamTail;
import org.chivetally.time.Timers;
import org.chivetally.wire.v1.StoredMember;
import org.chivetally.wire.v1.StoredMinion;

/** The processes that have announced themselves in the log, by name. Some may be gone. */
public final class MemberDirectory {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Longest wait of one read of announcements; a silent connection hides a new process for about as long. */
    private static final Duration WAIT = Duration.ofMillis(2_500);

    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final KeyedLog log;
    private final Timers timers;
    private final LogStream stream;
    private final Map<String, Peer> members = new LinkedHashMap<>();
    private final Map<String, MinionState> minions = new HashMap<>();
    private long announcements;

    /** Creates a directory that has read nothing yet. */
    public MemberDirectory(KeyedLog log, Timers timers, String stream) {
        this.log = log;
        this.timers = timers;
        this.stream = new LogStream(stream, 0);
    }

    /** Announces this process, and tries on until the log has taken it. */
    public void announce(Peer self) {
        announce(self, Optional.empty());
    }

    /** Announces this process with the minion that it has, and tries on until the log has taken it. */
    public void announce(Peer self, Optional<MinionState> minion) {
        StoredMember.Builder member = StoredMember.newBuilder()
                .setIncarnation(self.incarnation())
                .setAgent(self.agent())
                .setFailureDomain(self.failureDomain())
                .setHost(self.host())
                .setPort(self.port());
        minion.ifPresent(state -> member.setMinion(encode(state)));
        announcements++;
        write(new KeyedRecord(self.process(), member.build().toByteArray()), announcements);
    }

    private void write(KeyedRecord entry, long number) {
        if (number != announcements) {
            // A newer announcement is on its way.
            return;
        }
        // Written without a stamp: a repeat writes the same value once more, which changes nothing.
        log.append(stream, Optional.empty(), List.of(entry), outcome -> {
            if (!(outcome instanceof AppendOutcome.Appended)) {
                timers.after(RETRY_PAUSE, () -> write(entry, number));
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

    /** Follows the announcements from now on. */
    public void follow(Consumer<Peer> listener) {
        new StreamTail(log, timers, stream, WAIT, entry -> take(entry, listener)).start();
    }

    /** Reads the announcements once, and tries on until the log has answered. */
    public void readOnce(Consumer<Peer> listener) {
        readOnce(listener, () -> {});
    }

    /** Reads the announcements once, tries on until the log has answered, and then tells that all were read. */
    public void readOnce(Consumer<Peer> listener, Runnable done) {
        new NewestValues(log, timers, stream, RETRY_PAUSE, () -> true, entry -> take(entry, listener), done).start();
    }

    /** Returns the minion with which a process was announced, as last read. */
    public Optional<MinionState> minionOf(String process) {
        return Optional.ofNullable(minions.get(process));
    }

    /** Returns the processes as last read. */
    public Collection<Peer> members() {
        return List.copyOf(members.values());
    }

    private void take(KeyedRecord entry, Consumer<Peer> listener) {
        if (entry.drops()) {
            members.remove(entry.key());
            minions.remove(entry.key());
            return;
        }
        try {
            StoredMember member = StoredMember.parseFrom(entry.value());
            Peer peer = new Peer(
                    entry.key(),
                    member.getIncarnation(),
                    member.getAgent(),
                    member.getFailureDomain(),
                    member.getHost(),
                    member.getPort());
            members.put(peer.process(), peer);
            if (member.hasMinion()) {
                minions.put(peer.process(), decode(member.getMinion()));
            } else {
                minions.remove(peer.process());
            }
            listener.accept(peer);
        } catch (InvalidProtocolBufferException e) {
            EventLine.of("member-unreadable")
                    .with("key", entry.key())
                    .with("cause", e)
                    .log(LOGGER.atWarning());
        }
    }
}
