package org.gentianwalk.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.response.ReceivedHead;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.http.UpstreamListener.Failure;
import org.gentianwalk.gateway.wire.WireDialect;
import org.jspecify.annotations.Nullable;

/** Sends requests to upstreams and pools their connections. It never retries a request. */
public final class UpstreamClient implements UpstreamSender {
    /** Keep-alive time of an idle connection when the upstream does not state one. */
    static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

    /** Safety margin by which a connection is dropped before the upstream may close it. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(900);

    /**
     * Connect timeout, milliseconds. Round trips take at most 25 ms; a lost SYN packet is resent
     * only after a second, so it is better to try another upstream before that.
     */
    private static final int CONNECT_MILLIS = 200;

    /**
     * Duration of a connect timeout from which on the instance was paused meanwhile: its timer has
     * run before the loop has seen that the connection is established.
     */
    private static final long LATE_CONNECT_NANOS = Duration.ofMillis(300).toNanos();

    /** Attempts to connect for one request whose timeouts may pass in a pause. */
    private static final int MAX_CONNECTS = 3;

    /** Longest wait for the close of all connections, milliseconds. */
    private static final long CLOSE_MILLIS = 2_000;

    /**
     * Size of a connection's send buffer, bytes. The system's own size reaches 4 MB, so that a long
     * request counts as written although its upstream has read nothing of it. The links carry at
     * most 42 Mbit/s between regions with 24 ms a round trip, 126 KB.
     */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoopGroup mGroup;
    private final WireDialect mDialect;
    private final Ticker mTicker;
    private final Map<String, Deque<UpstreamConnection>> mIdle = new HashMap<>();
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private long mOpened;

    /**
     * Creates a client without connections.
     *
     * @param group the traffic loop
     * @param dialect parses the heads of responses
     * @param ticker clock of idle times
     */
    public UpstreamClient(EventLoopGroup group, WireDialect dialect, Ticker ticker) {
        mGroup = group;
        mDialect = dialect;
        mTicker = ticker;
    }

    @Override
    public UpstreamCall send(String address, UpstreamRequest request, UpstreamListener listener) {
        UpstreamConnection idle = takeIdle(address, request);
        if (idle != null) {
            idle.send(request, listener, true);
            return idle;
        }
        return connect(address, request, listener);
    }

    /** Closes connections that were idle for too long. Must be called about once a second. */
    public void closeExpired() {
        long now = mTicker.nanos();
        List<UpstreamConnection> expired = new ArrayList<>();
        for (Deque<UpstreamConnection> idle : mIdle.values()) {
            for (UpstreamConnection connection : idle) {
                if (connection.isExpired(now)) {
                    expired.add(connection);
                }
            }
        }
        expired.forEach(UpstreamConnection::close);
    }

    /** Closes all connections. Must not be called on the traffic loop. */
    public void close() {
        mChannels.close().awaitUninterruptibly(CLOSE_MILLIS);
    }

    /**
     * Returns the number of connections opened so far.
     *
     * @return the number, including failed attempts to connect
     */
    public long connectionsOpened() {
        return mOpened;
    }

    WireDialect dialect() {
        return mDialect;
    }

    long now() {
        return mTicker.nanos();
    }

    Duration usableKeepAlive(Duration stated) {
        Duration usable = stated.minus(KEEP_ALIVE_MARGIN);
        return usable.isNegative() ? Duration.ZERO : usable;
    }

    /** Longest idle time after which a connection is reused for a non-repeatable request. */
    Duration maxSafeIdle(Duration keepAlive) {
        return keepAlive.dividedBy(2);
    }

    void addIdle(UpstreamConnection connection) {
        mIdle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addFirst(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        Deque<UpstreamConnection> idle = mIdle.get(connection.address());
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            mIdle.remove(connection.address());
        }
    }

    private @Nullable UpstreamConnection takeIdle(String address, UpstreamRequest request) {
        Deque<UpstreamConnection> idle = mIdle.get(address);
        if (idle == null) {
            return null;
        }
        long now = mTicker.nanos();
        for (UpstreamConnection connection : idle) {
            if (connection.isUsable(now, request)) {
                idle.remove(connection);
                return connection;
            }
        }
        return null;
    }

    private UpstreamCall connect(
            String address, UpstreamRequest request, UpstreamListener listener) {
        ConnectingCall connecting = new ConnectingCall(address, request, listener);
        InetSocketAddress target;
        try {
            target = parseAddress(address);
        } catch (IllegalArgumentException e) {
            listener.onFailure(Failure.NOT_SENT, String.valueOf(e.getMessage()));
            return connecting;
        }
        connecting.connect(target);
        return connecting;
    }

