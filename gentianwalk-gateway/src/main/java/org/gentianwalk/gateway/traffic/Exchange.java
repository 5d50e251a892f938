package org.gentianwalk.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.http.CallerChannel;
import org.gentianwalk.gateway.http.CallerRequest;
import org.gentianwalk.gateway.http.RequestHandler;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.http.UpstreamRequest;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.wire.AnswerHead;
import org.gentianwalk.gateway.wire.UpstreamHead;
import org.gentianwalk.gateway.wire.WireDialect;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its consecutive attempts at upstreams. Confined to the traffic loop.
 *
 * <p>The response to a call is buffered and forwarded when it is complete, so that a broken one can
 * be replaced by that of another attempt. Events of a stream are forwarded one by one; another
 * attempt continues after the last forwarded event.
 */
public final class Exchange implements RequestHandler.Watcher {
    /** Size up to which a response is buffered, bytes; a longer one is forwarded as it arrives. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final Work mWork;
    private final CallerRequest mRequest;
    private final CallerChannel mChannel;
    private final Collaborators mWith;
    private @Nullable Attempt mAttempt;
    private @Nullable HeldAnswer mHeld;
    private long mLastEvent;
    private boolean mBegun;
    private boolean mDone;
    private int mForwarded;
    private long mFirstAt;
    private long mForwardedAt;
    private long mLongestPause;

    /**
     * Creates an exchange without an attempt.
     *
     * @param work the request as the schedulers see it
     * @param request the request
     * @param channel writes the response to the caller
     * @param with the components that it uses
     */
    public Exchange(Work work, CallerRequest request, CallerChannel channel, Collaborators with) {
        mWork = work;
        mRequest = request;
        mChannel = channel;
        mWith = with;
        mLastEvent = request.head().lastEvent();
    }

    /**
     * Components of the instance that exchanges use.
     *
     * @param client sends requests to upstreams
     * @param dialect translates headers between callers and upstreams
     * @param control receives the events of each request
     * @param ticker clock
     */
    public record Collaborators(
            UpstreamSender client, WireDialect dialect, ControlPort control, Ticker ticker) {}

    /**
     * Starts an attempt; a running attempt is cancelled.
     *
     * @param start the decision
     */
    public void start(Decision.Start start) {
        if (mDone) {
            return;
        }
        cancelAttempt();
        mHeld = null;
        Attempt attempt = new Attempt(start);
        mAttempt = attempt;
        attempt.send();
    }

    /**
     * Ends the request: writes the final response, or aborts a response that has begun.
     *
     * @param finish the decision
     */
    public void finish(Decision.Finish finish) {
        if (mDone) {
            return;
        }
        mDone = true;
        cancelAttempt();
        if (mBegun) {
            mChannel.abort();
            return;
        }
        HeldAnswer held = mHeld;
        switch (finish.ending()) {
            case REFUSED ->
                    mChannel.answer(SERVICE_UNAVAILABLE, finish.reason(), finish.retryAfter());
            case UNKNOWN -> mChannel.answer(BAD_GATEWAY, finish.reason(), null);
            case TIMED_OUT -> mChannel.answer(GATEWAY_TIMEOUT, finish.reason(), null);
            default -> {
                if (held == null) {
                    mChannel.answer(BAD_GATEWAY, finish.reason(), null);
                } else {
                    held.deliver(mChannel);
                }
            }
        }
    }

    @Override
    public void callerGone() {
        if (mDone) {
            return;
        }
        mDone = true;
        cancelAttempt();
        mWith.control().requestWithdrawn(mWork.id());
    }

    @Override
    public void writabilityChanged() {
        Attempt attempt = mAttempt;
        if (attempt != null && attempt.mCall != null) {
            attempt.mCall.reading(mChannel.isWritable());
        }
    }

    private void cancelAttempt() {
        Attempt attempt = mAttempt;
        mAttempt = null;
        if (attempt != null && attempt.mCall != null) {
            attempt.mCall.cancel();
        }
    }

