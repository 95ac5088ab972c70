package org.chivetally.entry.link;

import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** An action that a {@link Link} requests; the caller executes the actions in the order given. */
sealed interface LinkEffect {
    /** Opens a connection and assigns this id to it. */
    record Dial(long connectionId) implements LinkEffect {}

    /** Sends this process's Hello on the connection. */
    record SendHello(long connectionId) implements LinkEffect {}

    /** Sends a heartbeat, which the peer answers. */
    record SendHeartbeat(long connectionId) implements LinkEffect {}

    /** Answers a heartbeat of the peer under the heartbeat's request id. */
    record AnswerHeartbeat(long connectionId, long requestId) implements LinkEffect {}

    /** Closes the connection and removes it. */
    record Close(long connectionId) implements LinkEffect {}

    /** Reports that the link is now usable. */
    record Up(Hello hello) implements LinkEffect {}

    /** Reports that the link is no longer usable. */
    record Down(Hello hello, String reason) implements LinkEffect {}

    /** Reports that the Hello received at the address came from a process other than the expected one. */
    record UnexpectedProcess(Hello hello) implements LinkEffect {}

    /** Passes a received frame to the link's owner, with the Hello of the process that sent it. */
    record Deliver(Hello sender, Frame frame) implements LinkEffect {}
}
