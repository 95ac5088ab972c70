package org.chivetally.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.chivetally.agent.Member;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.settings.HostPort;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.transport.FrameTransport;
import org.chivetally.wire.v1.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SeedIntroducingLogTest {
    private static final String HOST = "127.0.0.1";

    private final FrameTransport transport = new FrameTransport(new SimpleMeterRegistry());
    private final CompletableFuture<Frame> introduced = new CompletableFuture<>();

    @AfterEach
    void stop() {
        transport.close();
    }

    /**
     * An agent starts while the log is unavailable: its announcement is refused, so no entry can read it. The agent
     * must connect to the seed and send its Hello, so that the seed can connect to the agent at once.
     */
    @Test
    void aRefusedAnnouncementIsSentToTheSeeds() throws Exception {
        InetSocketAddress seed =
                transport.listen(HOST, 0, new Seed()).toCompletableFuture().get(5, TimeUnit.SECONDS);
        MinionCapacity capacity = new MinionCapacity(8, 64, 0, 0, 0);
        Member agent = new Member("agent-1", "i", "agent", HOST, 7000, "north", "routing", "minion-1", capacity);
        SeedIntroducingLog log = new SeedIntroducingLog(
                new UnavailableLog(), transport, List.of(new HostPort(HOST, seed.getPort())), agent);
        AppendOutcome outcome =
                log.append("members", List.of()).toCompletableFuture().join();
        assertThat(outcome, is(new AppendOutcome.Refused("down")));
        Frame frame = introduced.get(5, TimeUnit.SECONDS);
        assertThat(frame.getHello().getProcessId(), is("agent-1"));
        assertThat(frame.getHello().getListenPort(), is(7000));
        assertThat(frame.getHello().getCapacity().getSlots(), is(8));
    }

    private final class Seed implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            // The connecting side sends the first frame.
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            introduced.complete(frame);
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            // The test checks the first frame only.
        }
    }

    private static final class UnavailableLog implements PlatformLog {
        @Override
        public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
            return CompletableFuture.completedFuture(new AppendOutcome.Refused("down"));
        }

        @Override
        public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
            return CompletableFuture.completedFuture(new ReadOutcome.Unavailable("down"));
        }
    }
}
