package org.chivetally.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.entry.link.Address;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.ConfigurationPull;
import org.chivetally.wire.v1.ConfigurationPush;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.MembersPull;

/**
 * Introduces this process to the entries of its settings, and takes over from them what the log can't tell.
 *
 * <p>An entry that starts while the log is down would know neither agents nor configuration, and serve nothing until
 * the log is back.
 */
final class Introduction {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final ActorSystem<?> system;
    private final EntryActors.Parts parts;
    private final Consumer<Hello> introduced;

    Introduction(ActorSystem<?> system, EntryActors.Parts parts, Consumer<Hello> introduced) {
        this.system = system;
        this.parts = parts;
        this.introduced = introduced;
    }

    /** Dials each seed, says Hello, asks for members and configuration, and closes. */
    void dialSeeds() {
        for (Address seed : parts.settings().seeds()) {
            parts.dialer().dial(seed.host(), seed.port(), new Listener());
        }
    }

    private final class Listener implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            send(connection, Frame.newBuilder().setHello(parts.hello().get()));
            system.scheduler().scheduleOnce(LIMIT, connection::close, system.executionContext());
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            switch (frame.getBodyCase()) {
                case HELLO -> greeted(connection, frame.getHello());
                case CONFIGURATION_PUSH -> take(frame.getConfigurationPush());
                case MEMBERS_PUSH -> {
                    frame.getMembersPush().getMembersList().forEach(introduced);
                    connection.close();
                }
                default -> {
                    // Nothing else was asked for.
                }
            }
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            // The next introduction tries again.
        }

        private void greeted(FrameConnection connection, Hello hello) {
            boolean self = hello.getProcessId().equals(parts.member().processId());
            if (self) {
                connection.close();
                return;
            }
            introduced.accept(hello);
            long have = parts.extension().configuration().version();
            if (hello.getConfigurationVersion() > have) {
                send(
                        connection,
                        Frame.newBuilder()
                                .setConfigurationPull(
                                        ConfigurationPull.newBuilder().setHaveVersion(have)));
            }
            send(connection, Frame.newBuilder().setMembersPull(MembersPull.getDefaultInstance()));
        }

        private void take(ConfigurationPush push) {
            parts.extension()
                    .configuration()
                    .offer(push.getVersion(), push.getSnapshot().toByteArray());
        }

        private void send(FrameConnection connection, Frame.Builder frame) {
            connection.send(
                    frame.setRequestId(parts.requestIds().incrementAndGet()).build());
        }
    }
}
