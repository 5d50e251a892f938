package org.gentianwalk.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to an upstream although their caller has closed the
 * connection, since the loop was late and had not read the close.
 */
class NettyTrafficLoopTest {
    private static final int TIMEOUT_SECONDS = 20;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void aTaskAfterReadSeesThatTheCallerHasClosedWhileTheLoopWasBusy() throws Exception {
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        Channel server = listen(accepted);
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        NettyTrafficLoop loop = new NettyTrafficLoop(mGroup.next());
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        CompletableFuture<Boolean> open = new CompletableFuture<>();

        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            assertThat(caller.isConnected()).isTrue();
            Channel channel = accepted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            loop.execute(
                    () -> {
                        busy.countDown();
                        await(closed);
                        loop.executeAfterRead(() -> open.complete(channel.isActive()));
                    });
            await(busy);
        }
        closed.countDown();

        assertThat(open.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isFalse();
    }

    private Channel listen(CompletableFuture<Channel> accepted) {
        return new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelActive(ChannelHandlerContext context) {
                                accepted.complete(context.channel());
                            }
                        })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(new TimeoutException("the test is stuck"));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
