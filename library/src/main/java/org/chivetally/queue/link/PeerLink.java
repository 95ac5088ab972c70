package org.chivetally.queue.link;

import java.time.Duration;
import java.util.OptionalLong;
import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.Frame;

/** An open connection to a peer that has said who it is. */
public final class PeerLink {
    private final Peer peer;
    private final FrameConnection connection;
    private long heardAtNanos;
    private long peerStampNanos;
    private long echoNanos;
    private OptionalLong echoSentAtNanos = OptionalLong.empty();

    PeerLink(Peer peer, FrameConnection connection, long nowNanos) {
        this.peer = peer;
        this.connection = connection;
        this.heardAtNanos = nowNanos;
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

    /** Returns the newest stamp of this process that the peer has; 0 before the first one. */
    public long echoNanos() {
        return echoNanos;
    }

    /** Notes the stamps of a heartbeat. */
    public void stamps(long stampNanos, long echoedNanos) {
        peerStampNanos = stampNanos;
        echoNanos = echoedNanos;
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

    void heard(long nowNanos) {
        heardAtNanos = nowNanos;
    }

    FrameConnection connection() {
        return connection;
    }
}
