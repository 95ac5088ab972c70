package org.chivetally.standins;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.chivetally.logging.EventLine;
import org.chivetally.standins.RelayFaults.NewConnections;
import org.chivetally.standins.RelayFaults.Silence;

/**
 * TCP relay between two processes, which simulates a network that adds delay, silences connections, or closes them.
 *
 * <p>Listens on the loopback address. A half-closed connection is treated as closed. Thread-safe, but must not be
 * called on the relay's own threads.
 */
public final class TcpRelay implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final Supplier<InetSocketAddress> target;
    private final long oneWayDelayNanos;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("relay-timer").daemon().factory());
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
    private final LongAdder accepted = new LongAdder();
    private final LongAdder bytesToTarget = new LongAdder();
    private final LongAdder bytesToClient = new LongAdder();
    private final LongAdder bytesWithheld = new LongAdder();
    private volatile RelayFaults faults = RelayFaults.NONE;
    private Channel listener;

    private TcpRelay(Supplier<InetSocketAddress> target, Duration oneWayDelay) {
        this.target = target;
        this.oneWayDelayNanos = oneWayDelay.toNanos();
    }

    /**
     * Starts a relay without delay; throws {@link IllegalStateException} if the port can't be bound.
     *
     * @param listenPort port on the loopback address; 0 selects a free port
     * @param targetHost host that each connection is forwarded to
     * @param targetPort port that each connection is forwarded to
     */
    public static TcpRelay start(int listenPort, String targetHost, int targetPort) {
        InetSocketAddress target = new InetSocketAddress(targetHost, targetPort);
        return start(listenPort, () -> target, Duration.ZERO);
    }

    /**
     * Starts a relay with a delay; throws {@link IllegalStateException} if the port can't be bound.
     *
     * @param listenPort port on the loopback address; 0 selects a free port
     * @param target supplies the address to forward to for each connection, so that the target may start after the
     *     relay
     * @param oneWayDelay delay of each byte in each direction, in addition to the delay of the faults
     */
    public static TcpRelay start(int listenPort, Supplier<InetSocketAddress> target, Duration oneWayDelay) {
        TcpRelay relay = new TcpRelay(target, oneWayDelay);
        relay.listen(listenPort);
        return relay;
    }

    /** Returns the port that the relay listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the current faults. */
    public RelayFaults faults() {
        return faults;
    }

    /** Replaces the faults; returns once the currently open connections are silenced or closed. */
    public synchronized void setFaults(RelayFaults newFaults) {
        faults = newFaults;
        LOG.atInfo().log(
                "%s", EventLine.of("relay-faults-set").with("port", port()).with("faults", newFaults));
        List<? extends Future<?>> pending = connections.stream()
                .map(connection -> connection.client().eventLoop().submit(() -> connection.apply(newFaults)))
                .toList();
        pending.forEach(Future::awaitUninterruptibly);
        if (newFaults.cut()) {
            channels.close().awaitUninterruptibly();
        }
    }

    /** Returns counts since the relay started. */
    public RelayStatistics statistics() {
        return new RelayStatistics(
                accepted.sum(), connections.size(), bytesToTarget.sum(), bytesToClient.sum(), bytesWithheld.sum());
    }

    /** Stops listening and closes every connection. */
    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        channels.close().awaitUninterruptibly();
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
        timer.shutdownNow();
    }

    private void listen(int port) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel client) {
                        accept(client);
                    }
                });
        ChannelFuture bound =
                bootstrap.bind(InetAddress.getLoopbackAddress(), port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully();
            throw new IllegalStateException("can't listen on port " + port, bound.cause());
        }
        listener = bound.channel();
    }

    private void accept(Channel client) {
        accepted.increment();
        channels.add(client);
        NewConnections handling = faults.newConnections();
        switch (handling) {
            case FORWARDED -> connectToTarget(client);
            // The connection stays open and unread until the relay is closed.
            case SILENT -> {}
            case CLOSED -> client.close();
        }
    }

    /** Connects to the target on the client's event loop, so that both directions of a connection share one thread. */
    private void connectToTarget(Channel client) {
        Bootstrap bootstrap = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter());
        ChannelFuture connecting = bootstrap.connect(target.get());
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                startForwarding(client, connecting.channel());
            } else {
                client.close();
            }
        });
    }

    private void startForwarding(Channel client, Channel server) {
        channels.add(server);
        // If the client was reset while the relay connected to the target, no further event would close the target's
        // side, and the target would keep serving a connection without a client.
        if (!client.isActive()) {
            server.close();
            return;
        }
        RelayDirection toTarget =
                new RelayDirection(server, this::delayNanos, this::runAfter, bytesToTarget, bytesWithheld);
        RelayDirection toClient =
                new RelayDirection(client, this::delayNanos, this::runAfter, bytesToClient, bytesWithheld);
        RelayedConnection connection = new RelayedConnection(client, server, toTarget, toClient);
        connections.add(connection);
        client.closeFuture().addListener(closed -> removeIfClosed(connection));
        server.closeFuture().addListener(closed -> removeIfClosed(connection));
        client.pipeline().addLast(toTarget);
        server.pipeline().addLast(toClient);
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
    }

    private long delayNanos() {
        return oneWayDelayNanos + TimeUnit.MILLISECONDS.toNanos(faults.delayMillis());
    }

    // The timers of an event loop have a resolution of 1 ms, which would double a delay of 0.5 ms.
    private void runAfter(long nanos, EventExecutor eventLoop, Runnable action) {
        timer.schedule(() -> eventLoop.execute(action), nanos, TimeUnit.NANOSECONDS);
    }

    private void removeIfClosed(RelayedConnection connection) {
        if (connection.isClosed()) {
            connections.remove(connection);
        }
    }

    /** One forwarded connection. */
    private record RelayedConnection(Channel client, Channel server, RelayDirection toTarget, RelayDirection toClient) {
        void apply(RelayFaults faults) {
            Silence silence = faults.silence();
            if (silence.silencesToTarget()) {
                toTarget.silence();
            }
            if (silence.silencesToClient()) {
                toClient.silence();
            }
        }

        boolean isClosed() {
            return !client.isOpen() && !server.isOpen();
        }
    }
}