    private void ended(Attempt attempt, AttemptEnd end, String cause) {
        if (mAttempt != attempt) {
            return;
        }
        mAttempt = null;
        mWith.control()
                .attemptEnded(mWork.id(), attempt.mStart.attempt(), end, cause, attempt.load());
    }

    private void delivered(Attempt attempt) {
        if (mAttempt != attempt) {
            return;
        }
        mAttempt = null;
        mDone = true;
        long first = mForwarded == 0 ? mWith.ticker().nanos() : mFirstAt;
        Delivery delivery =
                new Delivery(
                        (first - mWork.arrivedNanos()) / NANOS_PER_MILLI,
                        mLongestPause / NANOS_PER_MILLI,
                        mForwarded);
        mWith.control()
                .responseDelivered(mWork.id(), attempt.mStart.attempt(), delivery, attempt.load());
    }

    private void forwarded() {
        long now = mWith.ticker().nanos();
        if (mForwarded == 0) {
            mFirstAt = now;
        } else {
            mLongestPause = Math.max(mLongestPause, now - mForwardedAt);
        }
        mForwardedAt = now;
        mForwarded++;
    }

    /**
     * A complete response of an upstream.
     *
     * @param head its parsed head
     * @param headers its end-to-end headers
     * @param body its body
     */
    private record HeldAnswer(AnswerHead head, HttpHeaders headers, byte[] body) {
        void deliver(CallerChannel channel) {
            channel.answer(head.status(), headers, body);
        }
    }

    /** One attempt at an upstream. */
    private final class Attempt implements UpstreamListener {
        private final Decision.Start mStart;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final EventSplitter mEvents = new EventSplitter();
        private @Nullable UpstreamCall mCall;
        private @Nullable AnswerHead mHead;
        private @Nullable HttpHeaders mHeaders;
        private boolean mStreaming;
        private boolean mResent;
        private long mLastOutput;

        Attempt(Decision.Start start) {
            mStart = start;
        }

        void send() {
            UpstreamRequest request =
                    new UpstreamRequest(
                            mRequest.method(),
                            mRequest.target(),
                            this::upstreamHeaders,
                            mRequest.body(),
                            mWork.requestId(),
                            !mWork.kind().isRepeatable());
            UpstreamCall call = mWith.client().send(mStart.upstream().address(), request, this);
            if (mAttempt == this) {
                mCall = call;
            }
        }

        private @Nullable UpstreamLoad load() {
            AnswerHead head = mHead;
            return head == null ? null : head.load();
        }

        private HttpHeaders upstreamHeaders() {
            HttpHeaders headers = mRequest.headers().copy();
            Duration left = Duration.ofNanos(mWork.deadlineNanos() - mWith.ticker().nanos());
            String team = mWork.team();
            Decision.Start start = mStart;
            mWith.dialect()
                    .toUpstream(
                            headers,
                            new UpstreamHead(
                                    left.isNegative() ? Duration.ZERO : left,
                                    start.upstream().id(),
                                    team.isEmpty() ? null : team,
                                    start.urgency(),
                                    mLastEvent,
                                    address(start.copyKeeper()),
                                    start.copy(),
                                    address(start.fetchFrom())));
            return headers;
        }

        private static @Nullable String address(@Nullable Upstream upstream) {
            return upstream == null ? null : upstream.address();
        }

        @Override
        public void head(AnswerHead head, HttpHeaders headers) {
            mHead = head;
            mHeaders = headers;
            mWith.dialect().toCaller(headers);
            mStreaming =
                    mWork.kind().isStream()
                            && head.isSuccess()
                            && head.signed()
                            && head.eventStream();
        }

        @Override
        public void body(byte[] part) {
            if (mAttempt != this) {
                return;
            }
            if (mStreaming) {
                for (StreamEvent event : mEvents.add(part)) {
                    if (mAttempt != this) {
                        return;
                    }
                    forward(event);
                }
                return;
            }
            mBody.writeBytes(part);
            if (mBody.size() > MAX_HELD_BYTES) {
                passOn();
            }
        }

