package org.chivetally.transport;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.settings.HostPort;

/** Accepts and opens TCP connections that carry frames. */
public final class FrameTransport implements AutoCloseable {
    /** Default number of event loop threads. */
    public static final int DEFAULT_THREADS = 2;

    /** Maximum size of a frame that is sent or accepted, in bytes without its length prefix. */
    public static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

    /** Maximum number of unsent bytes for a slow peer; its connection is closed beyond that. */
    static final int MAXIMUM_UNSENT_BYTES = 8 * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long SHUTDOWN_SECONDS = 2;

    private final EventLoopGroup eventLoops;
    private final boolean ownsEventLoops;
    private final FrameMeters meters;

    /** Creates a transport with the default number of threads. */
    public FrameTransport(MeterRegistry registry) {
        this(DEFAULT_THREADS, registry);
    }

    /**
     * Creates a transport.
     *
     * @param threads event loop threads shared by all connections, at least 1
     * @param registry registry of the frame and byte counters
     */
    public FrameTransport(int threads, MeterRegistry registry) {
        Objects.requireNonNull(registry, "registry");
        this.eventLoops = new MultiThreadIoEventLoopGroup(threads, DelayRoundingIoHandler.newFactory());
        this.ownsEventLoops = true;
        this.meters = new FrameMeters(registry);
    }

    /**
     * Creates a transport on event loops of the caller, which {@link #close} leaves running.
     *
     * @param eventLoops event loops shared by all connections
     * @param registry registry of the frame and byte counters
     */
    public FrameTransport(EventLoopGroup eventLoops, MeterRegistry registry) {
        this.eventLoops = Objects.requireNonNull(eventLoops, "eventLoops");
        this.ownsEventLoops = false;
        this.meters = new FrameMeters(Objects.requireNonNull(registry, "registry"));
    }

    /**
     * Accepts connections on an address. The stage completes with the bound address, or exceptionally if the address
     * cannot be bound.
     *
     * @param host host name or IP address to bind
     * @param port port to bind, or 0 for any free port
     * @param listener receives the events of all accepted connections
     */
    public CompletionStage<InetSocketAddress> listen(String host, int port, FrameListener listener) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(acceptedChannelInitializer(listener));
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        bootstrap.bind(host, port).addListener((ChannelFuture attempt) -> {
            if (attempt.isSuccess()) {
                bound.complete((InetSocketAddress) attempt.channel().localAddress());
                return;
            }
            bound.completeExceptionally(new ChivetallyException(
                    ErrorCode.INTERNAL, "can't listen on " + host + ":" + port, attempt.cause()));
        });
        return bound;
    }

    /**
     * Opens a connection. A failure, a timeout of 500 ms or an invalid port is reported as {@code disconnected}.
     *
     * @param listener receives the events of the connection
     */
    public void dial(String host, int port, FrameListener listener) {
        String peer = host + ":" + port;
        NettyFrameConnection connection = new NettyFrameConnection(peer, meters);
        if (!HostPort.isReachablePort(port)) {
            // Peers announce their own addresses, so an invalid port is not a mistake of the caller.
            eventLoops.next().execute(() -> listener.disconnected(connection, "dial failed: invalid port"));
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(dialledChannelInitializer(connection, listener));
        bootstrap.connect(host, port).addListener(new DialListener(connection, listener));
    }

    /** Closes all connections and listeners if this transport owns its event loops; waits at most 4 s. */
    @Override
    public void close() {
        if (!ownsEventLoops) {
            return;
        }
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(2 * SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    }

    private ChannelInitializer<Channel> acceptedChannelInitializer(FrameListener listener) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                addHandlers(channel, new NettyFrameConnection(remoteAddressOf(channel), meters), listener);
            }
        };
    }

    private ChannelInitializer<Channel> dialledChannelInitializer(
            NettyFrameConnection connection, FrameListener listener) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                addHandlers(channel, connection, listener);
            }
        };
    }

    private void addHandlers(Channel channel, NettyFrameConnection connection, FrameListener listener) {
        channel.pipeline().addLast(new BoundedFrameDecoder(MAXIMUM_FRAME_BYTES));
        channel.pipeline().addLast(new FrameChannelHandler(connection, listener, meters));
    }

    private static String remoteAddressOf(Channel channel) {
        // A peer that resets its connection right after the accept leaves no remote address.
        if (channel.remoteAddress() instanceof InetSocketAddress remote) {
            return remote.getHostString() + ":" + remote.getPort();
        }
        return "unknown";
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(MAXIMUM_UNSENT_BYTES / 2, MAXIMUM_UNSENT_BYTES);
    }

    /** Reports a failed dial. Not a lambda, for which a process that rarely dials would generate a class. */
    private record DialListener(NettyFrameConnection connection, FrameListener listener)
            implements ChannelFutureListener {
        @Override
        public void operationComplete(ChannelFuture attempt) {
            if (!attempt.isSuccess()) {
                listener.disconnected(connection, "dial failed: " + attempt.cause());
            }
        }
    }
}
