package org.gentianwalk.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.gateway.wire.CallerHead;
import org.gentianwalk.gateway.wire.HeadText;
import org.gentianwalk.gateway.wire.MalformedHeadException;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller. Requests are handled one at a time; pipelined ones wait as unparsed
 * bytes.
 */
final class EdgeConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(EdgeConnection.class);

    /**
     * Unparsed bytes from which on reading pauses while a request is in progress. Below that,
     * reading continues, since the disconnect of a caller is only noticed while reading.
     */
    private static final int MAX_PIPELINED_BYTES = 16 << 10;

    /** Size of the pieces in which a response is written that is not complete yet, bytes. */
    private static final int MAX_PIECE_BYTES = 32 << 10;

    /** Retry-after time when the bodies of other requests take all room, seconds. */
    private static final String FULL_RETRY = "1.000";

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Idle time after which a stopping instance closes a connection. A caller may have sent the
     * next request after a response that did not announce the close.
     */
    private static final long STOP_IDLE_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Time between the expiry of an idle connection and its close, in which the loop reads what has
     * arrived. After SIGSTOP and SIGCONT the loop runs its timers before it reads.
     */
    private static final long IDLE_CONFIRM_MILLIS = 20;

    /** Time for which further input is read and dropped before the close. */
    private static final long LINGER_MILLIS = 500;

    private final EdgeOptions mOptions;
    private final RequestHandler mHandler;
    private final BodyBudget mBodies;

    /** Bytes that the body of the current request has taken from the budget. */
    private int mBodyBytes;

    private CallerInput mInput = () -> {};
    private @Nullable ChannelHandlerContext mContext;
    private @Nullable HttpRequest mHead;
    private @Nullable CallerHead mCallerHead;
    private @Nullable ByteBuf mBody;
    private long mHeadAt;
    private @Nullable ResponseWriter mResponse;
    private RequestHandler.@Nullable CallerListener mCallerListener;
    private @Nullable ScheduledFuture<?> mTimer;
    private long mTimeoutStart;
    private boolean mReceiving;
    private boolean mHeadRequest;
    private boolean mClosing;

    EdgeConnection(EdgeOptions options, RequestHandler handler, BodyBudget bodies) {
        mOptions = options;
        mHandler = handler;
        mBodies = bodies;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mTimeoutStart = mOptions.ticker().nanos();
        armTimer(context, mOptions.limits().get().idleTimeout());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosing = true;
        ScheduledFuture<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        discardRequest();
        RequestHandler.CallerListener listener = mCallerListener;
        mCallerListener = null;
        mResponse = null;
        if (listener != null) {
            listener.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warnf(cause, "connection of a caller is closed after a failure");
        }
        context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        ResponseWriter response = mResponse;
        if (response != null) {
            response.writeHeld();
        }
        RequestHandler.CallerListener listener = mCallerListener;
        if (listener != null) {
            listener.writabilityChanged();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        read(context, message);
    }

    /** Sets what parses the bytes of the caller. */
    void input(CallerInput input) {
        mInput = input;
    }

    /** Returns whether a request is in progress, so that no further one may be parsed. */
    boolean hasRequest() {
        return mResponse != null;
    }

    /** Called after received bytes were parsed; {@code waiting} of them were not. */
    void inputParsed(int waiting) {
        ChannelHandlerContext context = mContext;
        if (context == null || mClosing) {
            return;
        }
        if (mResponse != null) {
            if (waiting >= MAX_PIPELINED_BYTES) {
                context.channel().config().setAutoRead(false);
            }
        } else if (waiting > 0 || mHead != null) {
            bytesArrived();
        }
    }

    /** Starts the header timeout, within which the whole request must arrive. */
    void bytesArrived() {
        if (!mReceiving && mResponse == null) {
            mReceiving = true;
            mTimeoutStart = mOptions.ticker().nanos();
            ChannelHandlerContext context = mContext;
            if (context != null) {
                armTimer(context, mOptions.limits().get().headerTimeout());
            }
        }
    }

    /** Returns whether the current request is a HEAD request, whose response has no body. */
    boolean isHeadRequest() {
        return mHeadRequest;
    }

    /**
     * Closes the connection if it has been idle for {@link #STOP_IDLE_NANOS}; otherwise it is
     * closed after the current or the next response.
     */
    void closeIfIdle() {
        ChannelHandlerContext context = mContext;
        long idle = mOptions.ticker().nanos() - mTimeoutStart;
        if (context != null && mResponse == null && !mReceiving && idle >= STOP_IDLE_NANOS) {
            closeUnlessUsed(context);
        }
    }

    /** Completes the response to the request in progress, since the process is about to end. */
    void endRequest() {
        RequestHandler.CallerListener listener = mCallerListener;
        if (listener != null) {
            listener.instanceEnds();
        }
    }

    private void read(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                readHead(context, request);
            }
            if (message instanceof HttpContent content && mHead != null) {
                readContent(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(ChannelHandlerContext context, HttpRequest request) {
        mHeadAt = mOptions.ticker().nanos();
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            reject(
                    context,
                    tooLong
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST,
                    tooLong ? "send shorter headers" : "the request is not valid HTTP/1.1");
            return;
        }
        if (isAmbiguous(request.headers())) {
            reject(
                    context,
                    HttpResponseStatus.BAD_REQUEST,
                    "send one length or one transfer coding, not both");
            return;
        }
        String target = HeadText.decode(request.uri());
        if (target == null) {
            // The codec writes a target in UTF-8, which would have other bytes.
            reject(
                    context,
                    HttpResponseStatus.BAD_REQUEST,
                    "send the request target in UTF-8, or percent-encoded");
            return;
        }
        request.setUri(target);
        CallerLimits limits = mOptions.limits().get();
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(
                    context,
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "send a body of at most " + limits.maxBodyBytes() + " bytes");
            return;
        }
        try {
            mCallerHead = mOptions.dialect().parseCallerHead(request);
        } catch (MalformedHeadException e) {
            reject(context, HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
            return;
        }
        mHead = request;
        mBody = Unpooled.buffer(0);
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void readContent(ChannelHandlerContext context, HttpContent content) {
        HttpRequest head = mHead;
        CallerHead callerHead = mCallerHead;
        ByteBuf body = mBody;
        if (head == null || callerHead == null || body == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            reject(context, HttpResponseStatus.BAD_REQUEST, "the body is not valid HTTP/1.1");
            return;
        }
        CallerLimits limits = mOptions.limits().get();
        if (body.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
            reject(
                    context,
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "send a body of at most " + limits.maxBodyBytes() + " bytes");
            return;
        }
        int length = content.content().readableBytes();
        if (!mBodies.take(length)) {
            reject(
                    context,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "the instance has too many long requests; retry in a second");
            return;
        }
        mBodyBytes += length;
        body.writeBytes(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(body);
        mHead = null;
        mBody = null;
        mReceiving = false;
        mHeadRequest = head.method().equals(HttpMethod.HEAD);
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        CallerRequest request =
                new CallerRequest(
                        head.method(),
                        head.uri(),
                        host,
                        HopHeaders.endToEnd(head.headers()),
                        callerHead,
                        bytes,
                        mHeadAt);
        ResponseWriter writer = new ResponseWriter(context, HttpUtil.isKeepAlive(head));
        mResponse = writer;
        RequestHandler.CallerListener listener;
        try {
            listener = mHandler.handle(request, writer);
        } catch (RuntimeException e) {
            // Without a response the caller could not know whether the request was executed.
            LOG.errorf(e, "a request can't be handled");
            writer.respond(
                    HttpResponseStatus.INTERNAL_SERVER_ERROR.code(),
                    "the request can't be handled",
                    null);
            return;
        }
        if (mResponse == writer) {
            mCallerListener = listener;
        }
    }

    /** Returns whether two HTTP parsers could disagree on where the request ends. */
    private static boolean isAmbiguous(HttpHeaders headers) {
        boolean coded = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        if (coded && lengths > 0 || lengths > 1) {
            return true;
        }
        if (!coded) {
            return false;
        }
        String coding =
                String.join(",", headers.getAll(HttpHeaderNames.TRANSFER_ENCODING))
                        .trim()
                        .toLowerCase(Locale.ROOT);
        return !coding.equals(HttpHeaderValues.CHUNKED.toString());
    }

    private void reject(ChannelHandlerContext context, HttpResponseStatus status, String message) {
        mClosing = true;
        // The rejection answers no HEAD request, so it has a body.
        mHeadRequest = false;
        discardRequest();
        byte[] bytes = (message + "\n").getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length)
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, FULL_RETRY);
        }
        context.writeAndFlush(response).addListener(written -> linger(context));
    }

    /**
     * Closes the connection after the caller has had time to read the response. An immediate close
     * with unread input would reset the connection, and the caller could lose the response.
     */
    private static void linger(ChannelHandlerContext context) {
        if (context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        // Further input is read and dropped.
        context.channel().config().setAutoRead(true);
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void discardRequest() {
        mHead = null;
        mBody = null;
        releaseBody();
    }

    private void releaseBody() {
        mBodies.release(mBodyBytes);
        mBodyBytes = 0;
    }

    private void responseCompleted(ChannelHandlerContext context, boolean keep) {
        mResponse = null;
        mCallerListener = null;
        releaseBody();
        mTimeoutStart = mOptions.ticker().nanos();
        if (!keep) {
            mClosing = true;
            return;
        }
        armTimer(context, mOptions.limits().get().idleTimeout());
        mInput.resume();
        if (mResponse == null) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void armTimer(ChannelHandlerContext context, Duration delay) {
        ScheduledFuture<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        mTimer =
                context.executor()
                        .schedule(
                                () -> checkTimeout(context),
                                delay.toMillis(),
                                TimeUnit.MILLISECONDS);
    }

    private void checkTimeout(ChannelHandlerContext context) {
        mTimer = null;
        if (mResponse != null || mClosing) {
            // The timer is restarted when the response is complete.
            return;
        }
        CallerLimits limits = mOptions.limits().get();
        Duration timeout = mReceiving ? limits.headerTimeout() : limits.idleTimeout();
        long remaining = timeout.toNanos() - (mOptions.ticker().nanos() - mTimeoutStart);
        if (remaining > 0) {
            armTimer(context, Duration.ofNanos(remaining).plusMillis(1));
        } else if (mReceiving) {
            reject(context, HttpResponseStatus.REQUEST_TIMEOUT, "send the whole request sooner");
        } else {
            closeUnlessUsed(context);
        }
    }

    /** Closes an idle connection, unless the next read brings bytes of a request. */
    private void closeUnlessUsed(ChannelHandlerContext context) {
        long idleSince = mTimeoutStart;
        context.executor()
                .schedule(
                        () -> {
                            boolean unused = mResponse == null && !mReceiving;
                            if (unused && mTimeoutStart == idleSince && !mClosing) {
                                mClosing = true;
                                context.close();
                            }
                        },
                        IDLE_CONFIRM_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Writes the response to one request. */
    private final class ResponseWriter implements CallerChannel {
        private final ChannelHandlerContext mCallerContext;
        private final boolean mKeepAlive;

        /**
         * Parts that wait until the caller reads. One read from an upstream can hold thousands of
         * small parts, and each takes several hundred bytes while it waits in the channel.
         */
        private ByteArrayOutputStream mHeld = new ByteArrayOutputStream(0);

        private boolean mHeadSent;
        private boolean mDone;

        /** Whether the head that was sent lets the caller use the connection again. */
        private boolean mKeptByHead;

        ResponseWriter(ChannelHandlerContext callerContext, boolean keepAlive) {
            mCallerContext = callerContext;
            mKeepAlive = keepAlive;
        }

        @Override
        public void respond(int status, HttpHeaders headers, byte[] body) {
            if (mDone) {
                return;
            }
            boolean keep = keepsAlive();
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            response.headers().add(headers);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            complete(response, keep);
        }

        @Override
        public void respond(int status, String message, @Nullable Duration retryAfter) {
            if (mDone) {
                return;
            }
            if (mHeadSent) {
                abort();
                return;
            }
            boolean keep = keepsAlive();
            byte[] body = (message + "\n").getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
            if (retryAfter != null) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(
                                        Locale.ROOT,
                                        "%.3f",
                                        retryAfter.toMillis() / MILLIS_PER_SECOND));
            }
            complete(response, keep);
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {
            if (mDone || mHeadSent) {
                return;
            }
            mHeadSent = true;
            HttpResponse response =
                    new DefaultHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().add(headers);
            HttpUtil.setTransferEncodingChunked(response, true);
            mKeptByHead = keepsAlive();
            if (!mKeptByHead) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            mCallerContext.write(response, mCallerContext.voidPromise());
        }

        @Override
        public void write(byte[] part) {
            if (mDone) {
                return;
            }
            if (isWritable()) {
                int written = writeWhileWritable(part);
                mHeld.write(part, written, part.length - written);
            } else {
                mHeld.writeBytes(part);
            }
        }

        /** Writes the held parts as far as the caller reads. */
        void writeHeld() {
            if (mDone || mHeld.size() == 0 || !mCallerContext.channel().isWritable()) {
                return;
            }
            byte[] held = mHeld.toByteArray();
            mHeld = new ByteArrayOutputStream(0);
            int written = writeWhileWritable(held);
            mHeld.write(held, written, held.length - written);
        }

        /** Writes all held parts, at the end of the response. */
        private void flushHeld() {
            if (mHeld.size() > 0) {
                byte[] held = mHeld.toByteArray();
                mHeld = new ByteArrayOutputStream(0);
                writeContent(held, 0, held.length);
            }
        }

        /**
         * Writes a part in pieces until the channel has no room; what waits there takes direct
         * memory, of which an instance has less than heap.
         *
         * @return the number of bytes written
         */
        private int writeWhileWritable(byte[] part) {
            int written = 0;
            while (written < part.length && mCallerContext.channel().isWritable()) {
                int length = Math.min(part.length - written, MAX_PIECE_BYTES);
                writeContent(part, written, length);
                written += length;
            }
            return written;
        }

        private void writeContent(byte[] part, int from, int length) {
            mCallerContext.writeAndFlush(
                    new DefaultHttpContent(Unpooled.wrappedBuffer(part, from, length)),
                    mCallerContext.voidPromise());
        }

        @Override
        public void end() {
            if (mDone) {
                return;
            }
            flushHeld();
            mDone = true;
            // A stop that began after the head can't be announced; the next response does that.
            boolean keep = mKeptByHead;
            var written = mCallerContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (!keep) {
                written.addListener(done -> linger(mCallerContext));
            }
            release(keep);
        }

        @Override
        public void abort() {
            if (!mDone) {
                mDone = true;
                mCallerContext.close();
                release(false);
            }
        }

        @Override
        public boolean isWritable() {
            return mHeld.size() == 0 && mCallerContext.channel().isWritable();
        }

        private boolean keepsAlive() {
            return mKeepAlive && !mOptions.stopping().getAsBoolean();
        }

        private void complete(DefaultFullHttpResponse response, boolean keep) {
            mDone = true;
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var written = mCallerContext.writeAndFlush(response);
            if (!keep) {
                written.addListener(done -> linger(mCallerContext));
            }
            release(keep);
        }

        private void release(boolean keep) {
            if (mResponse == this) {
                responseCompleted(mCallerContext, keep);
            }
        }
    }
}
