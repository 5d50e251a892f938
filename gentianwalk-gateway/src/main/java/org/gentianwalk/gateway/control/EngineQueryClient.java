package org.gentianwalk.gateway.control;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.http.UpstreamListener.Failure;
import org.gentianwalk.gateway.http.UpstreamRequest;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.gentianwalk.gateway.wire.WireDialect;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Queries engines for their cached prompt parts and checks whether upstreams respond. */
public final class EngineQueryClient {
    private static final Logger LOG = Logger.getLogger(EngineQueryClient.class);

    /** Timeout of a cache query; a later response would be of no use to the waiting request. */
    private static final Duration CACHE_TIMEOUT = Duration.ofMillis(200);

    /** Size at which a response is abandoned, bytes; a list of 16,384 parts is smaller. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /**
     * Timeouts that may be repeated in a row because their timers ran late. It bounds the time that
     * a check of a lost upstream takes on a machine that is always slow.
     */
    private static final int MAX_REPEATED_TIMEOUTS = 3;

    private final UpstreamSender mSender;
    private final WireDialect mDialect;
    private final ScheduledExecutorService mTraffic;
    private final Ticker mTicker;

    /**
     * Creates a client.
     *
     * @param sender sends the queries
     * @param dialect supplies paths and headers and parses the responses
     * @param traffic the traffic loop
     * @param ticker clock of the timeouts
     */
    public EngineQueryClient(
            UpstreamSender sender,
            WireDialect dialect,
            ScheduledExecutorService traffic,
            Ticker ticker) {
        mSender = sender;
        mDialect = dialect;
        mTraffic = traffic;
        mTicker = ticker;
    }

    /**
     * Queries an engine for its cached prompt parts.
     *
     * @param engine the engine
     * @param callback receives whether the engine's process is about to end, and the identifiers of
     *     the parts, on the traffic loop; an empty list when the query fails or times out
     */
    void fetchParts(Upstream engine, BiConsumer<Boolean, List<Long>> callback) {
        BiConsumer<@Nullable Response, @Nullable Failure> parser =
                (response, failure) ->
                        callback.accept(
                                response != null && isLeaving(engine, response.head()),
                                response != null && response.head().isSuccess()
                                        ? mDialect.parsePromptCache(response.body())
                                        : List.of());
        query(engine, mDialect.promptCachePath(), CACHE_TIMEOUT, parser);
    }

    /**
     * Checks whether the process of an upstream responds.
     *
     * @param check the check
     * @param callback receives the result on the traffic loop, and which start of the upstream has
     *     responded, or null when the response does not come from it or does not state it
     */
    void checkLiveness(LivenessCheck check, BiConsumer<Liveness, @Nullable Long> callback) {
        Upstream upstream = check.engine();
        query(
                upstream,
                mDialect.livenessPath(),
                check.timeout(),
                (response, failure) ->
                        callback.accept(
                                liveness(upstream, response, failure),
                                response == null || !isFrom(upstream, response.head())
                                        ? null
                                        : mDialect.parseIncarnation(response.body())));
    }

    private Liveness liveness(
            Upstream upstream, @Nullable Response response, @Nullable Failure failure) {
        if (response == null) {
            return failure == Failure.REFUSED ? Liveness.ENDED : Liveness.SILENT;
        }
        Long incarnation = mDialect.parseIncarnation(response.body());
        if (!isFrom(upstream, response.head())
                || incarnation != null && incarnation != upstream.incarnation()) {
            return Liveness.ENDED;
        }
        return response.head().leaving() ? Liveness.LEAVING : Liveness.RESPONDED;
    }

    /** Returns whether a response comes from a process, not from another one at its address. */
    private static boolean isFrom(Upstream engine, ResponseHead head) {
        String id = head.upstreamId();
        return !head.misdirected() && (id == null || id.equals(engine.id()));
    }

