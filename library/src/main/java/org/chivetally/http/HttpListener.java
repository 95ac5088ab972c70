package org.chivetally.http;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.logging.EventLine;
import org.chivetally.settings.HostPort;

/** An HTTP server on one address. Passes the requests of each connection to a handler one at a time. */
public final class HttpListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAXIMUM_LINE_BYTES = 4096;

    /** Maximum number of requests queued behind the current one on a connection; clients rarely pipeline requests. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;

    private final EventLoop loop;
    private final Limits limits;
    private final Consumer<HttpExchange> handler;
    private final Set<Connection> connections = new HashSet<>();
    private boolean draining;

    /**
     * Limits on requests and connections.
     *
     * @param headerBytes maximum size of all headers, in bytes
     * @param bodyBytes maximum size of a body, in bytes
     * @param idleMillis idle time after which a connection without a request in progress is closed, in milliseconds
     */
    public record Limits(int headerBytes, int bodyBytes, int idleMillis) {}

    /**
     * Creates a listener that is not bound yet.
     *
     * @param loop event loop of the connections, on which the handler runs
     * @param handler receives the requests and sends their responses
     */
    public HttpListener(EventLoop loop, Limits limits, Consumer<HttpExchange> handler) {
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
    }

    /** Binds the address and starts to accept connections; throws {@link ErrorCode#INTERNAL} if that fails. */
    public void bind(HostPort address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Pipeline())
                .bind(address.host(), address.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ChivetallyException(ErrorCode.INTERNAL, "can't listen on " + address, bound.cause());
        }
    }

    /** Closes each connection after its next response, so that clients connect elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Returns the number of requests in progress. */
    public int openRequests() {
        int open = 0;
        for (Connection connection : connections) {
            open += connection.busy ? 1 : 0;
        }
        return open;
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Sets up the handlers of a new connection. */
    private final class Pipeline extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new IdleStateHandler(0, 0, limits.idleMillis(), TimeUnit.MILLISECONDS))
                    .addLast(new HttpServerCodec(MAXIMUM_LINE_BYTES, limits.headerBytes(), limits.bodyBytes()))
                    .addLast(new HttpObjectAggregator(limits.bodyBytes(), true))
                    .addLast(new Connection());
        }
    }

    /** A connection of a client. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
        private boolean busy;
        private Runnable disconnectAction = () -> {};

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            pipelined.forEach(FullHttpRequest::release);
            pipelined.clear();
            if (busy) {
                busy = false;
                disconnectAction.run();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!busy) {
                handle(context, request);
            } else if (pipelined.size() < MAXIMUM_PIPELINED_REQUESTS) {
                pipelined.add(request.retain());
            } else {
                context.close();
            }
        }

        private void handleNext(ChannelHandlerContext context) {
            FullHttpRequest request = pipelined.poll();
            if (request != null) {
                handle(context, request);
                request.release();
            }
        }

        private void handle(ChannelHandlerContext context, FullHttpRequest request) {
            busy = true;
            disconnectAction = () -> {};
            Exchange exchange = new Exchange(context, this, request);
            if (request.decoderResult().isFailure()) {
                exchange.keepAlive = false;
                exchange.text(HttpResponseStatus.BAD_REQUEST.code(), "malformed request");
                return;
            }
            handler.accept(exchange);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent idle && idle.state() == IdleState.ALL_IDLE && !busy) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            EventLine.of("caller-connection-failed").with("cause", cause).log(LOGGER.atInfo());
            context.close();
        }
    }

    /** A request and its response. */
    private final class Exchange implements HttpExchange {
        private final ChannelHandlerContext context;
        private final Connection connection;
        private final FullHttpRequest request;
        private final byte[] body;
        private boolean keepAlive;
        private boolean responded;

        private Exchange(ChannelHandlerContext context, Connection connection, FullHttpRequest request) {
            this.context = context;
            this.connection = connection;
            this.request = request;
            this.body = ByteBufUtil.getBytes(request.content());
            this.keepAlive = HttpUtil.isKeepAlive(request);
        }

        @Override
        public String method() {
            return request.method().name();
        }

        @Override
        public String path() {
            return request.uri();
        }

        @Override
        public Optional<String> header(String name) {
            return Optional.ofNullable(request.headers().get(name));
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void onDisconnect(Runnable action) {
            connection.disconnectAction = action;
        }

        private void text(int status, String text) {
            respond(status, Map.of(), "text/plain", text.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void respond(int status, Map<String, String> headers, String contentType, byte[] content) {
            if (responded) {
                return;
            }
            responded = true;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
            headers.forEach((name, value) -> response.headers().set(name, value));
            if (!contentType.isEmpty()) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
            boolean reusable = keepAlive && !draining;
            if (!reusable) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = context.writeAndFlush(response);
            connection.busy = false;
            if (reusable) {
                connection.handleNext(context);
            } else {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
