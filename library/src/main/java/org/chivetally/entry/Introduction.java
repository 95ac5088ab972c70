package org.chivetally.entry;

import java.util.function.Consumer;
import org.chivetally.entry.link.Address;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** Introduces this process to the entries of its settings, for when the log can't tell them of it. */
final class Introduction {
    private final EntryActors.Parts parts;
    private final Consumer<Hello> introduced;

    Introduction(EntryActors.Parts parts, Consumer<Hello> introduced) {
        this.parts = parts;
        this.introduced = introduced;
    }

    /** Dials each seed, says Hello, takes the answer and closes. */
    void dialSeeds() {
        for (Address seed : parts.settings().seeds()) {
            parts.dialer().dial(seed.host(), seed.port(), new Listener());
        }
    }

    private final class Listener implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            connection.send(Frame.newBuilder()
                    .setRequestId(parts.requestIds().incrementAndGet())
                    .setHello(parts.hello().get())
                    .build());
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            if (frame.hasHello()) {
                introduced.accept(frame.getHello());
                connection.close();
            }
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            // The next announcement tries again.
        }
    }
}
