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
    static final int AGE_MARGIN_PART = 16;

    private final Peer peer;
    private final FrameConnection connection;
    private long heardAtNanos;
    private long peerStampNanos;
    private long stampHeardAtNanos;
    private long echoNanos;
    private OptionalLong echoSentAtNanos = OptionalLong.empty();
    private OptionalLong beatSentAtNanos = OptionalLong.empty();

    PeerLink(Peer peer, FrameConnection connection, long nowNanos) {
        this.peer = peer;
        this.connection = connection;
        this.heardAtNanos = nowNanos;
        this.stampHeardAtNanos = nowNanos;
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
    public long heardAtNanos() {
        return heardAtNanos;
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
        long age = Math.max(0, atNanos - stampHeardAtNanos);
        return age - age / AGE_MARGIN_PART;
    }

    /** Returns the newest stamp of this process that the peer has; 0 before the first one. */
    public long echoNanos() {
        return echoNanos;
    }

    /**
     * Notes the stamps of a heartbeat that has just come. A heartbeat that was written before a start reports an older
     * echo than the start, which doesn't take the newer one back.
     */
    public void stamps(long stampNanos, long echoedNanos) {
        if (stampNanos != peerStampNanos) {
            peerStampNanos = stampNanos;
            stampHeardAtNanos = heardAtNanos;
        }
        echoed(echoedNanos);
    }

    /** Notes that the peer has had a stamp of this process. */
    public void echoed(long stampNanos) {
        echoNanos = Math.max(echoNanos, stampNanos);
    }

    /** Notes that a frame with the peer's newest stamp goes out. */
    public void echoSent(long nowNanos) {
        echoSentAtNanos = OptionalLong.of(nowNanos);
    }

    /** Tells whether no frame with the peer's newest stamp has gone out for a time. */
    public boolean isEchoDue(long nowNanos, Duration interval) {
        return echoSentAtNanos.isEmpty() || nowNanos - echoSentAtNanos.getAsLong() >= interval.toNanos();
    }

    /** Notes that a full heartbeat goes out, which carries the peer's newest stamp too. */
    public void beatSent(long nowNanos) {
        beatSentAtNanos = OptionalLong.of(nowNanos);
        echoSent(nowNanos);
    }

    /** Makes a full heartbeat due, as the last one is no longer true. */
    public void outdateBeat() {
        beatSentAtNanos = OptionalLong.empty();
    }

    /** Tells whether no full heartbeat has gone out for a time. */
    public boolean isBeatDue(long nowNanos, Duration interval) {
        return beatSentAtNanos.isEmpty() || nowNanos - beatSentAtNanos.getAsLong() >= interval.toNanos();
    }

    void heard(long nowNanos) {
        heardAtNanos = nowNanos;
    }

    FrameConnection connection() {
        return connection;
    }
}
