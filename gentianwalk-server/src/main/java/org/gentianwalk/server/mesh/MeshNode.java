package org.gentianwalk.server.mesh;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.proto.Envelope;
import org.gentianwalk.proto.MessageType;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The mesh transport of one instance: sends and receives authenticated messages.
 *
 * <p>Connections are opened on demand, used in both directions and closed when idle. A message to a
 * peer that does not read or is unreachable fails immediately instead of waiting.
 *
 * <p>Options: {@link MeshOptions}. Example: {@code mesh.request(peer, MessageType.REPLICA_FETCH,
 * fetch, ReplicaFetchReply.parser(), Duration.ofMillis(300))}.
 */
public final class MeshNode implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MeshNode.class);

    /**
     * Maximum size of a frame before its sender is authenticated, bytes. A hello holds an
     * identifier, a challenge and a code, together less than 1 KiB. Without this limit, anyone who
     * can open connections could make the instance hold {@link MeshOptions#maxFrameBytes()} on
     * each.
     */
    private static final int MAX_HELLO_BYTES = 4 << 10;

    private final MeshSender mSelf;
    private final MeshOptions mOptions;
    private final MeshCounters mCounters;
    private final EventLoopGroup mGroup;
    private final ScheduledExecutorService mLoop;
    private final PendingRequests mRequests;
    private final Map<String, MeshConnection> mConnections = new ConcurrentHashMap<>();
    private final Map<MessageType, Route<?>> mRoutes = new ConcurrentHashMap<>();
    private volatile List<MeshKey> mKeys;
    private volatile @Nullable Channel mListener;

    /**
     * Creates a node without a listener or connections.
     *
     * @param self identifier and incarnation of this instance
     * @param keys accepted keys; the first one signs outgoing frames
     * @param options bounds
     * @param registry the registry that publishes the counters
     */
    public MeshNode(
            MeshSender self, List<MeshKey> keys, MeshOptions options, MetricRegistry registry) {
        mSelf = self;
        mOptions = options;
        mCounters = new MeshCounters(registry);
        mKeys = requireKeys(keys);
        mGroup = new MultiThreadIoEventLoopGroup(options.threads(), NioIoHandler.newFactory());
        mLoop = mGroup.next();
        mRequests = new PendingRequests(mLoop);
    }

    /**
     * Starts listening for connections.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @return the port in use
     * @throws MeshException if the address can't be bound
     */
    public int listen(InetSocketAddress address) throws MeshException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        EventLoop loop = channel.eventLoop();
                                        MeshNode node = MeshNode.this;
                                        initPipeline(channel, new MeshConnection(node, loop, null));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new MeshException("the mesh can't listen on " + address, bound.cause());
        }
        mListener = bound.channel();
        return ((InetSocketAddress) bound.channel().localAddress()).getPort();
    }

    /**
     * Registers the handler of a message type; it runs on the event loop.
     *
     * @param type the type
     * @param parser parses the payload
     * @param handler handles the messages
     * @param <T> class of the messages
     */
    public <T extends MessageLite> void registerHandler(
            MessageType type, Parser<T> parser, MeshHandler<T> handler) {
        mRoutes.put(type, new Route<>(parser, handler));
    }

    /**
     * Sends a message that needs no reply. It may be lost.
     *
     * @param peer the receiver
     * @param type the type
     * @param message the message
     */
    public void send(MeshPeer peer, MessageType type, MessageLite message) {
        connection(peer)
                .submit(
                        new MeshConnection.Frame(
                                type, message.toByteString(), 0, false, cause -> {}));
    }

    /**
     * Sends a message and waits for the reply without blocking.
     *
     * @param peer the receiver
     * @param type the type
     * @param message the message
     * @param parser parses the reply
     * @param timeout longest wait
     * @param <R> class of the reply
     * @return the reply, completed on an event loop, or a {@link MeshException}
     */
    public <R extends MessageLite> CompletableFuture<R> request(
            MeshPeer peer,
            MessageType type,
            MessageLite message,
            Parser<R> parser,
            Duration timeout) {
        CompletableFuture<ByteString> reply = new CompletableFuture<>();
        MeshConnection connection = connection(peer);
        long correlation = mRequests.add(connection, reply, timeout);
        connection.submit(
                new MeshConnection.Frame(
                        type,
                        message.toByteString(),
                        correlation,
                        false,
                        cause -> mRequests.fail(correlation, cause)));
        return reply.thenCompose(
                payload -> {
                    try {
                        return CompletableFuture.completedFuture(parser.parseFrom(payload));
                    } catch (InvalidProtocolBufferException e) {
                        mCounters.countDropped(MeshCounters.DropReason.MALFORMED);
                        return CompletableFuture.failedFuture(
                                new MeshException("reply from " + peer.id() + " is malformed", e));
                    }
                });
    }

    /**
     * Replaces the accepted keys. Open connections stay open; the first key signs from the next
     * frame on.
     *
     * @param keys the keys, the signing one first
     */
    public void replaceKeys(List<MeshKey> keys) {
        mKeys = requireKeys(keys);
    }

    /**
     * Returns the counters.
     *
     * @return frames and bytes by type, and dropped frames
     */
    public MeshCounters counters() {
        return mCounters;
    }

    /**
     * Returns an event loop of the transport. Message handlers of a node with one thread run on it,
     * so state that is confined to it can be accessed without switching threads.
     *
     * @return a single-threaded executor that stops when the node is closed
     */
    public ScheduledExecutorService eventLoop() {
        return mLoop;
    }

    /** Closes the listener and all connections. Waits up to 2 s. */
    @Override
    public void close() {
        Channel listener = mListener;
        if (listener != null) {
            listener.close();
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }

    String id() {
        return mSelf.id();
    }

    MeshOptions options() {
        return mOptions;
    }

    List<MeshKey> keys() {
        return mKeys;
    }

    MeshKey signingKey() {
        return mKeys.getFirst();
    }

    Envelope.Builder newEnvelope() {
        return Envelope.newBuilder().setSender(mSelf.id()).setIncarnation(mSelf.incarnation());
    }

    void onEnvelope(MeshConnection connection, Envelope envelope) {
        // Later messages to the peer reuse the connection that the peer opened.
        mConnections.compute(
                envelope.getSender(),
                (id, known) -> known == null || known.isClosed() ? connection : known);
        if (envelope.getReply()) {
            mRequests.complete(connection, envelope.getCorrelation(), envelope.getPayload());
            return;
        }
        Route<?> route = mRoutes.get(envelope.getType());
        if (route == null) {
            mCounters.countDropped(MeshCounters.DropReason.UNHANDLED);
            return;
        }
        try {
            route.dispatch(connection, envelope);
        } catch (InvalidProtocolBufferException e) {
            mCounters.countDropped(MeshCounters.DropReason.MALFORMED);
        } catch (RuntimeException e) {
            LOG.errorf(e, "handler of %s from %s failed", envelope.getType(), envelope.getSender());
        }
    }

    void onConnectionClosed(MeshConnection connection, @Nullable String peer) {
        if (peer != null) {
            mConnections.remove(peer, connection);
        }
        mRequests.failAll(connection);
    }

    private static List<MeshKey> requireKeys(List<MeshKey> keys) {
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("the mesh needs at least one key");
        }
        return List.copyOf(keys);
    }

    private WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(mOptions.sendBufferBytes() / 2, mOptions.sendBufferBytes());
    }

    private void initPipeline(Channel channel, MeshConnection connection) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(64, true))
                .addLast(
                        new IdleStateHandler(
                                0, 0, mOptions.idleTimeout().toMillis(), TimeUnit.MILLISECONDS))
                .addLast(new FrameDecoder(mOptions.maxFrameBytes(), connection))
                .addLast(connection);
    }

    private MeshConnection connection(MeshPeer peer) {
        MeshConnection open = mConnections.get(peer.id());
        if (open != null && !open.isClosed()) {
            return open;
        }
        return mConnections.compute(
                peer.id(),
                (id, known) -> known == null || known.isClosed() ? connect(peer) : known);
    }

    private MeshConnection connect(MeshPeer peer) {
        EventLoop loop = mGroup.next();
        MeshConnection connection = new MeshConnection(this, loop, peer.id());
        InetSocketAddress address;
        try {
            address = peer.socketAddress();
        } catch (MeshException e) {
            loop.execute(() -> connection.connectFailed(e));
            return connection;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) mOptions.connectTimeout().toMillis())
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                initPipeline(channel, connection);
                            }
                        })
                .connect(address)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                connection.connectFailed(future.cause());
                            }
                        });
        return connection;
    }

    /** Splits the bytes of a connection into frames; limits the first frame to a hello's size. */
    private static final class FrameDecoder extends LengthFieldBasedFrameDecoder {
        private final MeshConnection mConnection;

        FrameDecoder(int maxFrameBytes, MeshConnection connection) {
            super(maxFrameBytes, 0, Integer.BYTES, 0, Integer.BYTES);
            mConnection = connection;
        }

        @Override
        protected long getUnadjustedFrameLength(
                ByteBuf bytes, int offset, int length, ByteOrder order) {
            long size = super.getUnadjustedFrameLength(bytes, offset, length, order);
            boolean accepted = mConnection.isAuthenticated() || size <= MAX_HELLO_BYTES;
            return accepted ? size : Integer.MAX_VALUE;
        }
    }

    /** The handler of one message type. */
    private record Route<T extends MessageLite>(Parser<T> parser, MeshHandler<T> handler) {
        void dispatch(MeshConnection connection, Envelope envelope)
                throws InvalidProtocolBufferException {
            MeshSender sender = new MeshSender(envelope.getSender(), envelope.getIncarnation());
            handler.handle(
                    sender,
                    parser.parseFrom(envelope.getPayload()),
                    (type, message) ->
                            connection.submit(
                                    new MeshConnection.Frame(
                                            type,
                                            message.toByteString(),
                                            envelope.getCorrelation(),
                                            true,
                                            cause -> {})));
        }
    }
}
