package org.gentianwalk.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.gateway.http.UpstreamListener.Failure;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a response that is reported as complete because no error was noticed. A response
 * without a length and without chunks is complete only if the upstream has ended its output. Uses
 * sockets, since how a connection ends is visible on them only.
 */
class UpstreamEndTest {
    private static final int LIMIT_SECONDS = 10;

    /** Small buffers, so that the request is still being written when the upstream responds. */
    private static final int BUFFER_BYTES = 4_096;

    private static final int LONG_BODY = 1 << 20;

    private static final String UNFRAMED =
            "HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\n\r\nhello";

    private static final String FRAMED =
            "HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nhello";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final UpstreamClient mClient =
            new UpstreamClient(mGroup, new PlainDialect(), new ManualTicker());
    private final UpstreamConnection mConnection = new UpstreamConnection(mClient, "127.0.0.1:1");
    private final RecordedListener mListener = new RecordedListener();
    private ServerSocket mServer;
    private Channel mChannel;
    private Socket mUpstream;

    @BeforeEach
    void connect() throws Exception {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        mChannel =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_SNDBUF, BUFFER_BYTES)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        UpstreamClient.initPipeline(channel, mConnection);
                                    }
                                })
                        .connect(mServer.getLocalSocketAddress())
                        .sync()
                        .channel();
        mUpstream = mServer.accept();
        mUpstream.setTcpNoDelay(true);
    }

    @AfterEach
    void close() throws Exception {
        mUpstream.close();
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void anUnframedResponseWhoseUpstreamEndsItsOutputIsComplete() throws Exception {
        send(0);
        write(UNFRAMED);
        mUpstream.close();

        assertThat(end()).isEqualTo("complete");
        assertThat(mListener.mBody.toString()).isEqualTo("hello");
        assertClosed();
    }

    /** The upstream goes on to receive, so that only one direction of the connection ends. */
    @Test
    void anUnframedResponseThatEndsWithOneDirectionIsCompleteOnceTheRequestIsWritten()
            throws Exception {
        send(LONG_BODY);
        write(UNFRAMED);
        mUpstream.shutdownOutput();
        awaitOnLoop(mConnection::isEndAwaited);
        assertThat(mListener.mEnd).as("the upload is unfinished").isNotDone();
        mUpstream.getInputStream().readNBytes(LONG_BODY);

        assertThat(end()).isEqualTo("complete");
        assertThat(mListener.mEnds.get()).isEqualTo(1);
        assertClosed();
    }

    /** The socket reports the error to the write only; reading sees an end in order. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anUnframedResponseThatEndsBeforeItsRequestIsWrittenIsBroken(boolean paused)
            throws Exception {
        send(LONG_BODY);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        mUpstream.shutdownOutput();
        awaitOnLoop(mConnection::isEndAwaited);
        if (paused) {
            onLoop(() -> mConnection.setReading(false));
        }
        reset();

        assertThat(end()).isEqualTo("BROKEN");
        assertThat(mListener.mEnds.get()).isEqualTo(1);
        assertClosed();
    }

    /** The write fails first, and what the socket has received would be dropped with it. */
    @ParameterizedTest
    @ValueSource(strings = {"413 Large", "503 Full", "200 OK"})
    void aFramedResponseBeforeAFailedWriteIsComplete(String status) throws Exception {
        send(LONG_BODY);
        onLoop(
                () -> {
                    // The loop reads nothing until response and reset have arrived.
                    try {
                        write(FRAMED.replace("200 OK", status));
                        reset();
                        Thread.sleep(50);
                        failWrite();
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });

        assertThat(end()).isEqualTo("complete");
        assertThat(mListener.mBody.toString()).isEqualTo("hello");
        assertClosed();
    }

    /** The failed write closes the channel without an exception that the handlers see. */
    @Test
    void anUnframedResponseIsBrokenByAResetWhileTheRequestIsWritten() throws Exception {
        send(LONG_BODY);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        reset();

        assertThat(end()).isEqualTo("BROKEN");
    }

    @Test
    void anUnframedResponseIsBrokenByAResetAfterTheRequest() throws Exception {
        send(0);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        reset();

        assertThat(end()).isEqualTo("BROKEN");
    }

    @Test
    void anUnframedResponseIsBrokenByAResetThatArrivesWhileReadingIsPaused() throws Exception {
        send(0);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        onLoop(() -> mConnection.setReading(false));
        write("more");
        reset();
        onLoop(() -> mConnection.setReading(true));

        assertThat(end()).isEqualTo("BROKEN");
    }

    /** A write that fails meanwhile ends the connection before reading resumes. */
    @Test
    void anUnframedResponseIsBrokenByAFailedWriteWhileReadingIsPaused() throws Exception {
        send(LONG_BODY);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        onLoop(() -> mConnection.setReading(false));
        write("more");
        reset();

        assertThat(end()).isEqualTo("BROKEN");
    }

    @Test
    void anUnframedResponseThatEndsWhileReadingIsPausedIsComplete() throws Exception {
        send(0);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        onLoop(() -> mConnection.setReading(false));
        write(" world");
        mUpstream.close();
        onLoop(() -> mConnection.setReading(true));

        assertThat(end()).isEqualTo("complete");
        assertThat(mListener.mBody.toString()).isEqualTo("hello world");
    }

    @Test
    void anUnframedResponseIsBrokenByOurOwnClose() throws Exception {
        send(0);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        onLoop(mConnection::close);

        assertThat(end()).isEqualTo("BROKEN");
    }

    @Test
    void anUnframedResponseIsBrokenByTheEndOfTheEventLoop() throws Exception {
        send(0);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();

        assertThat(end()).isEqualTo("BROKEN");
    }

    @Test
    void anUnframedResponseIsBrokenByAnExceptionOfItsListener() throws Exception {
        mListener.mThrowing = true;
        send(0);
        write(UNFRAMED);

        assertThat(end()).isEqualTo("BROKEN");
    }

    @Test
    void aCancelledRequestHasNoEnd() throws Exception {
        send(0);
        write(UNFRAMED);
        mListener.mFirstBody.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        onLoop(mConnection::cancel);
        mChannel.closeFuture().await(LIMIT_SECONDS, TimeUnit.SECONDS);
        onLoop(() -> {});

        assertThat(mListener.mEnd).isNotDone();
    }

    /** The request is not waited for, and the connection is not used again. */
    @Test
    void aFramedResponseIsCompleteWhileTheRequestIsWritten() throws Exception {
        send(LONG_BODY);
        write(FRAMED);

        assertThat(end()).isEqualTo("complete");
        assertClosed();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestWhoseUpstreamEndsItsOutputWithoutAResponseFails(boolean reused) throws Exception {
        send(LONG_BODY, reused);
        mUpstream.shutdownOutput();

        assertThat(end()).isEqualTo(reused ? "STALE" : "BROKEN");
        assertClosed();
    }

    @Test
    void anIdleConnectionWhoseUpstreamEndsItsOutputIsClosed() throws Exception {
        send(0);
        write(FRAMED);
        assertThat(end()).isEqualTo("complete");
        mUpstream.shutdownOutput();

        assertClosed();
    }

    private void send(int bodyLength) throws Exception {
        send(bodyLength, false);
    }

    private void send(int bodyLength, boolean reused) throws Exception {
        UpstreamRequest request =
                new UpstreamRequest(
                        HttpMethod.POST,
                        "/a",
                        DefaultHttpHeaders::new,
                        new byte[bodyLength],
                        "one",
                        false);
        onLoop(() -> mConnection.send(request, mListener, reused));
        // A socket with unread bytes is closed with a reset.
        byte[] head = new byte["POST /a HTTP/1.1\r\ncontent-length: 0\r\n\r\n".length()];
        mUpstream.getInputStream().readNBytes(head, 0, head.length);
    }

    private void write(String text) throws IOException {
        mUpstream.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void reset() throws IOException {
        mUpstream.setSoLinger(true, 0);
        mUpstream.close();
    }

    /** Lets the connection write first, so that the write gets the error of the socket. */
    private void failWrite() {
        mChannel.unsafe().flush();
        ((AbstractNioChannel) mChannel).unsafe().forceFlush();
    }

    private void awaitOnLoop(BooleanSupplier condition) throws Exception {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!mGroup.submit(condition::getAsBoolean).get(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            assertThat(System.nanoTime()).as("the condition holds in time").isLessThan(limit);
            Thread.sleep(2);
        }
    }

    private void onLoop(Runnable task) throws Exception {
        mGroup.submit(task).get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns how the request has ended: complete or a failure. */
    private String end() throws Exception {
        return mListener.mEnd.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void assertClosed() throws Exception {
        assertThat(mChannel.closeFuture().await(LIMIT_SECONDS, TimeUnit.SECONDS))
                .as("the connection is closed")
                .isTrue();
    }

    /** Records the calls of the connection. */
    private static final class RecordedListener implements UpstreamListener {
        private final StringBuffer mBody = new StringBuffer();
        private final CompletableFuture<Void> mFirstBody = new CompletableFuture<>();
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();
        private final AtomicInteger mEnds = new AtomicInteger();
        private volatile boolean mThrowing;

        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {}

        @Override
        public void onBody(byte[] part) {
            mBody.append(new String(part, StandardCharsets.ISO_8859_1));
            mFirstBody.complete(null);
            if (mThrowing) {
                throw new IllegalStateException("listener");
            }
        }

        @Override
        public void onComplete() {
            mEnds.incrementAndGet();
            mEnd.complete("complete");
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            mEnds.incrementAndGet();
            mEnd.complete(failure.name());
        }
    }
}