    private ChannelFuture connect(InetSocketAddress target, UpstreamConnection connection) {
        mOpened++;
        return new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                mChannels.add(channel);
                                initPipeline(channel, connection);
                            }
                        })
                .connect(target);
    }

    /**
     * Parses an address. Host names are not accepted, since their lookup would block the traffic
     * loop.
     *
     * @throws IllegalArgumentException if it is not an IP address and a port
     */
    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address without a port: " + address);
        }
        return new InetSocketAddress(
                InetAddress.ofLiteral(address.substring(0, colon)),
                Integer.parseInt(address.substring(colon + 1)));
    }

    static void initPipeline(Channel channel, UpstreamConnection connection) {
        // Without it, the end of the upstream's output closes the channel and can't be told from
        // other reasons to close it. UpstreamConnection closes the channel then.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        // A failed write would otherwise close the channel before a response is read that has
        // arrived, such as an error for a body that is too long.
        channel.config().setAutoClose(false);
        ResponseDecoder decoder = new ResponseDecoder(connection);
        connection.unparsedBytes(decoder::hasUnparsedBytes);
        channel.pipeline()
                .addLast(new HttpRequestEncoder())
                .addLast(new InputDetector(connection))
                .addLast(decoder)
                .addLast(connection);
    }

    /** Parses responses. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private final UpstreamConnection mConnection;

        ResponseDecoder(UpstreamConnection connection) {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_HEAD_BYTES)
                            .setMaxHeaderSize(MAX_HEAD_BYTES)
                            .setMaxChunkSize(MAX_CHUNK_BYTES));
            mConnection = connection;
        }

        /** Returns whether bytes follow what has been parsed so far. */
        boolean hasUnparsedBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            if (!ReceivedHead.isStatusText(initialLine[1])) {
                throw new IllegalArgumentException("invalid status: " + initialLine[1]);
            }
            return super.createMessage(initialLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            if (message instanceof HttpResponse response
                    && response.status().equals(HttpResponseStatus.NO_CONTENT)
                    && HttpUtil.isTransferEncodingChunked(message)) {
                // The base class would remove the header that makes the response invalid.
                return false;
            }
            return mConnection.isHeadRequest() || super.isContentAlwaysEmpty(message);
        }
    }

    /**
     * Closes an idle connection when bytes arrive on it. They would otherwise be parsed as the
     * begin of the response to the next request. Also reports input and its end before the decoder
     * handles them.
     */
    private static final class InputDetector extends ChannelInboundHandlerAdapter {
        private final UpstreamConnection mConnection;

        InputDetector(UpstreamConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mConnection.isIdle()) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                mConnection.bytesReceived();
                context.fireChannelRead(message);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                mConnection.inputEnded();
            }
            context.fireUserEventTriggered(event);
        }
    }

    /** A call whose connection is being established. */
    private final class ConnectingCall implements UpstreamCall {
        private final String mAddress;
        private final UpstreamRequest mRequest;
        private final UpstreamListener mListener;
        private UpstreamConnection mConnection;
        private int mConnects;
        private boolean mCancelled;
        private boolean mConnected;

        ConnectingCall(String address, UpstreamRequest request, UpstreamListener listener) {
            mAddress = address;
            mRequest = request;
            mListener = listener;
            mConnection = new UpstreamConnection(UpstreamClient.this, address);
        }

        void connect(InetSocketAddress target) {
            mConnects++;
            long startedAt = mTicker.nanos();
            UpstreamClient.this
                    .connect(target, mConnection)
                    .addListener(
                            future -> connectCompleted((ChannelFuture) future, target, startedAt));
        }

        private void connectCompleted(
                ChannelFuture future, InetSocketAddress target, long startedAt) {
            if (mCancelled) {
                future.channel().close();
                return;
            }
            if (!future.isSuccess()) {
                // ConnectTimeoutException is a subclass of ConnectException.
                Throwable cause = future.cause();
                boolean timeout = cause instanceof ConnectTimeoutException;
                boolean late = mTicker.nanos() - startedAt >= LATE_CONNECT_NANOS;
                if (timeout && late && mRequest.expired().getAsBoolean()) {
                    mListener.onFailure(Failure.EXPIRED, String.valueOf(cause));
                    return;
                }
                if (timeout && late && mConnects < MAX_CONNECTS) {
                    mConnection = new UpstreamConnection(UpstreamClient.this, mAddress);
                    connect(target);
                    return;
                }
                boolean refused = cause instanceof ConnectException && !timeout;
                mListener.onFailure(
                        refused ? Failure.REFUSED : Failure.NOT_SENT, String.valueOf(cause));
                return;
            }
            mConnected = true;
            mConnection.send(mRequest, mListener, false);
        }

        @Override
        public void cancel() {
            mCancelled = true;
            if (mConnected) {
                mConnection.cancel();
            }
        }

        @Override
        public void setReading(boolean reading) {
            if (mConnected) {
                mConnection.setReading(reading);
            }
        }
    }
}
