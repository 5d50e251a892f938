package org.gentianwalk.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.server.guard.FailureGuard;

/** Accepts the connections of callers. */
public final class EdgeServer {
    /** Connections that wait to be accepted; the kernel drops the SYN packets of further ones. */
    private static final int BACKLOG = 1024;

    /** Bytes buffered for a caller at which reading from its upstream pauses and resumes. */
    private static final WriteBufferWaterMark WRITE_BUFFER =
            new WriteBufferWaterMark(32 << 10, 128 << 10);

    /** Longest wait for each step of the close; a loop that is blocked must not block it. */
    private static final long CLOSE_MILLIS = 2_000;

    private final EventLoopGroup mGroup;
    private final EdgeOptions mOptions;
    private final RequestHandler mHandler;
    private final BodyBudget mBodies = new BodyBudget();
    private final Set<EdgeConnection> mConnections =
            Collections.newSetFromMap(new IdentityHashMap<>());
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile @org.jspecify.annotations.Nullable Channel mListener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param group the traffic loop
     * @param options dependencies of the connections
     * @param handler handles the requests
     */
    public EdgeServer(EventLoopGroup group, EdgeOptions options, RequestHandler handler) {
        mGroup = group;
        mOptions = options;
        mHandler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param address address to listen on; port 0 for any free port
     * @return the bound address
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("callers can't be served at " + address, bound.cause());
        }
        mListener = bound.channel();
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /**
     * Closes connections that are idle for a while. Must be called on the traffic loop.
     *
     * @param guard runs the closing of each by itself
     */
    public void closeIdle(FailureGuard guard) {
        for (EdgeConnection connection : mConnections.toArray(new EdgeConnection[0])) {
            guard.run("connection of a caller", connection::closeIfIdle);
        }
    }

    /**
     * Answers the requests in progress. Must be called on the traffic loop.
     *
     * @param guard runs the answer to each by itself
     */
    public void endRequests(FailureGuard guard) {
        for (EdgeConnection connection : mConnections.toArray(new EdgeConnection[0])) {
            guard.run("connection of a caller", connection::endRequest);
        }
    }

    /**
     * Returns the number of open connections. Must be called on the traffic loop.
     *
     * @return the number of connections of callers
     */
    public int connections() {
        return mConnections.size();
    }

    /** Refuses new connections from now on; those that were accepted are kept. */
    public void refuseConnections() {
        Channel listener = mListener;
        if (listener != null) {
            listener.close();
        }
    }

    /**
     * Stops listening, answers the requests in progress and closes all connections. Must not be
     * called on the traffic loop, and before that loop is shut down.
     *
     * @param guard runs the answer to each by itself
     */
    public void close(FailureGuard guard) {
        Channel listener = mListener;
        if (listener == null || mGroup.isShuttingDown()) {
            return;
        }
        // No connection is accepted any more once the listener is closed.
        listener.close().awaitUninterruptibly(CLOSE_MILLIS);
        try {
            mGroup.next().submit(() -> endRequests(guard)).awaitUninterruptibly(CLOSE_MILLIS);
        } catch (RejectedExecutionException e) {
            // Another thread has closed the connections and shut the loop down.
            return;
        }
        mChannels.close().awaitUninterruptibly(CLOSE_MILLIS);
    }

    private void accept(Channel channel) {
        mChannels.add(channel);
        CallerLimits limits = mOptions.limits().get();
        EdgeConnection connection = new EdgeConnection(mOptions, mHandler, mBodies);
        mConnections.add(connection);
        channel.closeFuture().addListener(closed -> mConnections.remove(connection));
        channel.pipeline().addLast(new ArrivalMonitor(connection));
        CallerCodec.addTo(channel.pipeline(), limits.maxHeaderBytes(), connection);
        channel.pipeline().addLast(connection);
    }

    /** Notifies the connection of received bytes before the decoder has a complete message. */
    static final class ArrivalMonitor extends ChannelInboundHandlerAdapter {
        private final EdgeConnection mConnection;

        ArrivalMonitor(EdgeConnection connection) {
            mConnection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mConnection.bytesArrived();
            context.fireChannelRead(message);
        }
    }
}
