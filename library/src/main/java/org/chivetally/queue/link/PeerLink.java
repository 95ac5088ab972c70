package org.chivetally.queue.link;

import java.time.Duration;
import java.util.OptionalLong;
import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.Frame;

/** An open connection to a peer that has said who it is. */
public final class PeerLink {
    /**
     * Part of the time since a stamp came that isn't counted as its age. Clocks may differ by 2% in rate, and an age
     * that is too high would make a start that was held up look fresh.
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

    /** Returns the far end. */
    public Peer peer() {
        return peer;
    }

    /** Sends a frame; dropped when the connection is closed. */
    public void send(Frame frame) {
        connection.send(frame);
    }

    /** Returns when the last frame came, by the steady clock. */
    public long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Returns the newest stamp that the peer sent; 0 before the first one. */
    public long peerStampNanos() {
        return peerStampNanos;
    }

    /**
     * Returns the least time by which the peer's clock went on from its newest stamp until a time of this process. The
     * stamp was read from that clock before it came here, so both together are no later than the peer's clock was then,
     * however long the stamp was on its way.
     */
    public long stampAgeNanos(long atNanos) {
        long age = Math.max(0, atNanos - stampReceivedNanos);
        return age - age / AGE_MARGIN_DIVISOR;
    }

    /** Returns the newest stamp of this process that the peer has; 0 before the first one. */
    public long echoNanos() {
        return echoNanos;
    }

    /**
     * Notes the stamps of a heartbeat that has just come. A heartbeat that was written before a start reports an older
     * echo than the start, which doesn't take the newer one back.
     */
    public void recordStamps(long stampNanos, long echoedNanos) {
        if (stampNanos != peerStampNanos) {
            peerStampNanos = stampNanos;
            stampReceivedNanos = lastReceivedNanos;
        }
        recordEcho(echoedNanos);
    }

    /** Notes that the peer has had a stamp of this process. */
    public void recordEcho(long stampNanos) {
        echoNanos = Math.max(echoNanos, stampNanos);
    }

    /** Notes that a frame with the peer's newest stamp goes out. */
    public void recordEchoSent(long nowNanos) {
        lastEchoSentNanos = OptionalLong.of(nowNanos);
    }

    /** Tells whether no frame with the peer's newest stamp has gone out for a time. */
    public boolean isEchoDue(long nowNanos, Duration interval) {
        return lastEchoSentNanos.isEmpty() || nowNanos - lastEchoSentNanos.getAsLong() >= interval.toNanos();
    }

    /** Notes that a full heartbeat goes out, which carries the peer's newest stamp too. */
    public void recordHeartbeatSent(long nowNanos) {
        lastHeartbeatSentNanos = OptionalLong.of(nowNanos);
        recordEchoSent(nowNanos);
    }

    /** Makes a full heartbeat due, as the last one is no longer true. */
    public void makeHeartbeatDue() {
        lastHeartbeatSentNanos = OptionalLong.empty();
    }

    /** Tells whether no full heartbeat has gone out for a time. */
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
