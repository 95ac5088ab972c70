package org.chivetally.entry.link;

import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** Receives the events of a {@link LinkSet}, on the thread that calls the set. */
public interface LinkObserver {
    /** Called when a process becomes reachable, with its Hello on the new connection. */
    void up(Hello hello);

    /** Called when a process becomes unreachable. */
    void down(Hello hello, String reason);

    /** Called when a process other than the expected one answers at an address. */
    void unexpectedProcess(Hello hello);

    /** Called when a frame arrives, with the Hello of the process that sent it. */
    void received(Hello sender, Frame frame);
}
