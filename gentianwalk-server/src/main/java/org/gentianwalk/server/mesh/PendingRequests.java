package org.gentianwalk.server.mesh;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Tracks the requests that wait for a reply, and fails them on timeout or disconnection. */
final class PendingRequests {
    private final Map<Long, Pending> mPending = new ConcurrentHashMap<>();
    private final AtomicLong mNext = new AtomicLong();
    private final ScheduledExecutorService mTimer;

    PendingRequests(ScheduledExecutorService timer) {
        mTimer = timer;
    }

    long add(MeshConnection connection, CompletableFuture<ByteString> reply, Duration timeout) {
        long correlation = mNext.incrementAndGet();
        ScheduledFuture<?> timer =
                mTimer.schedule(
                        () -> fail(correlation, new MeshException("no reply within " + timeout)),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        mPending.put(correlation, new Pending(connection, reply, timer));
        return correlation;
    }

    void complete(MeshConnection connection, long correlation, ByteString payload) {
        Pending pending = mPending.get(correlation);
        if (pending == null || pending.connection() != connection) {
            return;
        }
        mPending.remove(correlation);
        pending.timer().cancel(false);
        pending.reply().complete(payload);
    }

    void fail(long correlation, MeshException cause) {
        Pending pending = mPending.remove(correlation);
        if (pending != null) {
            pending.timer().cancel(false);
            pending.reply().completeExceptionally(cause);
        }
    }

    void failAll(MeshConnection connection) {
        mPending.forEach(
                (correlation, pending) -> {
                    if (pending.connection() == connection) {
                        fail(correlation, new MeshException("the connection was closed"));
                    }
                });
    }

    /** A pending request; only a reply on the same connection completes it. */
    private record Pending(
            MeshConnection connection,
            CompletableFuture<ByteString> reply,
            ScheduledFuture<?> timer) {}
}
