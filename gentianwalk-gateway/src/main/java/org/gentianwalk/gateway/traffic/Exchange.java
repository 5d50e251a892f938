package org.gentianwalk.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.http.CallerChannel;
import org.gentianwalk.gateway.http.CallerRequest;
import org.gentianwalk.gateway.http.RequestHandler;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.http.UpstreamRequest;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.gentianwalk.gateway.wire.UpstreamHead;
import org.gentianwalk.gateway.wire.WireDialect;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its consecutive attempts at upstreams. Confined to the traffic loop.
 *
 * <p>The response to a call is buffered and forwarded when it is complete, so that a broken one can
 * be replaced by that of another attempt. Events of a stream are forwarded one by one; another
 * attempt continues after the last forwarded event. Where attempts run beside each other, the first
 * one with output that can be forwarded ends the others.
 */
public final class Exchange implements RequestHandler.CallerListener {
    private static final Logger LOG = Logger.getLogger(Exchange.class);

    /** Size up to which a response is buffered, bytes; a longer one is forwarded as it arrives. */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Statuses with which callers may send any request again, since it has not run. */
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, SERVICE_UNAVAILABLE);

    private final Work mWork;
    private final CallerRequest mRequest;
    private final CallerChannel mChannel;
    private final Collaborators mCollaborators;
    private final Map<Integer, Attempt> mAttempts = new LinkedHashMap<>();
    private @Nullable BufferedResponse mErrorResponse;
    private long mLastEvent;
    private boolean mHeadSent;
    private boolean mDone;
    private boolean mMayHaveRun;

    /** Whether upstreams are not read, since the caller does not read. */
    private boolean mDeliveryPaused;

    private int mForwardedEvents;
    private long mFirstAt;
    private long mLastForwardedAt;
    private long mMaxPause;

    /**
     * Creates an exchange without an attempt.
     *
     * @param work the request as the schedulers see it
     * @param request the request
     * @param channel writes the response to the caller
     * @param collaborators the components that it uses
     */
    public Exchange(
            Work work, CallerRequest request, CallerChannel channel, Collaborators collaborators) {
        mWork = work;
        mRequest = request;
        mChannel = channel;
        mCollaborators = collaborators;
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
     * Starts an attempt; attempts in progress that it is not to run beside are cancelled. Nothing
     * happens after the deadline, which may have passed since the decision when the instance was
     * paused; the attempt is then reported as expired.
     *
     * @param start the decision
     */
    public void start(Decision.Start start) {
        if (mDone) {
            return;
        }
        if (hasExpired()) {
            mCollaborators
                    .control()
                    .attemptEnded(
                            mWork.id(),
                            start.attempt(),
                            AttemptEnd.EXPIRED,
                            "the deadline has passed",
                            null);
            return;
        }
        for (Attempt other : List.copyOf(mAttempts.values())) {
            if (!start.beside().contains(other.mStart.attempt())) {
                cancel(other);
            }
        }
        if (start.beside().isEmpty()) {
            mErrorResponse = null;
        }
        Attempt attempt = new Attempt(start);
        mAttempts.put(start.attempt(), attempt);
        try {
            attempt.send();
        } catch (RuntimeException e) {
            // Without an end the attempt would keep its slot, and the caller would get no answer.
            LOG.errorf(e, "an attempt of request %s failed", mWork.requestId());
            endAttempt(attempt, AttemptEnd.LOST, String.valueOf(e));
        }
    }

    /**
     * Cancels one of several attempts; one that is the only one in progress goes on.
     *
     * @param number number of the attempt
     */
    public void cancelAttempt(int number) {
        Attempt attempt = mAttempts.get(number);
        if (attempt != null && mAttempts.size() > 1) {
            attempt.cancelCall();
            endAttempt(attempt, AttemptEnd.SUPERSEDED, "another attempt goes on");
        }
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
        // The schedulers count an attempt as sent from the decision on.
        boolean unsent = finish.ending() == Decision.Ending.TIMED_OUT && !mayHaveRun();
        try {
            cancelAttempts();
        } finally {
            respond(finish, unsent ? Decision.Ending.REFUSED : finish.ending());
        }
    }

    private void respond(Decision.Finish finish, Decision.Ending ending) {
        if (mHeadSent) {
            mChannel.abort();
            return;
        }
        BufferedResponse errorResponse = mErrorResponse;
        switch (ending) {
            case REFUSED ->
                    mChannel.respond(SERVICE_UNAVAILABLE, finish.reason(), finish.retryAfter());
            case UNKNOWN -> mChannel.respond(BAD_GATEWAY, finish.reason(), null);
            case TIMED_OUT -> mChannel.respond(GATEWAY_TIMEOUT, finish.reason(), null);
            default -> {
                if (errorResponse == null || isUnprovenRefusal(errorResponse.head())) {
                    mChannel.respond(BAD_GATEWAY, finish.reason(), null);
                } else {
                    errorResponse.writeTo(mChannel);
                }
            }
        }
    }

    /**
     * Returns whether a response would promise the caller that a request has not run, which its
     * upstream has not stated. A repeated request could then run twice.
     */
    private boolean isUnprovenRefusal(ResponseHead head) {
        return !mWork.kind().isRepeatable() && !head.notRun() && REFUSALS.contains(head.status());
    }

    @Override
    public void callerDisconnected() {
        if (mDone) {
            return;
        }
        mDone = true;
        cancelAttempts();
        mCollaborators.control().requestWithdrawn(mWork.id());
    }

    @Override
    public void instanceEnds() {
        boolean answered = mErrorResponse != null;
        finish(
                new Decision.Finish(
                        mWork,
                        answered
                                ? Decision.Ending.UPSTREAM_ERROR
                                : mayHaveRun() ? Decision.Ending.UNKNOWN : Decision.Ending.REFUSED,
                        WorkScheduler.STOPPING_RETRY,
                        "the instance is stopping"));
    }

    @Override
    public void writabilityChanged() {
        boolean paused = !mChannel.isWritable();
        for (Attempt attempt : mAttempts.values()) {
            if (attempt.mCall != null) {
                attempt.mCall.setReading(!paused);
            }
        }
        if (paused != mDeliveryPaused) {
            mDeliveryPaused = paused;
            mCollaborators.control().deliveryPaused(mWork.id(), paused);
        }
    }

    private boolean hasExpired() {
        return mCollaborators.ticker().nanos() - mWork.deadlineNanos() >= 0;
    }

    private void cancelAttempts() {
        List.copyOf(mAttempts.values()).forEach(this::cancel);
    }

    private void cancel(Attempt attempt) {
        mAttempts.remove(attempt.mStart.attempt(), attempt);
        mMayHaveRun |= attempt.mWritten;
        attempt.cancelCall();
    }

    /** Returns whether an upstream may have received the request. */
    private boolean mayHaveRun() {
        return mMayHaveRun || mAttempts.values().stream().anyMatch(attempt -> attempt.mWritten);
    }

    private boolean isInProgress(Attempt attempt) {
        return mAttempts.get(attempt.mStart.attempt()) == attempt;
    }

    /** Ends all other attempts, since the output of one is forwarded. */
    private void supersedeOthers(Attempt attempt) {
        if (mAttempts.size() <= 1) {
            return;
        }
        for (Attempt other : List.copyOf(mAttempts.values())) {
            if (other != attempt) {
                other.cancelCall();
                endAttempt(other, AttemptEnd.SUPERSEDED, "another attempt was faster");
            }
        }
    }

    private void endAttempt(Attempt attempt, AttemptEnd end, String cause) {
        if (!mAttempts.remove(attempt.mStart.attempt(), attempt)) {
            return;
        }
        mMayHaveRun |= !end.isNotExecuted();
        mCollaborators
                .control()
                .attemptEnded(mWork.id(), attempt.mStart.attempt(), end, cause, attempt.load());
        if (attempt.mBegun) {
            // No other attempt can continue a body that is not a stream of events.
            mDone = true;
            mChannel.abort();
            mCollaborators.control().requestWithdrawn(mWork.id());
        }
    }

    private void completeDelivery(Attempt attempt) {
        if (!mAttempts.remove(attempt.mStart.attempt(), attempt)) {
            return;
        }
        mDone = true;
        long first = mForwardedEvents == 0 ? mCollaborators.ticker().nanos() : mFirstAt;
        Delivery delivery =
                new Delivery(
                        (first - mWork.arrivedNanos()) / NANOS_PER_MILLI,
                        mMaxPause / NANOS_PER_MILLI,
                        mForwardedEvents);
        mCollaborators
                .control()
                .responseDelivered(mWork.id(), attempt.mStart.attempt(), delivery, attempt.load());
    }

    private void recordForwarded() {
        long now = mCollaborators.ticker().nanos();
        if (mForwardedEvents == 0) {
            mFirstAt = now;
        } else {
            mMaxPause = Math.max(mMaxPause, now - mLastForwardedAt);
        }
        mLastForwardedAt = now;
        mForwardedEvents++;
    }

    /**
     * A complete response of an upstream.
     *
     * @param head its parsed head
     * @param headers its end-to-end headers
     * @param body its body
     */
    private record BufferedResponse(ResponseHead head, HttpHeaders headers, byte[] body) {
        void writeTo(CallerChannel channel) {
            channel.respond(head.status(), headers, body);
        }
    }

    /** One attempt at an upstream. */
    private final class Attempt implements UpstreamListener {
        private final Decision.Start mStart;
        private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final EventSplitter mSplitter = new EventSplitter();
        private @Nullable UpstreamCall mCall;
        private @Nullable ResponseHead mHead;
        private @Nullable HttpHeaders mHeaders;
        private boolean mStreaming;
        private boolean mResent;

        /** Whether the request was written to a connection, or is about to be. */
        private boolean mWritten;

        /** Whether a part of this attempt's response, other than a stream, was forwarded. */
        private boolean mBegun;

        /** Number of the last event of this attempt, also of one that is not forwarded; or 0. */
        private long mLastNumber;

        /** Whether an event without a number was forwarded. */
        private boolean mUnnumbered;

        /** Mark of the end without a number, which is forwarded when nothing follows it. */
        private @Nullable StreamEvent mEndMark;

        private long mLastOutputAt;

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
                            !mWork.kind().isRepeatable(),
                            Exchange.this::hasExpired);
            UpstreamCall call =
                    mCollaborators.client().send(mStart.upstream().address(), request, this);
            if (isInProgress(this)) {
                mCall = call;
                if (mDeliveryPaused) {
                    call.setReading(false);
                }
            }
        }

        private @Nullable UpstreamLoad load() {
            ResponseHead head = mHead;
            return head == null ? null : head.load();
        }

        private HttpHeaders upstreamHeaders() {
            mWritten = true;
            HttpHeaders headers = mRequest.headers().copy();
            Duration remaining =
                    Duration.ofNanos(mWork.deadlineNanos() - mCollaborators.ticker().nanos());
            String team = mWork.team();
            Decision.Start start = mStart;
            mCollaborators
                    .dialect()
                    .setUpstreamHeaders(
                            headers,
                            new UpstreamHead(
                                    remaining.isNegative() ? Duration.ZERO : remaining,
                                    start.upstream().id(),
                                    team.isEmpty() ? null : team,
                                    start.urgency(),
                                    mLastEvent,
                                    address(start.copyHolder()),
                                    start.copy(),
                                    address(start.fetchFrom())));
            return headers;
        }

        private static @Nullable String address(@Nullable Upstream upstream) {
            return upstream == null ? null : upstream.address();
        }

        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {
            mHead = head;
            mHeaders = headers;
            if (!head.misdirected()) {
                reportRequestLimit(head);
                reportPause(head);
            }
            mCollaborators.dialect().removeInternalHeaders(headers);
            mStreaming =
                    mWork.kind().isStream()
                            && head.isSuccess()
                            && head.signed()
                            && head.eventStream();
        }

        private void reportRequestLimit(ResponseHead head) {
            ControlPort control = mCollaborators.control();
            Double limit = head.requestLimit();
            boolean lifted = limit == null && !head.limitUnreadable();
            if (limit != null || lifted && control.hasRequestLimit(mStart.upstream())) {
                control.requestLimitStated(mStart.upstream(), limit);
            }
        }

        private void reportPause(ResponseHead head) {
            if (head.leaving()) {
                mCollaborators.control().upstreamPaused(mStart.upstream(), null);
            } else if (head.pause() != null) {
                mCollaborators.control().upstreamPaused(mStart.upstream(), head.pause());
            }
        }

        @Override
        public void onBody(byte[] part) {
            if (!isInProgress(this)) {
                return;
            }
            if (mStreaming) {
                for (StreamEvent event : mSplitter.add(part)) {
                    if (!isInProgress(this)) {
                        return;
                    }
                    receive(event);
                }
                if (isInProgress(this) && mSplitter.isExceeded()) {
                    endGarbled("an event exceeds the maximum size");
                }
                return;
            }
            if (mBegun) {
                mChannel.write(part);
                pauseIfUnwritable();
                return;
            }
            mBody.writeBytes(part);
            if (mBody.size() > MAX_BUFFERED_BYTES) {
                forwardBuffered();
            }
        }

        @Override
        public void onComplete() {
            ResponseHead head = mHead;
            HttpHeaders headers = mHeaders;
            if (!isInProgress(this) || head == null || headers == null) {
                return;
            }
            if (endUnanswered(head)) {
                return;
            }
            if (mStreaming) {
                completeStream();
            } else if (mBegun) {
                mChannel.end();
                completeDelivery(this);
            } else if (head.isSuccess() && mHeadSent) {
                endAttempt(this, AttemptEnd.GARBLED, "the response does not continue the stream");
            } else if (head.isSuccess()) {
                cancelOthers();
                new BufferedResponse(head, headers, mBody.toByteArray()).writeTo(mChannel);
                completeDelivery(this);
            } else {
                mErrorResponse = new BufferedResponse(head, headers, mBody.toByteArray());
                endAttempt(this, AttemptEnd.ANSWERED_ERROR, "status " + head.status());
            }
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            if (!isInProgress(this)) {
                return;
            }
            if (failure == Failure.STALE
                    && mWork.kind().isRepeatable()
                    && !mResent
                    && mCollaborators.control().acceptsRequests(mStart.upstream())) {
                mResent = true;
                send();
                return;
            }
            // The upstream may have executed the request on the connection that it closed.
            AttemptEnd end =
                    switch (failure) {
                        case NOT_SENT -> mResent ? AttemptEnd.RESET : AttemptEnd.UNREACHABLE;
                        case REFUSED -> mResent ? AttemptEnd.CRASHED : AttemptEnd.NOT_LISTENING;
                        case EXPIRED -> mResent ? AttemptEnd.RESET : AttemptEnd.EXPIRED;
                        case BROKEN, STALE -> AttemptEnd.RESET;
                        case GARBLED -> AttemptEnd.GARBLED;
                    };
            endAttempt(this, end, failure + ": " + cause);
        }

        /**
         * Ends the attempt if its head shows that it did not answer the request, whatever follows.
         *
         * @return whether it has ended
         */
        private boolean endUnanswered(ResponseHead head) {
            if (head.misdirected()) {
                endAttempt(
                        this,
                        mResent ? AttemptEnd.CRASHED : AttemptEnd.MISDIRECTED,
                        "another upstream process has the address");
            } else if (head.notRun()) {
                endAttempt(
                        this,
                        mResent ? AttemptEnd.LOST : AttemptEnd.REJECTED,
                        "status " + head.status() + ", not run");
            } else if (head.isSuccess() && !head.signed()) {
                endAttempt(this, AttemptEnd.GARBLED, "success without a signature");
            } else if (head.isSuccess()
                    && mWork.kind() == RequestKind.RESUMABLE_STREAM
                    && !mStreaming) {
                endAttempt(this, AttemptEnd.GARBLED, "the response is no stream of events");
            } else {
                return false;
            }
            return true;
        }

        /** Forwards the buffered part of a response that is too long to be buffered as a whole. */
        private void forwardBuffered() {
            ResponseHead head = mHead;
            HttpHeaders headers = mHeaders;
            if (head == null || headers == null) {
                return;
            }
            if (endUnanswered(head)) {
                cancelCall();
                return;
            }
            if (mHeadSent) {
                // The response of another attempt has begun; this one can't replace it.
                cancelCall();
                endAttempt(
                        this,
                        head.isSuccess() ? AttemptEnd.GARBLED : AttemptEnd.ANSWERED_ERROR,
                        "the response does not continue the stream");
                return;
            }
            if (isUnprovenRefusal(head)) {
                cancelCall();
                endAttempt(this, AttemptEnd.ANSWERED_ERROR, "status " + head.status());
                return;
            }
            reportProgress();
            supersedeOthers(this);
            mBegun = true;
            mHeadSent = true;
            mChannel.writeHead(head.status(), headers);
            byte[] buffered = mBody.toByteArray();
            mBody = new ByteArrayOutputStream(0);
            mChannel.write(buffered);
            pauseIfUnwritable();
        }

        /** Forwards a block of the stream if it is the event that is due. */
        private void receive(StreamEvent event) {
            switch (event.form()) {
                case EVENT -> receiveEvent(event);
                case MALFORMED -> endGarbled("bytes that are no event");
                default -> {
                    // Comments and retry times are for this connection, not for the caller's.
                }
            }
        }

        private void receiveEvent(StreamEvent event) {
            long number = event.number();
            if (mEndMark != null) {
                endGarbled("an event follows the mark of the end");
            } else if (number == StreamEvent.UNNUMBERED) {
                receiveUnnumbered(event);
            } else if (mUnnumbered) {
                endGarbled("event " + number + " follows events without a number");
            } else if (number > mLastEvent + 1) {
                endGarbled("event " + number);
            } else if (number < mLastNumber) {
                // What is missing after it can't be told, so its end is not that of the stream.
                endGarbled("event " + number + " follows event " + mLastNumber);
            } else {
                mLastNumber = number;
                if (number > mLastEvent) {
                    mLastEvent = number;
                    forward(event);
                }
            }
        }

        /** Only a stream that can't be resumed may have no numbers, and then none at all. */
        private void receiveUnnumbered(StreamEvent event) {
            if (mWork.kind() == RequestKind.RESUMABLE_STREAM) {
                endGarbled("an event without a valid number");
            } else if (mLastNumber == 0) {
                mUnnumbered = true;
                forward(event);
            } else if (event.isEndMark()) {
                mEndMark = event;
            } else {
                endGarbled("an event without a valid number");
            }
        }

        /** Ends the attempt, since what the upstream sends is not its stream. */
        private void endGarbled(String cause) {
            cancelCall();
            endAttempt(this, AttemptEnd.GARBLED, cause + " after event " + mLastEvent);
        }

        private void forward(StreamEvent event) {
            sendHead();
            mChannel.write(event.bytes());
            recordForwarded();
            pauseIfUnwritable();
            // Without the progress, the end of the others would call for a further attempt.
            reportProgress();
            supersedeOthers(this);
        }

        private void reportProgress() {
            long now = mCollaborators.ticker().nanos();
            boolean first = mLastOutputAt == 0;
            Progress progress = new Progress(1, now, first ? 0 : now - mLastOutputAt);
            mLastOutputAt = now;
            mCollaborators.control().progress(mWork.id(), mStart.attempt(), progress, first);
        }

        private void sendHead() {
            ResponseHead head = mHead;
            HttpHeaders headers = mHeaders;
            if (!mHeadSent && head != null && headers != null) {
                mHeadSent = true;
                mChannel.writeHead(head.status(), headers);
            }
        }

        private void completeStream() {
            StreamEvent last = mSplitter.end();
            if (last != null) {
                receive(last);
                if (!isInProgress(this)) {
                    return;
                }
            }
            if (mSplitter.isWithinEvent()) {
                endAttempt(this, AttemptEnd.LOST, "the stream ends within an event");
                return;
            }
            if (!mHeadSent && mLastEvent == 0) {
                // Any stream has an event, if only the mark of its end (docs/design.md, 3.1). The
                // upstream may have ended after the head of a response without framing.
                endAttempt(this, AttemptEnd.LOST, "the stream ends without an event");
                return;
            }
            if (mLastNumber > 0 && mLastNumber < mLastEvent) {
                // The upstream did not continue the stream but restarted it, and ended earlier.
                endAttempt(
                        this,
                        AttemptEnd.LOST,
                        "the stream ends with event "
                                + mLastNumber
                                + " before event "
                                + mLastEvent);
                return;
            }
            if (mEndMark != null) {
                forward(mEndMark);
            }
            cancelOthers();
            sendHead();
            mChannel.end();
            completeDelivery(this);
        }

        /** Cancels all other attempts; the delivery that follows ends them for the scheduler. */
        private void cancelOthers() {
            for (Attempt other : List.copyOf(mAttempts.values())) {
                if (other != this) {
                    cancel(other);
                }
            }
        }

        private void cancelCall() {
            UpstreamCall call = mCall;
            if (call != null) {
                call.cancel();
            }
        }

        private void pauseIfUnwritable() {
            if (!mChannel.isWritable()) {
                writabilityChanged();
            }
        }
    }
}
