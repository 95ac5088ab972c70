package org.chivetally.queue.link;

import java.time.Duration;
import java.util.OptionalLong;
import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.Frame;

/** An open connection to a peer that has identified itself by a hello. */
public final class PeerLink {
    /**
     * Divisor for the safety margin of the age of a stamp: 1/16 of the time since its arrival is not counted. Clock
     * rates may differ by 2%, and an age that is too high would make a delayed start look recent.
     */
    static final int AGE_MARGIN_DIVISOR = 16;

    private final Peer peer;
    private final FrameConnection connection;
    private long lastReceivedNanos;
    private long peerStampNanos;
    private long stampReceivedNanos;
    private long echoNanos;
    private OptionalLong lastEchoSentNanos = OptionalLong.empty();
    private OptionalLong lastHeartbeatSentNanos = OptionalLong.empty();

    PeerLink(Peer peer, FrameConnection connection, long nowNanos) {
        this.peer = peer;
        this.connection = connection;
        this.lastReceivedNanos = nowNanos;
        this.stampReceivedNanos = nowNanos;
    }

    /** Returns the peer. */
    public Peer peer() {
        return peer;
    }

    /** Sends a frame; it is discarded if the connection is closed. */
    public void send(Frame frame) {
        connection.send(frame);
    }

    /** Returns when the last frame was received, in nanoseconds on the monotonic clock. */
    public long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Returns the newest stamp received from the peer, in nanoseconds on the peer's clock; 0 before the first one. */
    public long peerStampNanos() {
        return peerStampNanos;
    }

    /**
     * Returns a lower bound for the age of the peer's newest stamp, in nanoseconds. The peer read the stamp from its
     * clock before it arrived here, so the sum of stamp and age is never later than the peer's clock was at the given
     * time, however long the stamp was in transit.
     *
     * @param atNanos time on the monotonic clock of this process, in nanoseconds
     */
    public long stampAgeNanos(long atNanos) {
        long age = Math.max(0, atNanos - stampReceivedNanos);
        return age - age / AGE_MARGIN_DIVISOR;
    }

    /** Returns the newest stamp of this process that the peer is known to have received, in nanoseconds; 0 for none. */
    public long echoNanos() {
        return echoNanos;
    }

    /**
     * Records the stamps of a heartbeat that has just been received. A heartbeat written before a start contains an
     * older echo than that start; the older echo does not replace the newer one.
     *
     * @param stampNanos stamp of the peer, in nanoseconds on its clock
     * @param echoedNanos newest stamp of this process that the peer had received, in nanoseconds
     */
    public void recordStamps(long stampNanos, long echoedNanos) {
        if (stampNanos != peerStampNanos) {
            peerStampNanos = stampNanos;
            stampReceivedNanos = lastReceivedNanos;
        }
        recordEcho(echoedNanos);
    }

    /** Records that the peer has received a stamp of this process. */
    public void recordEcho(long stampNanos) {
        echoNanos = Math.max(echoNanos, stampNanos);
    }

    /** Records that a frame with the peer's newest stamp is being sent. */
    public void recordEchoSent(long nowNanos) {
        lastEchoSentNanos = OptionalLong.of(nowNanos);
    }

    /** Returns whether no frame with the peer's newest stamp has been sent for the given interval. */
    public boolean isEchoDue(long nowNanos, Duration interval) {
        return lastEchoSentNanos.isEmpty() || nowNanos - lastEchoSentNanos.getAsLong() >= interval.toNanos();
    }

    /** Records that a full heartbeat is being sent, which also contains the peer's newest stamp. */
    public void recordHeartbeatSent(long nowNanos) {
        lastHeartbeatSentNanos = OptionalLong.of(nowNanos);
        recordEchoSent(nowNanos);
    }

    /** Makes a full heartbeat due, because the content of the last one is outdated. */
    public void makeHeartbeatDue() {
        lastHeartbeatSentNanos = OptionalLong.empty();
    }

    /** Returns whether no full heartbeat has been sent for the given interval. */
    public boolean isHeartbeatDue(long nowNanos, Duration interval) {
        return lastHeartbeatSentNanos.isEmpty() || nowNanos - lastHeartbeatSentNanos.getAsLong() >= interval.toNanos();
    }

    void recordReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    FrameConnection connection() {
        return connection;
    }
}
