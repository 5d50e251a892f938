package org.gentianwalk.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;

/** Serves status pages of the instance, such as its readiness. */
public final class StatusServer {
    /** Longest wait for the close, milliseconds. */
    private static final long CLOSE_MILLIS = 2_000;

    private final EventLoopGroup mGroup;
    private final Map<String, Supplier<Page>> mPages;
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /**
     * Creates a server that does not listen yet.
     *
     * @param group the loop that serves the pages
     * @param pages the pages by path
     */
    public StatusServer(EventLoopGroup group, Map<String, Supplier<Page>> pages) {
        mGroup = group;
        mPages = Map.copyOf(pages);
    }

    /**
     * A page.
     *
     * @param status status code
     * @param text content
     */
    public record Page(int status, String text) {}

    /**
     * Starts to listen.
     *
     * @param address address to listen on; port 0 for any free port
     * @return the bound address
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        mChannels.add(channel);
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new PageHandler());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("status pages can't be served at " + address, bound.cause());
        }
        mChannels.add(bound.channel());
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /** Stops listening and closes all connections. Must not be called on the loop. */
    public void close() {
        mChannels.close().awaitUninterruptibly(CLOSE_MILLIS);
    }

    /** Responds to the requests of one connection. */
    private final class PageHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (!(message instanceof HttpRequest request)) {
                return;
            }
            Supplier<Page> known = mPages.get(request.uri());
            Page page =
                    known == null
                            ? new Page(HttpResponseStatus.NOT_FOUND.code(), "no such page\n")
                            : known.get();
            byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(page.status()),
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
            boolean keep = HttpUtil.isKeepAlive(request);
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = context.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
