package org.gentianwalk.server.mesh;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.gentianwalk.proto.Envelope;
import org.gentianwalk.proto.Hello;
import org.gentianwalk.proto.MessageType;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One TCP connection to a peer. Its state is confined to the event loop of the connection.
 *
 * <p>Both sides start with a hello that carries a challenge. A frame that is malformed, oversized,
 * not authenticated or out of sequence closes the connection, since no valid peer sends one.
 */
final class MeshConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = Logger.getLogger(MeshConnection.class);
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int CHALLENGE_BYTES = 16;

    /**
     * Upper bound of the envelope's overhead in bytes: authentication code, identifiers and
     * numbers.
     */
    private static final int ENVELOPE_BYTES = 512;

    /** Frames that may wait for the peer's hello. */
    private static final int MAX_QUEUED_FRAMES = 1_024;

    private final MeshNode mNode;
    private final EventLoop mLoop;
    private final AtomicLong mSubmittedBytes = new AtomicLong();
    private final byte[] mChallenge = new byte[CHALLENGE_BYTES];
    private final Queue<Frame> mQueued = new ArrayDeque<>();
    private long mQueuedBytes;
    private @Nullable ChannelHandlerContext mContext;
    private @Nullable FrameAuthenticator mOutbound;
    private @Nullable FrameAuthenticator mInbound;
    private @Nullable String mPeer;
    private long mSentSequence;
    private long mReceivedSequence;
    private volatile boolean mClosed;

    /**
     * Creates a connection; {@code peer} is the expected peer of an outgoing connection, or null
     * for an accepted one.
     */
    MeshConnection(MeshNode node, EventLoop loop, @Nullable String peer) {
        mNode = node;
        mLoop = loop;
        mPeer = peer;
        RANDOM.nextBytes(mChallenge);
    }

    /** A message to send; {@code onFailure} is called when it was definitely not sent. */
    record Frame(
            MessageType type,
            ByteString payload,
            long correlation,
            boolean reply,
            Consumer<MeshException> onFailure) {}

    boolean isClosed() {
        return mClosed;
    }

    /** Returns whether the hello of the peer was valid. */
    boolean isAuthenticated() {
        return mInbound != null;
    }

    /** Queues a message for the event loop; fails immediately when too many bytes are queued. */
    void submit(Frame frame) {
        int size = frame.payload().size();
        if (mSubmittedBytes.addAndGet(size) > mNode.options().sendBufferBytes()) {
            mSubmittedBytes.addAndGet(-size);
            fail(frame, "too many messages are queued for sending");
            return;
        }
        mLoop.execute(
                () -> {
                    mSubmittedBytes.addAndGet(-size);
                    send(frame);
                });
    }

    private void send(Frame frame) {
        ChannelHandlerContext context = mContext;
        if (mClosed) {
            fail(frame, "the connection is closed");
        } else if (frame.payload().size() + ENVELOPE_BYTES > mNode.options().maxFrameBytes()) {
            fail(frame, "the message exceeds the maximum frame size");
        } else if (context == null || mOutbound == null) {
            mQueuedBytes += frame.payload().size();
            if (mQueued.size() >= MAX_QUEUED_FRAMES
                    || mQueuedBytes > mNode.options().sendBufferBytes()) {
                fail(frame, "too many messages are queued until the connection is established");
            } else {
                mQueued.add(frame);
            }
        } else if (!context.channel().isWritable()) {
            fail(frame, "the peer does not read from the connection");
        } else {
            write(context, mOutbound, frame);
        }
    }

    /** Fails all queued messages after a failed connection attempt. Called on the event loop. */
    void connectFailed(Throwable cause) {
        mClosed = true;
        failQueuedFrames(new MeshException("no connection to " + mPeer, cause));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        Envelope.Builder hello =
                mNode.newEnvelope()
                        .setType(MessageType.HELLO)
                        .setPayload(
                                Hello.newBuilder()
                                        .setChallenge(ByteString.copyFrom(mChallenge))
                                        .build()
                                        .toByteString());
        writeFrame(context, MessageType.HELLO, FrameAuthenticator.forHello(), hello);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed = true;
        failQueuedFrames(new MeshException("the connection to " + mPeer + " was closed"));
        mNode.onConnectionClosed(this, mPeer);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            mNode.counters().countDropped(MeshCounters.DropReason.OVERSIZED);
        } else if (!(cause instanceof IOException)) {
            LOG.warnf(cause, "closing the connection to %s after an unexpected failure", mPeer);
        }
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (mClosed) {
            return;
        }
        int size = frame.readableBytes() + Integer.BYTES;
        Envelope envelope;
        try {
            envelope = Envelope.parseFrom(frame.nioBuffer());
        } catch (InvalidProtocolBufferException e) {
            reject(context, MeshCounters.DropReason.MALFORMED);
            return;
        }
        FrameAuthenticator inbound = mInbound;
        if (inbound == null) {
            handleHello(context, frame, envelope);
            return;
        }
        boolean valid =
                envelope.getSender().equals(mPeer)
                        && inbound.isValid(frame.nioBuffer(), envelope, mNode.keys());
        if (!valid) {
            reject(context, MeshCounters.DropReason.UNAUTHENTICATED);
        } else if (envelope.getSequence() != mReceivedSequence + 1) {
            reject(context, MeshCounters.DropReason.REPLAYED);
        } else {
            mReceivedSequence++;
            mNode.counters().countReceived(envelope.getType(), size);
            mNode.onEnvelope(this, envelope);
        }
    }

    private void handleHello(ChannelHandlerContext context, ByteBuf frame, Envelope envelope) {
        boolean valid =
                envelope.getType() == MessageType.HELLO
                        && (mPeer == null || mPeer.equals(envelope.getSender()))
                        && !envelope.getSender().equals(mNode.id())
                        && FrameAuthenticator.forHello()
                                .isValid(frame.nioBuffer(), envelope, mNode.keys());
        if (!valid) {
            reject(context, MeshCounters.DropReason.UNAUTHENTICATED);
            return;
        }
        try {
            byte[] challenge = Hello.parseFrom(envelope.getPayload()).getChallenge().toByteArray();
            if (challenge.length < CHALLENGE_BYTES) {
                reject(context, MeshCounters.DropReason.MALFORMED);
                return;
            }
            mPeer = envelope.getSender();
            mOutbound = new FrameAuthenticator(challenge, mChallenge, envelope.getSender());
            mInbound = new FrameAuthenticator(mChallenge, challenge, mNode.id());
        } catch (InvalidProtocolBufferException e) {
            reject(context, MeshCounters.DropReason.MALFORMED);
            return;
        }
        for (Frame next = mQueued.poll(); next != null; next = mQueued.poll()) {
            send(next);
        }
    }

    private void reject(ChannelHandlerContext context, MeshCounters.DropReason reason) {
        mNode.counters().countDropped(reason);
        LOG.debugf("dropped a frame from %s and closed the connection: %s", mPeer, reason);
        mClosed = true;
        context.close();
    }

    private void write(ChannelHandlerContext context, FrameAuthenticator outbound, Frame frame) {
        Envelope.Builder envelope =
                mNode.newEnvelope()
                        .setType(frame.type())
                        .setPayload(frame.payload())
                        .setCorrelation(frame.correlation())
                        .setReply(frame.reply())
                        .setSequence(++mSentSequence);
        writeFrame(context, frame.type(), outbound, envelope);
    }

    private void writeFrame(
            ChannelHandlerContext context,
            MessageType type,
            FrameAuthenticator authenticator,
            Envelope.Builder envelope) {
        byte[] bytes = authenticator.sign(envelope, mNode.signingKey());
        mNode.counters().countSent(type, bytes.length + Integer.BYTES);
        context.writeAndFlush(
                Unpooled.wrappedBuffer(
                        Unpooled.copyInt(bytes.length), Unpooled.wrappedBuffer(bytes)));
    }

    private void fail(Frame frame, String reason) {
        mNode.counters().countDropped(MeshCounters.DropReason.NOT_SENT);
        frame.onFailure().accept(new MeshException("message to " + mPeer + " not sent: " + reason));
    }

    private void failQueuedFrames(MeshException cause) {
        for (Frame frame = mQueued.poll(); frame != null; frame = mQueued.poll()) {
            mNode.counters().countDropped(MeshCounters.DropReason.NOT_SENT);
            frame.onFailure().accept(cause);
        }
    }
}
