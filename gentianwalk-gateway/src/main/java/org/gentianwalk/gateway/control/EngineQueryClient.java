package org.gentianwalk.gateway.control;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.http.UpstreamRequest;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.gentianwalk.gateway.wire.WireDialect;

/** Queries engines for the prompt parts in their KV caches. */
public final class PromptCacheClient {
    /** Timeout of a query; a later response would be of no use to the waiting request. */
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    private final UpstreamSender mSender;
    private final WireDialect mDialect;
    private final ScheduledExecutorService mTraffic;

    /**
     * Creates a client.
     *
     * @param sender sends the queries
     * @param dialect supplies the path and parses the response
     * @param traffic the traffic loop
     */
    public PromptCacheClient(
            UpstreamSender sender, WireDialect dialect, ScheduledExecutorService traffic) {
        mSender = sender;
        mDialect = dialect;
        mTraffic = traffic;
    }

    /**
     * Queries an engine for its cached prompt parts.
     *
     * @param address IP number and port of the engine
     * @param callback receives the identifiers of the parts, on the traffic loop; an empty list
     *     when the query fails or times out
     */
    void fetchParts(String address, Consumer<List<Long>> callback) {
        mTraffic.execute(
                () -> {
                    Pending pending = new Pending(callback);
                    UpstreamRequest request =
                            new UpstreamRequest(
                                    HttpMethod.GET,
                                    mDialect.promptCachePath(),
                                    () -> headers(address),
                                    new byte[0],
                                    "",
                                    false);
                    UpstreamCall call = mSender.send(address, request, pending);
                    mTraffic.schedule(
                            () -> pending.expire(call), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
                });
    }

    private static HttpHeaders headers(String address) {
        return new DefaultHttpHeaders().set(HttpHeaderNames.HOST, address);
    }

    /** A query without a result yet. */
    private final class Pending implements UpstreamListener {
        private final Consumer<List<Long>> mCallback;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private boolean mSuccess;
        private boolean mDone;

        Pending(Consumer<List<Long>> callback) {
            mCallback = callback;
        }

        void expire(UpstreamCall call) {
            if (!mDone) {
                call.cancel();
                complete(List.of());
            }
        }

        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {
            mSuccess = head.isSuccess();
        }

        @Override
        public void onBody(byte[] part) {
            mBody.writeBytes(part);
        }

        @Override
        public void onComplete() {
            complete(mSuccess ? mDialect.parsePromptCache(mBody.toByteArray()) : List.of());
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            complete(List.of());
        }

        private void complete(List<Long> parts) {
            if (!mDone) {
                mDone = true;
                mCallback.accept(parts);
            }
        }
    }
}
