package org.chivetally.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.chivetally.settings.HostPort;
import org.chivetally.time.Timers;

/**
 * An HTTP client for one server with a small pool of persistent connections. A call that times out closes its
 * connection, because a late response could otherwise be taken for the response to the next call.
 */
public final class PooledHttpClient {
    private static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Start of the message of the exception for a refused connection. */
    private static final String REFUSED_MESSAGE = "Connection refused";

    private final EventLoop loop;
    private final Timers timers;
    private final HostPort target;
    private final String host;
    private final int maximumConnections;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<PendingCall> waiting = new ArrayDeque<>();
    private int connections;

    /**
     * Creates a client.
     *
     * @param loop event loop of the connections, on which all methods must be called
     * @param timers timers on that event loop
     * @param target address of the server
     * @param maximumConnections maximum number of open connections; further calls are queued
     */
    public PooledHttpClient(EventLoop loop, Timers timers, HostPort target, int maximumConnections) {
        this.loop = loop;
        this.timers = timers;
        this.target = target;
        this.host = target.toString();
        this.maximumConnections = maximumConnections;
    }

    /**
     * Makes a call.
     *
     * @param result receives the result exactly once, on the event loop
     */
    public void call(HttpCall call, Consumer<HttpResult> result) {
        PendingCall pending = new PendingCall(call, result);
        pending.timer = timers.after(call.timeout(), () -> timeOut(pending));
        Connection connection = idle.pollLast();
        if (connection != null) {
            connection.send(pending);
            return;
        }
        waiting.add(pending);
        if (connections < maximumConnections) {
            connect();
        }
    }

    private void timeOut(PendingCall pending) {
        waiting.remove(pending);
        if (pending.connection != null) {
            pending.connection.channel.close();
        }
        pending.complete(new HttpResult.Failed("no answer in time", pending.connection != null));
    }

    private void connect() {
        connections++;
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .handler(new Pipeline());
        bootstrap.connect(target.host(), target.port()).addListener((ChannelFuture attempt) -> {
            if (!attempt.isSuccess()) {
                connectFailed(attempt.cause());
            }
        });
    }

    private void connectFailed(Throwable cause) {
        connections--;
        PendingCall pending = waiting.poll();
        if (pending != null) {
            String reason = "can't connect: " + cause.getMessage();
            pending.complete(isRefusal(cause) ? new HttpResult.Refused(reason) : new HttpResult.Failed(reason, false));
        }
    }

    /** A timeout is reported by a subclass of the same exception, or by the same class with another message. */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).startsWith(REFUSED_MESSAGE);
    }

    /** Sets up the handlers of a new connection. */
    private final class Pipeline extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES))
                    .addLast(new Connection(channel));
        }
    }

    /** An open connection with at most one call in flight. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private PendingCall current;

        private Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendNext();
        }

        private void sendNext() {
            PendingCall pending = waiting.poll();
            if (pending == null) {
                idle.add(this);
            } else {
                send(pending);
            }
        }

        private void send(PendingCall pending) {
            current = pending;
            pending.connection = this;
            HttpCall call = pending.call;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.path(),
                    Unpooled.wrappedBuffer(call.body()));
            request.headers().set(HttpHeaderNames.HOST, host);
            call.headers().forEach((name, value) -> request.headers().set(name, value));
            if (!call.contentType().isEmpty()) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
            }
            if (call.body().length > 0 || !"GET".equals(call.method())) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            PendingCall pending = current;
            current = null;
            if (pending == null) {
                context.close();
                return;
            }
            pending.connection = null;
            boolean reusable = HttpUtil.isKeepAlive(response);
            HttpResult result =
                    new HttpResult.Response(response.status().code(), ByteBufUtil.getBytes(response.content()));
            if (reusable) {
                sendNext();
            } else {
                context.close();
            }
            pending.complete(result);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections--;
            idle.remove(this);
            if (current != null) {
                current.complete(new HttpResult.Failed("connection closed", true));
                current = null;
            }
            if (!waiting.isEmpty() && connections < maximumConnections) {
                connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (current != null) {
                current.complete(new HttpResult.Failed(String.valueOf(cause.getMessage()), true));
                current = null;
            }
            context.close();
        }
    }

    /** A call that has not completed yet. */
    private static final class PendingCall {
        private final HttpCall call;
        private final Consumer<HttpResult> result;
        private Timers.Timer timer;
        private Connection connection;
        private boolean completed;

        private PendingCall(HttpCall call, Consumer<HttpResult> result) {
            this.call = call;
            this.result = result;
        }

        private void complete(HttpResult outcome) {
            if (completed) {
                return;
            }
            completed = true;
            timer.cancel();
            result.accept(outcome);
        }
    }
}