    private static boolean isLeaving(Upstream engine, ResponseHead head) {
        return head.leaving() && isFrom(engine, head);
    }

    private void query(
            Upstream engine,
            String path,
            Duration timeout,
            BiConsumer<@Nullable Response, @Nullable Failure> callback) {
        mTraffic.execute(() -> new Query(engine, path, callback).start(timeout));
    }

    /**
     * A complete response.
     *
     * @param head its parsed head
     * @param body its body
     */
    private record Response(ResponseHead head, byte[] body) {}

    /** A query without a result yet. Confined to the traffic loop. */
    private final class Query implements UpstreamListener {
        private final Upstream mEngine;
        private final String mPath;
        private final BiConsumer<@Nullable Response, @Nullable Failure> mCallback;
        private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private @Nullable UpstreamCall mCall;
        private @Nullable ResponseHead mHead;
        private @Nullable ScheduledFuture<?> mTimer;
        private long mExpiresAt;
        private int mRepeated;
        private boolean mResent;
        private boolean mDone;

        Query(
                Upstream engine,
                String path,
                BiConsumer<@Nullable Response, @Nullable Failure> callback) {
            mEngine = engine;
            mPath = path;
            mCallback = callback;
        }

        void start(Duration timeout) {
            try {
                send();
            } catch (RuntimeException e) {
                // Without a result the schedulers would go on to wait for it.
                LOG.errorf(e, "a query of upstream %s failed", mEngine.id());
                complete(null, null);
            }
            if (!mDone) {
                startTimer(timeout);
            }
        }

        private void startTimer(Duration timeout) {
            mExpiresAt = mTicker.nanos() + timeout.toNanos();
            mTimer =
                    mTraffic.schedule(
                            () -> timeOut(timeout), timeout.toMillis(), TimeUnit.MILLISECONDS);
        }

        /**
         * Ends the query. A timer that runs late shows that the instance was paused: the response
         * may not have been read yet, so that it counts as missing only after another timeout.
         */
        private void timeOut(Duration timeout) {
            long late = mTicker.nanos() - mExpiresAt;
            if (!mDone && late > timeout.toNanos() / 2 && mRepeated < MAX_REPEATED_TIMEOUTS) {
                mRepeated++;
                startTimer(timeout);
                return;
            }
            expire();
        }

        private void send() {
            UpstreamRequest request =
                    new UpstreamRequest(
                            HttpMethod.GET, mPath, this::headers, new byte[0], "", false);
            mCall = mSender.send(mEngine.address(), request, this);
        }

        private HttpHeaders headers() {
            HttpHeaders headers =
                    new DefaultHttpHeaders().set(HttpHeaderNames.HOST, mEngine.address());
            mDialect.setExpectedUpstream(headers, mEngine.id());
            return headers;
        }

        private void expire() {
            UpstreamCall call = mCall;
            if (!mDone && call != null) {
                call.cancel();
            }
            complete(null, null);
        }

        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {
            mHead = head;
        }

        @Override
        public void onBody(byte[] part) {
            if (mDone) {
                return;
            }
            if (mBody.size() + part.length > MAX_BODY_BYTES) {
                expire();
                return;
            }
            mBody.writeBytes(part);
        }

        @Override
        public void onComplete() {
            ResponseHead head = mHead;
            complete(head == null ? null : new Response(head, mBody.toByteArray()), null);
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            if (failure == Failure.STALE && !mResent && !mDone) {
                // The engine may close an idle connection at any time.
                mResent = true;
                send();
                return;
            }
            complete(null, failure);
        }

        private void complete(@Nullable Response response, @Nullable Failure failure) {
            if (mDone) {
                return;
            }
            mDone = true;
            // The timer holds the query, and with it the response, until the timeout.
            mBody = new ByteArrayOutputStream(0);
            ScheduledFuture<?> timer = mTimer;
            if (timer != null) {
                timer.cancel(false);
            }
            mCallback.accept(response, failure);
        }
    }
}
