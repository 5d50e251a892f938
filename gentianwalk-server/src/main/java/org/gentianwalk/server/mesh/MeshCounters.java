package org.gentianwalk.server.mesh;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.gentianwalk.proto.MessageType;

/**
 * Counts frames and bytes by message type and direction, and dropped frames by reason.
 *
 * <p>Names in the registry: {@code mesh.sent.frames.<TYPE>}, {@code mesh.sent.bytes.<TYPE>}, the
 * same with {@code received}, and {@code mesh.dropped.<reason>}.
 */
public final class MeshCounters {
    /** Why a frame was dropped. */
    public enum DropReason {
        MALFORMED,
        OVERSIZED,
        UNAUTHENTICATED,
        REPLAYED,
        /** This instance has no handler for the message type. */
        UNHANDLED,
        /** The peer does not read from the connection, or is unreachable. */
        NOT_SENT
    }

    private final Map<MessageType, Pair> mSent = new EnumMap<>(MessageType.class);
    private final Map<MessageType, Pair> mReceived = new EnumMap<>(MessageType.class);
    private final Map<DropReason, Counter> mDropped = new EnumMap<>(DropReason.class);

    /**
     * Registers the counters.
     *
     * @param registry the registry that publishes them
     */
    public MeshCounters(MetricRegistry registry) {
        for (MessageType type : MessageType.values()) {
            mSent.put(type, new Pair(registry, "mesh.sent", type));
            mReceived.put(type, new Pair(registry, "mesh.received", type));
        }
        for (DropReason reason : DropReason.values()) {
            mDropped.put(reason, registry.counter("mesh.dropped." + reason));
        }
    }

    /**
     * Returns how many frames were dropped.
     *
     * @param reason the reason
     * @return frames since the start
     */
    public long dropped(DropReason reason) {
        return counter(reason).getCount();
    }

    /**
     * Returns how many frames of a type were sent.
     *
     * @param type the type
     * @return frames since the start
     */
    public long framesSent(MessageType type) {
        return pair(mSent, type).mFrames.getCount();
    }

    /**
     * Returns how many bytes of a type were sent.
     *
     * @param type the type
     * @return bytes since the start, length prefixes included
     */
    public long bytesSent(MessageType type) {
        return pair(mSent, type).mBytes.getCount();
    }

    /**
     * Returns how many frames of a type were received and accepted.
     *
     * @param type the type
     * @return frames since the start
     */
    public long framesReceived(MessageType type) {
        return pair(mReceived, type).mFrames.getCount();
    }

    void countSent(MessageType type, int bytes) {
        pair(mSent, type).add(bytes);
    }

    void countReceived(MessageType type, int bytes) {
        pair(mReceived, type).add(bytes);
    }

    void countDropped(DropReason reason) {
        counter(reason).inc();
    }

    private Counter counter(DropReason reason) {
        Counter counter = mDropped.get(reason);
        if (counter == null) {
            throw new IllegalStateException("no counter for " + reason);
        }
        return counter;
    }

    private static Pair pair(Map<MessageType, Pair> pairs, MessageType type) {
        Pair pair = pairs.get(type);
        if (pair == null) {
            throw new IllegalStateException("no counter for " + type);
        }
        return pair;
    }

    private static final class Pair {
        final Counter mFrames;
        final Counter mBytes;

        Pair(MetricRegistry registry, String prefix, MessageType type) {
            mFrames = registry.counter(prefix + ".frames." + type);
            mBytes = registry.counter(prefix + ".bytes." + type);
        }

        void add(int bytes) {
            mFrames.inc();
            mBytes.inc(bytes);
        }
    }
}
