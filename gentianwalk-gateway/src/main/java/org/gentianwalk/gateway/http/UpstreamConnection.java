package org.gentianwalk.gateway.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.response.ReceivedHead;
import org.gentianwalk.gateway.http.UpstreamListener.Failure;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.jspecify.annotations.Nullable;

/** One connection to an upstream, which carries one request at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamCall {
    /** Unsuccessful requests after which a connection is closed; bounds their record. */
    private static final int MAX_UNSUCCESSFUL = 64;

    /**
     * Responses to other requests, and interim ones, that are skipped before the awaited response.
     * An upstream that sends more does not respond to the request.
     */
    private static final int MAX_SKIPPED = 16;

    /** Bytes of responses to other requests that are skipped before the awaited response. */
    private static final int MAX_SKIPPED_BYTES = 1 << 20;

    private final UpstreamClient mClient;
    private final String mAddress;
    private BooleanSupplier mUnparsedBytes = () -> false;
    private @Nullable ChannelHandlerContext mContext;
    private @Nullable UpstreamListener mListener;
    private @Nullable UpstreamRequest mRequest;
    private @Nullable ChannelFuture mWritten;
    private @Nullable ResponseHead mHead;
    private @Nullable ReceivedHead mReceivedHead;
    private Phase mPhase = Phase.NONE;
    private boolean mReused;
    private boolean mReusable;
    private boolean mFramed;

    /**
     * Whether the upstream has ended its output in order. A failed write, the end of the event loop
     * and {@link #close} end the channel without an exception, so that the absence of an error does
     * not show it.
     */
    private boolean mInputEnded;

    /** Whether the body has ended with the connection while the request was being written. */
    private boolean mEndAwaited;

    /**
     * Whether writing the request has failed. What the socket has received is still read, as it may
     * hold the response that explains why the upstream reads no further.
     */
    private boolean mDraining;

    private boolean mRangeRequested;
    private boolean mBytesReceived;
    private int mSkipped;
    private int mSkippedBytes;
    private @Nullable Throwable mError;

    /**
     * Requests that had a response other than a success on this connection. A late copy of it could
     * not be distinguished from the response to another attempt of the same request.
     */
    private final Set<String> mUnsuccessful = new HashSet<>();

    private long mIdleSince;
    private Duration mKeepAlive = UpstreamClient.DEFAULT_KEEP_ALIVE;

    UpstreamConnection(UpstreamClient client, String address) {
        mClient = client;
        mAddress = address;
    }

    /** State of the connection, which decides how received bytes are handled. */
    private enum Phase {
        /** No request is in progress; any byte is unexpected. */
        NONE,
        /** The head of the response is awaited. */
        HEAD,
        /** The body of the response is being received. */
        BODY,
        /** The body of a response to an earlier request is being received and dropped. */
        STRAY_BODY
    }

    String address() {
        return mAddress;
    }

    /** Sets what returns whether bytes follow the parsed ones. */
    void unparsedBytes(BooleanSupplier unparsedBytes) {
        mUnparsedBytes = unparsedBytes;
    }

    /** Called when bytes have arrived, before the decoder parses them. */
    void bytesReceived() {
        mBytesReceived = true;
    }

    /** Called when the upstream has ended its output, before the decoder ends a body by that. */
    void inputEnded() {
        mInputEnded = true;
    }

    /** Returns whether no request is in progress, so that no byte is expected. */
    boolean isIdle() {
        return mPhase == Phase.NONE;
    }

    /** Returns whether the end of a body waits for the result of writing the request. */
    boolean isEndAwaited() {
        return mEndAwaited;
    }

    boolean isUsable(long nowNanos, UpstreamRequest request) {
        ChannelHandlerContext context = mContext;
        if (context == null
                || !context.channel().isActive()
                || mPhase != Phase.NONE
                || mUnsuccessful.contains(request.requestId())) {
            return false;
        }
        long idle = nowNanos - mIdleSince;
        Duration maxIdle = request.nonRepeatable() ? mClient.maxSafeIdle(mKeepAlive) : mKeepAlive;
        return idle < maxIdle.toNanos();
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - mIdleSince >= mKeepAlive.toNanos();
    }

    /** Sends the request on this connection, which must be active and idle. */
    void send(UpstreamRequest request, UpstreamListener listener, boolean reused) {
        ChannelHandlerContext context = mContext;
        if (context == null || !context.channel().isActive()) {
            listener.onFailure(Failure.NOT_SENT, "the connection is closed");
            return;
        }
        if (request.expired().getAsBoolean()) {
            // The instance may have been paused while the connection was established.
            close();
            listener.onFailure(Failure.EXPIRED, "the time limit has passed");
            return;
        }
        DefaultFullHttpRequest message;
        try {
            message = message(request);
        } catch (RuntimeException e) {
            // The exception would otherwise end a task of the event loop, and the request with it.
            close();
            listener.onFailure(Failure.NOT_SENT, String.valueOf(e));
            return;
        }
        mListener = listener;
        mRequest = request;
        mReused = reused;
        mReusable = true;
        mHead = null;
        mReceivedHead = null;
        mRangeRequested = message.headers().contains(HttpHeaderNames.RANGE);
        mEndAwaited = false;
        mDraining = false;
        mBytesReceived = false;
        mSkipped = 0;
        mSkippedBytes = 0;
        mPhase = Phase.HEAD;
        ChannelFuture written = context.writeAndFlush(message);
        mWritten = written;
        written.addListener(done -> requestWritten(written));
    }

    /** Called when the request was written, or could not be. */
    private void requestWritten(ChannelFuture written) {
        if (written != mWritten || mPhase == Phase.NONE) {
            return;
        }
        if (written.isSuccess()) {
            if (mEndAwaited) {
                complete();
            }
            return;
        }
        // The socket reports its error once. After the write has got it, reading sees an end in
        // order, which is not that of the body.
        boolean unframed = mPhase == Phase.BODY && !mFramed;
        ChannelHandlerContext context = mContext;
        if (unframed
                || context == null
                || !context.channel().config().isAutoRead()
                || !(written.cause() instanceof IOException)) {
            endConnection();
        } else {
            mDraining = true;
        }
    }

    private static DefaultFullHttpRequest message(UpstreamRequest request) {
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
        message.headers().set(request.headers().get());
        boolean bare = request.method().equals(HttpMethod.GET) && request.body().length == 0;
        if (!bare) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    @Override
    public void cancel() {
        mListener = null;
        close();
    }

    @Override
    public void setReading(boolean reading) {
        ChannelHandlerContext context = mContext;
        // After a failed write, the size of the socket's buffer bounds what follows.
        if (context != null && (reading || !mDraining)) {
            context.channel().config().setAutoRead(reading);
        }
    }

    void close() {
        ChannelHandlerContext context = mContext;
        if (context != null) {
            context.close();
        }
    }

    boolean isHeadRequest() {
        return mRequest != null && mRequest.method().equals(HttpMethod.HEAD);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endConnection();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        // Nothing more can arrive. The connection would otherwise stay open for the other
        // direction.
        if (event == ChannelInputShutdownEvent.INSTANCE && !mEndAwaited) {
            endConnection();
        }
    }

    private void endConnection() {
        mClient.removeIdle(this);
        if (mPhase == Phase.NONE) {
            close();
            return;
        }
        fail(mReused && !mBytesReceived ? Failure.STALE : Failure.BROKEN, endCause());
    }

    private String endCause() {
        if (mError != null) {
            return String.valueOf(mError);
        }
        ChannelFuture written = mWritten;
        Throwable writeError = written == null ? null : written.cause();
        if (writeError != null) {
            return "the request was not written: " + writeError;
        }
        return mInputEnded ? "closed by the upstream" : "closed by this instance";
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mError = cause;
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mError != null) {
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpResponse response) {
        UpstreamRequest request = mRequest;
        if (mPhase != Phase.HEAD || request == null) {
            // An unexpected second response to an earlier request makes the connection unusable.
            close();
            return;
        }
        if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
            // The head is cut; endConnection follows and reports the end of the connection.
            return;
        }
        if (response.decoderResult().isFailure() || !isCodingSupported(response)) {
            fail(Failure.GARBLED, "the response is not valid HTTP/1.1");
            return;
        }
        ReceivedHead received =
                new ReceivedHead(
                        response.status().code(),
                        isHeadRequest() ? -1 : HttpUtil.getContentLength(response, -1L),
                        HttpUtil.isTransferEncodingChunked(response),
                        mRangeRequested);
        String fault = received.fault();
        if (fault != null) {
            fail(Failure.GARBLED, fault);
            return;
        }
        ResponseHead head = mClient.dialect().parseResponseHead(response);
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            countSkipped();
            return;
        }
        if (head.requestId() != null && !head.requestId().equals(request.requestId())) {
            mPhase = Phase.STRAY_BODY;
            mReusable = false;
            if (!isFramed(response)) {
                fail(Failure.GARBLED, "the response belongs to another request");
                return;
            }
            countSkipped();
            return;
        }
        if (head.requestId() == null && !request.requestId().isEmpty()) {
            // Upstreams echo the identifier, so this may be the response to any other request.
            fail(Failure.GARBLED, "the response does not state its request");
            return;
        }
        mPhase = Phase.BODY;
        mHead = head;
        mFramed = isFramed(response);
        mReceivedHead = received;
        mReusable &= HttpUtil.isKeepAlive(response) && mFramed && !received.hasDoubtfulEnd();
        if (head.keepAlive() != null) {
            mKeepAlive = mClient.usableKeepAlive(head.keepAlive());
        }
        UpstreamListener listener = mListener;
        if (listener != null) {
            listener.onHead(head, HopHeaders.endToEnd(response.headers()));
        }
    }

    private void countSkipped() {
        mSkipped++;
        if (mSkipped > MAX_SKIPPED) {
            fail(Failure.GARBLED, "too many responses to other requests");
        }
    }

    /**
     * Returns whether the body is not coded or in chunks only. Requests accept no other coding (RFC
     * 9110, 10.1.4), and the header that names one is not forwarded.
     */
    private static boolean isCodingSupported(HttpResponse response) {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                codings.getFirst().trim());
    }

    /** Returns whether the end of the response follows from its head or its chunks. */
    private boolean isFramed(HttpResponse response) {
        return isHeadRequest()
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    private void readContent(HttpContent content) {
        if (mPhase == Phase.STRAY_BODY) {
            skip(content);
            return;
        }
        if (mPhase != Phase.BODY) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail(Failure.GARBLED, "the body of the response is not valid HTTP/1.1");
            return;
        }
        ReceivedHead head = mReceivedHead;
        if (content.content().isReadable() && head != null && head.forbidsBody()) {
            fail(Failure.GARBLED, "status " + head.status() + " with a body, which it can't have");
            return;
        }
        UpstreamListener listener = mListener;
        if (listener != null && content.content().isReadable()) {
            listener.onBody(ByteBufUtil.getBytes(content.content()));
        }
        if (content instanceof LastHttpContent) {
            endBody();
        }
    }

    /**
     * Ends the body. Without framing, the decoder also ends it when the channel is closed for
     * another reason; and an upstream that has not read the whole request may have been cut off.
     */
    private void endBody() {
        ChannelFuture written = mWritten;
        if (mFramed) {
            complete();
        } else if (mInputEnded && written != null && written.isSuccess()) {
            complete();
        } else if (mInputEnded && written != null && !written.isDone()) {
            mEndAwaited = true;
        }
    }

    /** Drops a part of the response to another request. */
    private void skip(HttpContent content) {
        mSkippedBytes += content.content().readableBytes();
        if (mSkippedBytes > MAX_SKIPPED_BYTES) {
            fail(Failure.GARBLED, "the response to another request is too long");
        } else if (content instanceof LastHttpContent) {
            mPhase = Phase.HEAD;
        }
    }

    private void complete() {
        UpstreamListener listener = mListener;
        ChannelFuture written = mWritten;
        recordUnsuccessful();
        mListener = null;
        mRequest = null;
        mPhase = Phase.NONE;
        // An upstream that responds before it has received the whole body would parse the next
        // request as the rest of that body.
        boolean sent = written != null && written.isSuccess();
        // Bytes after the response would be parsed as the begin of the next one.
        if (mReusable && sent && !mUnparsedBytes.getAsBoolean()) {
            // A slow caller may have paused reading, which must not affect the next request.
            setReading(true);
            mIdleSince = mClient.now();
            mClient.addIdle(this);
        } else {
            close();
        }
        if (listener != null) {
            listener.onComplete();
        }
    }

    private void recordUnsuccessful() {
        ResponseHead head = mHead;
        UpstreamRequest request = mRequest;
        if (head != null && request != null && !head.isSuccess()) {
            mUnsuccessful.add(request.requestId());
            mReusable &= mUnsuccessful.size() < MAX_UNSUCCESSFUL;
        }
    }

    private void fail(Failure failure, String cause) {
        UpstreamListener listener = mListener;
        mListener = null;
        mRequest = null;
        mPhase = Phase.NONE;
        close();
        if (listener != null) {
            listener.onFailure(failure, cause);
        }
    }
}
