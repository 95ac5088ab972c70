package org.chivetally.daemon;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.chivetally.agent.Member;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.settings.HostPort;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.transport.FrameTransport;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/**
 * A log for the announcements of an agent that sends the agent's Hello to the seed entries whenever an append fails.
 *
 * <p>Safeguard: an agent that starts while the log is unavailable can't announce itself, and no entry would connect to
 * it. Seeds add it to their members as if they had read its announcement; other entries read the announcement once the
 * log is available again.
 */
final class SeedIntroducingLog implements PlatformLog {
    private final PlatformLog log;
    private final FrameTransport transport;
    private final List<HostPort> seeds;
    private final Hello hello;

    SeedIntroducingLog(PlatformLog log, FrameTransport transport, List<HostPort> seeds, Member agent) {
        this.log = log;
        this.transport = transport;
        this.seeds = seeds;
        this.hello = Hello.newBuilder()
                .setProcessId(agent.processId())
                .setIncarnation(agent.incarnation())
                .setRole(agent.role())
                .setFailureDomain(agent.failureDomain())
                .setListenHost(agent.host())
                .setListenPort(agent.port())
                .setService(agent.service())
                .setBackend(agent.backend())
                .setCapacity(agent.capacity().toWire())
                .build();
    }

    @Override
    public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
        return log.append(stream, records).thenApply(this::introduceIfNotAppended);
    }

    @Override
    public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
        return log.read(stream, from, limit, wait);
    }

    private AppendOutcome introduceIfNotAppended(AppendOutcome outcome) {
        if (!(outcome instanceof AppendOutcome.Appended)) {
            seeds.forEach(seed -> transport.dial(seed.host(), seed.port(), new IntroductionListener()));
        }
        return outcome;
    }

    private final class IntroductionListener implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            connection.send(Frame.newBuilder().setHello(hello).build());
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            if (frame.hasHello()) {
                connection.close();
            }
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            // The next failed announcement sends the Hello again.
        }
    }
}