        @Override
        public void complete() {
            AnswerHead head = mHead;
            HttpHeaders headers = mHeaders;
            if (mAttempt != this || head == null || headers == null) {
                return;
            }
            if (head.misdirected()) {
                ended(this, AttemptEnd.MISDIRECTED, "another upstream process has the address");
            } else if (head.notRun()) {
                ended(this, AttemptEnd.REJECTED, "status " + head.status() + ", not run");
            } else if (mStreaming) {
                completeStream();
            } else if (head.isSuccess() && !head.signed()) {
                ended(this, AttemptEnd.LOST, "success without a signature");
            } else if (mBegun) {
                mChannel.write(mBody.toByteArray());
                mChannel.end();
                delivered(this);
            } else if (head.isSuccess()) {
                new HeldAnswer(head, headers, mBody.toByteArray()).deliver(mChannel);
                delivered(this);
            } else {
                mHeld = new HeldAnswer(head, headers, mBody.toByteArray());
                ended(this, AttemptEnd.ANSWERED_ERROR, "status " + head.status());
            }
        }

        @Override
        public void failed(Failure failure, String cause) {
            if (mAttempt != this) {
                return;
            }
            if (failure == Failure.STALE && mWork.kind().isRepeatable() && !mResent) {
                mResent = true;
                send();
                return;
            }
            AttemptEnd end =
                    switch (failure) {
                        case NOT_SENT -> AttemptEnd.UNREACHABLE;
                        case REFUSED -> AttemptEnd.NOT_LISTENING;
                        case BROKEN, STALE -> AttemptEnd.RESET;
                        case GARBLED -> AttemptEnd.LOST;
                    };
            ended(this, end, failure + ": " + cause);
        }

        /** Forwards the buffered part of a response that is too long to be buffered as a whole. */
        private void passOn() {
            AnswerHead head = mHead;
            HttpHeaders headers = mHeaders;
            if (head == null || headers == null || head.isSuccess() && !head.signed()) {
                return;
            }
            if (!mBegun) {
                mBegun = true;
                mChannel.begin(head.status(), headers);
            }
            mChannel.write(mBody.toByteArray());
            mBody.reset();
            pauseWhenFull();
        }

        private void forward(StreamEvent event) {
            long number = event.number();
            if (number != StreamEvent.UNNUMBERED) {
                if (number <= mLastEvent) {
                    return;
                }
                if (number > mLastEvent + 1) {
                    UpstreamCall call = mCall;
                    if (call != null) {
                        call.cancel();
                    }
                    ended(
                            this,
                            AttemptEnd.LOST,
                            "event " + number + " follows event " + mLastEvent);
                    return;
                }
                mLastEvent = number;
            }
            begin();
            mChannel.write(event.bytes());
            forwarded();
            pauseWhenFull();
            measure();
        }

        private void measure() {
            long now = mWith.ticker().nanos();
            boolean first = mLastOutput == 0;
            Progress progress = new Progress(1, now, first ? 0 : now - mLastOutput);
            mLastOutput = now;
            mWith.control().progress(mWork.id(), mStart.attempt(), progress, first);
        }

        private void begin() {
            AnswerHead head = mHead;
            HttpHeaders headers = mHeaders;
            if (!mBegun && head != null && headers != null) {
                mBegun = true;
                mChannel.begin(head.status(), headers);
            }
        }

        private void completeStream() {
            byte[] rest = mEvents.rest();
            begin();
            if (rest.length > 0) {
                mChannel.write(rest);
            }
            mChannel.end();
            delivered(this);
        }

        private void pauseWhenFull() {
            UpstreamCall call = mCall;
            if (call != null && !mChannel.isWritable()) {
                call.reading(false);
            }
        }
    }
}
