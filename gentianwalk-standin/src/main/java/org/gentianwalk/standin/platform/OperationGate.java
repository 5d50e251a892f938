package org.gentianwalk.standin.platform;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Applies rate limits and faults to one operation that arrived over HTTP. */
final class OperationGate {
    private static final int STATUS_TOO_MANY = 429;
    private static final TimeUnit NANOS = TimeUnit.NANOSECONDS;

    private final FaultHook mFaults;
    private final RateLimit mReadRate;
    private final RateLimit mWriteRate;
    private final ScheduledExecutorService mTimer;
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mWrites = new AtomicLong();

    /** The effect of an operation and its answer. */
    @FunctionalInterface
    interface Effect {
        Reply apply() throws IOException;
    }

    OperationGate(
            FaultHook faults,
            RateLimit readRate,
            RateLimit writeRate,
            ScheduledExecutorService timer) {
        mFaults = faults;
        mReadRate = readRate;
        mWriteRate = writeRate;
        mTimer = timer;
    }

    long reads() {
        return mReads.get();
    }

    long writes() {
        return mWrites.get();
    }

    /** Runs the effect and answers, as far as the fault of this operation allows. */
    void run(HttpExchange exchange, Operation operation, String key, Effect effect)
            throws IOException {
        switch (mFaults.next(operation, key)) {
            case Fault.None none -> limited(operation, effect).send(exchange);
            case Fault.Slow slow -> {
                if (sleep(slow.delay())) {
                    limited(operation, effect).send(exchange);
                }
            }
            case Fault.ResponseLost lost -> limited(operation, effect);
            case Fault.Late late -> {
                count(operation);
                mTimer.schedule(effect::apply, late.delay().toNanos(), NANOS);
            }
            case Fault.Down down -> count(operation);
            case Fault.Refused refused -> count(operation);
        }
        // Closing without an answer makes the client see a broken connection.
        exchange.close();
    }

    private Reply limited(Operation operation, Effect effect) throws IOException {
        RateLimit rate = count(operation);
        if (operation == Operation.WEIGHTS || operation == Operation.INSTANCES) {
            return effect.apply();
        }
        Duration wait = rate.take();
        if (wait.isZero()) {
            return effect.apply();
        }
        return Reply.of(STATUS_TOO_MANY).withRetryAfter(wait);
    }

    private RateLimit count(Operation operation) {
        (operation.writes() ? mWrites : mReads).incrementAndGet();
        return operation.writes() ? mWriteRate : mReadRate;
    }

    private static boolean sleep(Duration delay) {
        try {
            Thread.sleep(delay);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
