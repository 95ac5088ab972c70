package org.chivetally.entry.link;

import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** What a {@link Link} wants done, in order. */
sealed interface LinkEffect {
    /** Open a connection under this number. */
    record Dial(long connectionId) implements LinkEffect {}

    /** Introduce this process on the connection. */
    record SendHello(long connectionId) implements LinkEffect {}

    /** Ask the far end for a sign of life. */
    record SendHeartbeat(long connectionId) implements LinkEffect {}

    /** Repeat a heartbeat of the far end as its answer. */
    record AnswerHeartbeat(long connectionId, long requestId) implements LinkEffect {}

    /** Close the connection and forget it. */
    record Close(long connectionId) implements LinkEffect {}

    /** The link can be used from now on. */
    record Up(Hello hello) implements LinkEffect {}

    /** The link can't be used from now on. */
    record Down(Hello hello, String reason) implements LinkEffect {}

    /** Another process than the expected one answers at the address. */
    record UnexpectedProcess(Hello hello) implements LinkEffect {}

    /** A frame for the link's owner, from the process that introduced itself so. */
    record Deliver(Hello sender, Frame frame) implements LinkEffect {}
}
