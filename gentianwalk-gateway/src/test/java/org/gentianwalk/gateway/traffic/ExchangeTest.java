package org.gentianwalk.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.Decision.Ending;
import org.gentianwalk.core.dispatch.Progress;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamLoad;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.gateway.http.CallerChannel;
import org.gentianwalk.gateway.http.CallerRequest;
import org.gentianwalk.gateway.http.PlainDialect;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.http.UpstreamListener.Failure;
import org.gentianwalk.gateway.http.UpstreamRequest;
import org.gentianwalk.gateway.wire.CallerHead;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that are truncated, mixed or sent twice, and against false refusals. */
class ExchangeTest {
    private static final Upstream FIRST =
            new Upstream("first", 1, "service", "10.0.0.1:80", "a", 6, false);
    private static final Upstream SECOND =
            new Upstream("second", 1, "service", "10.0.0.2:80", "b", 6, false);

    private final ManualTicker mTicker = new ManualTicker();
    private final RecordedControl mControl = new RecordedControl();
    private final RecordedChannel mCaller = new RecordedChannel();
    private final List<Sent> mSent = new ArrayList<>();
    private RuntimeException mSendFailure;

    /** Whether requests wait for their connections, and are not written. */
    private boolean mConnecting;

    @Test
    void aCompleteResponseIsForwardedOnce() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        answer(0, 200, true, false, "hello");
        exchange.finish(finish(Ending.REFUSED));

        assertThat(mCaller.mLog).containsExactly("answer 200 hello");
        assertThat(mControl.mLog).containsExactly("delivered 1");
    }

    @Test
    void aSuccessWithoutASignatureIsNotForwarded() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        answer(0, 200, false, false, "hello");

        assertThat(mCaller.mLog).isEmpty();
        assertThat(mControl.mLog).containsExactly("ended 1 GARBLED");
    }

    @Test
    void anErrorResponseIsHeldUntilNoAttemptFollows() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        answer(0, 500, true, false, "broken");
        assertThat(mCaller.mLog).isEmpty();

        exchange.finish(finish(Ending.UPSTREAM_ERROR));

        assertThat(mControl.mLog).containsExactly("ended 1 ANSWERED_ERROR");
        assertThat(mCaller.mLog).containsExactly("answer 500 broken");
    }

    @Test
    void aResponseMarkedNotRunEndsTheAttemptAsRejected() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        Sent sent = mSent.getFirst();
        sent.listener().onHead(head(503, false, false, true), new DefaultHttpHeaders());
        sent.listener().onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 REJECTED");
    }

    /** A response that leaves open whether the request ran keeps its caller from a retry. */
    @Test
    void aRejectedRequestIsNotReportedAsRunWhenTheInstanceEnds() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        Sent sent = mSent.getFirst();
        sent.listener().onHead(head(503, false, false, true), new DefaultHttpHeaders());
        sent.listener().onComplete();
        exchange.instanceEnds();

        assertThat(mCaller.mLog).containsExactly("own answer 503");
    }

    @Test
    void aRequestInProgressMayHaveRunWhenTheInstanceEnds() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        exchange.instanceEnds();

        assertThat(mCaller.mLog).containsExactly("own answer 502");
    }

    @Test
    void anErrorNotMarkedNotRunCountsAsExecuted() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        answer(0, 503, false, false, "");

        assertThat(mControl.mLog).containsExactly("ended 1 ANSWERED_ERROR");
    }

    /** The caller would send the request again, and it could run twice. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void aRefusalThatIsNotMarkedNotRunIsNoPromiseForARequestThatMayRunOnce(int status) {
        for (String body : List.of("busy", "x".repeat(300 << 10))) {
            Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
            mSent.clear();
            mCaller.mLog.clear();
            start(exchange, 1, FIRST);
            answer(0, status, true, false, body);
            exchange.finish(finish(Ending.UPSTREAM_ERROR));

            assertThat(mCaller.mLog).containsExactly("own answer 502");
        }
    }

    /** Such a request may be sent again in any case, so the answer of the upstream holds. */
    @Test
    void aRefusalThatIsNotMarkedNotRunIsForwardedForARepeatableRequest() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        answer(0, 503, true, false, "busy");
        exchange.finish(finish(Ending.UPSTREAM_ERROR));

        assertThat(mCaller.mLog).containsExactly("answer 503 busy");
    }

    @Test
    void aNonRepeatableRequestIsNotResentAfterAStaleConnection() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        mSent.getFirst().listener().onFailure(Failure.STALE, "closed");

        assertThat(mSent).hasSize(1);
        assertThat(mControl.mLog).containsExactly("ended 1 RESET");
    }

    @Test
    void anIdempotentRequestIsResentOnceAfterAStaleConnection() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mSent.get(0).listener().onFailure(Failure.STALE, "closed");
        mSent.get(1).listener().onFailure(Failure.STALE, "closed");

        assertThat(mSent).hasSize(2);
        assertThat(mControl.mLog).containsExactly("ended 1 RESET");
    }

    /** An upstream that ends closes its connections; a request sent once more would be cut off. */
    @Test
    void aRequestIsNotResentToAnUpstreamThatWantsNoRequests() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mControl.mAcceptsRequests = false;
        mSent.getFirst().listener().onFailure(Failure.STALE, "closed");

        assertThat(mSent).hasSize(1);
        assertThat(mControl.mLog).containsExactly("ended 1 RESET");
    }

    /** An upstream that crashes closes its connections, and refuses new ones after that. */
    @Test
    void aRequestUnderWhichItsUpstreamCrashedCountsAsExecuted() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mSent.get(0).listener().onFailure(Failure.STALE, "closed");
        mSent.get(1).listener().onFailure(Failure.REFUSED, "connection refused");

        assertThat(mControl.mLog).containsExactly("ended 1 CRASHED");
    }

    /** A rejection answers the second copy of the request only. */
    @Test
    void aRequestThatWasSentTwiceIsNotReportedAsNotExecuted() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mSent.get(0).listener().onFailure(Failure.STALE, "closed");
        UpstreamListener second = mSent.get(1).listener();
        second.onHead(head(503, false, false, true), new DefaultHttpHeaders());
        second.onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 LOST");
    }

    @Test
    void aStreamResumesOnAnotherUpstreamWithoutGapOrRepetition() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);
        events(1, "id: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n");
        mSent.get(1).listener().onComplete();

        assertThat(mCaller.mLog)
                .containsExactly(
                        "begin 200",
                        "part id: 1\ndata: x\n\n",
                        "part id: 2\ndata: x\n\n",
                        "part id: 3\ndata: x\n\n",
                        "part id: 4\ndata: x\n\n",
                        "end");
        assertThat(mSent.get(1).headers().get("x-last")).isEqualTo("2");
    }

    /** Events of two generations in one stream would be mixed or repeated. */
    @Test
    void theFirstOfTwoAttemptsWithTheNextEventGoesOnAlone() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\nda");
        start(exchange, 2, SECOND, 1);
        assertThat(mSent.get(0).cancelled()).isFalse();
        events(1, "id: 1\ndata: x\n\n");
        assertThat(mSent.get(0).cancelled()).as("no event beyond the last one").isFalse();
        mSent.get(1).listener().onBody("id: 2\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
        mSent.get(0)
                .listener()
                .onBody("ta: x\n\nid: 3\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));

        assertThat(mSent.get(0).cancelled()).isTrue();
        assertThat(mCaller.mLog)
                .containsExactly("begin 200", "part id: 1\ndata: x\n\n", "part id: 2\ndata: x\n\n");
        assertThat(mControl.mLog).containsExactly("ended 1 SUPERSEDED");
    }

    @Test
    void aSilentAttemptThatGoesOnEndsTheOneBesideIt() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        start(exchange, 2, SECOND, 1);
        mSent.get(0).listener().onBody("id: 2\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
        events(1, "id: 2\ndata: x\n\n");
        mSent.get(0).listener().onComplete();

        assertThat(mSent.get(1).cancelled()).isTrue();
        assertThat(mCaller.mLog)
                .containsExactly(
                        "begin 200", "part id: 1\ndata: x\n\n", "part id: 2\ndata: x\n\n", "end");
        assertThat(mControl.mLog).containsExactly("ended 2 SUPERSEDED", "delivered 1");
    }

    /** The end of one of two attempts is not the end of the request. */
    @Test
    void anAttemptThatFailsLeavesTheOneBesideIt() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        start(exchange, 2, SECOND, 1);
        mSent.get(1).listener().onFailure(Failure.BROKEN, "reset");
        mSent.get(0).listener().onBody("id: 2\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
        mSent.get(0).listener().onComplete();

        assertThat(mCaller.mLog).endsWith("part id: 2\ndata: x\n\n", "end");
        assertThat(mControl.mLog).containsExactly("ended 2 RESET", "delivered 1");
    }

    @Test
    void allAttemptsOfADisconnectedCallerAreCancelled() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        start(exchange, 2, SECOND, 1);
        exchange.callerDisconnected();

        assertThat(mSent).allMatch(Sent::cancelled);
    }

    /** Callers would read the error as a part of their stream, and its end as the stream's. */
    @Test
    void anErrorOfTheNextUpstreamIsNotWrittenIntoAStream() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);
        answer(1, 500, true, false, "broken");
        exchange.finish(finish(Ending.UPSTREAM_ERROR));

        assertThat(mControl.mLog).containsExactly("ended 1 RESET", "ended 2 ANSWERED_ERROR");
        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 1\ndata: x\n\n", "abort");
    }

    @Test
    void aLongErrorOfTheNextUpstreamIsNotWrittenIntoAStream() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);
        UpstreamListener second = mSent.get(1).listener();
        second.onHead(head(500, true, false, false), new DefaultHttpHeaders());
        second.onBody(new byte[300 << 10]);

        assertThat(mSent.get(1).cancelled()).isTrue();
        assertThat(mControl.mLog).containsExactly("ended 1 RESET", "ended 2 ANSWERED_ERROR");
        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 1\ndata: x\n\n");
    }

    @Test
    void aSuccessThatIsNoStreamDoesNotContinueOne() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);
        answer(1, 200, true, false, "text");

        assertThat(mControl.mLog).containsExactly("ended 1 RESET", "ended 2 GARBLED");
        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 1\ndata: x\n\n");
    }

    @Test
    void aGapInTheNumbersEndsTheAttempt() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 3\ndata: x\n\n");

        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 1\ndata: x\n\n");
        assertThat(mControl.mLog).last().isEqualTo("ended 1 GARBLED");
        assertThat(mSent.getFirst().cancelled()).isTrue();
    }

    @Test
    void aReconnectingCallerGetsTheEventsAfterItsLastOne() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 7);
        start(exchange, 1, FIRST);
        events(0, "id: 7\ndata: x\n\nid: 8\ndata: x\n\n");

        assertThat(mSent.getFirst().headers().get("x-last")).isEqualTo("7");
        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 8\ndata: x\n\n");
    }

    @Test
    void aStreamThatCantResumeIsAborted() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        exchange.finish(finish(Ending.TIMED_OUT));

        assertThat(mCaller.mLog).endsWith("abort");
        assertThat(mSent.getFirst().cancelled()).isTrue();
    }

    @Test
    void lateBytesOfAnEarlierAttemptAreDropped() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        start(exchange, 2, SECOND);
        mSent.get(0).listener().onBody("id: 2\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
        mSent.get(0).listener().onComplete();

        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 1\ndata: x\n\n");
        assertThat(mSent.get(0).cancelled()).isTrue();
    }

    @Test
    void theAttemptOfADisconnectedCallerIsCancelled() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        exchange.callerDisconnected();

        assertThat(mSent.getFirst().cancelled()).isTrue();
        assertThat(mControl.mLog).containsExactly("withdrawn");
    }

    @Test
    void noAttemptIsSentForADisconnectedCaller() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        exchange.callerDisconnected();
        start(exchange, 1, FIRST);

        assertThat(mSent).isEmpty();
    }

    @Test
    void theRemainingTimeIsSentToTheUpstream() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        mTicker.advance(Duration.ofMillis(400));
        start(exchange, 1, FIRST);

        HttpHeaders headers = mSent.getFirst().headers();
        assertThat(headers.get("x-left")).isEqualTo("600");
        assertThat(headers.get("x-run")).isEqualTo("first");
    }

    @Test
    void anUpstreamIsPausedWhileItsCallerDoesNotRead() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        mCaller.mWritable = false;
        events(0, "id: 1\ndata: x\n\n");
        assertThat(mSent.getFirst().mReading).isFalse();

        mCaller.mWritable = true;
        exchange.writabilityChanged();
        assertThat(mSent.getFirst().mReading).isTrue();
        assertThat(mControl.mLog).containsExactly("delivery paused", "delivery goes on");
    }

    /** Each further attempt would otherwise add a read to what waits for the caller. */
    @Test
    void anAttemptThatStartsWhileItsCallerDoesNotReadIsPaused() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        mCaller.mWritable = false;
        events(0, "id: 1\ndata: x\n\n");
        start(exchange, 2, SECOND);

        assertThat(mSent.get(1).mReading).isFalse();
    }

    @Test
    void aLongResponseIsForwardedInPartsAndAbortedOnFailure() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        Sent sent = mSent.getFirst();
        sent.listener().onHead(head(200, true, false, false), new DefaultHttpHeaders());
        sent.listener().onBody(new byte[300 << 10]);
        sent.listener().onFailure(Failure.BROKEN, "reset");
        exchange.finish(finish(Ending.UNKNOWN));

        assertThat(mCaller.mLog.getFirst()).isEqualTo("begin 200");
        assertThat(mCaller.mLog.getLast()).isEqualTo("abort");
    }

    /** The first part and the body of another attempt would look like one complete response. */
    @Test
    void aLongResponseThatBreaksOffIsNotContinuedByAnotherAttempt() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        Sent sent = mSent.getFirst();
        sent.listener().onHead(head(200, true, false, false), new DefaultHttpHeaders());
        sent.listener().onBody(new byte[300 << 10]);
        sent.listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);

        assertThat(mSent).as("attempts").hasSize(1);
        assertThat(mCaller.mLog.getLast()).isEqualTo("abort");
        assertThat(mControl.mLog).containsExactly("ended 1 RESET", "withdrawn");
    }

    /** Bytes that are no answer may come without end, until memory is exhausted. */
    @Test
    void aBodyWithoutEndAfterASuccessWithoutASignatureEndsTheAttempt() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        UpstreamListener listener = mSent.getFirst().listener();
        listener.onHead(head(200, false, false, false), new DefaultHttpHeaders());
        listener.onBody(new byte[300 << 10]);

        assertThat(mControl.mLog).containsExactly("ended 1 GARBLED");
        assertThat(mSent.getFirst().cancelled()).isTrue();
    }

    /** Bytes that complete no event may come without end, until memory is exhausted. */
    @Test
    void aStreamWithAnEventWithoutEndContinuesAtAnotherUpstream() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\ndata: " + "x".repeat(300 << 10));
        assertThat(mControl.mLog).containsExactly("ended 1 GARBLED");
        assertThat(mSent.getFirst().cancelled()).isTrue();
        start(exchange, 2, SECOND);
        events(1, "id: 2\ndata: x\n\n");
        mSent.get(1).listener().onComplete();

        assertThat(mCaller.mLog)
                .containsExactly(
                        "begin 200", "part id: 1\ndata: x\n\n", "part id: 2\ndata: x\n\n", "end");
    }

    /** Forwarded in parts, it would commit the caller to a request that was not executed. */
    @Test
    void aLongRejectionIsNotForwarded() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        UpstreamListener listener = mSent.getFirst().listener();
        listener.onHead(head(503, false, false, true), new DefaultHttpHeaders());
        listener.onBody(new byte[300 << 10]);

        assertThat(mControl.mLog).containsExactly("ended 1 REJECTED");
        assertThat(mCaller.mLog).isEmpty();
    }

    /** An attempt without an end keeps its slot, and its caller gets no answer. */
    @Test
    void anAttemptThatFailsWithAnExceptionEnds() {
        mSendFailure = new IllegalArgumentException("port out of range");
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);

        assertThat(mControl.mLog).as("it may have been sent").containsExactly("ended 1 LOST");
    }

    private Exchange exchange(RequestKind kind, long lastEvent) {
        Work work =
                new Work(
                        1,
                        "id-1",
                        "service",
                        "",
                        kind,
                        2,
                        null,
                        0,
                        0,
                        Duration.ofSeconds(1).toNanos(),
                        0,
                        3,
                        lastEvent,
                        null);
        CallerRequest request =
                new CallerRequest(
                        HttpMethod.POST,
                        "/a",
                        "h",
                        new DefaultHttpHeaders(),
                        new CallerHead("id-1", null, null, lastEvent, null),
                        new byte[0],
                        0);
        return new Exchange(
                work,
                request,
                mCaller,
                new Exchange.Collaborators(
                        (address, sent, listener) -> {
                            if (mSendFailure != null) {
                                throw mSendFailure;
                            }
                            Sent each = new Sent(sent, listener, mConnecting);
                            mSent.add(each);
                            return each;
                        },
                        new PlainDialect(),
                        mControl,
                        mTicker));
    }

    private static void start(
            Exchange exchange, int attempt, Upstream upstream, Integer... beside) {
        exchange.start(
                new Decision.Start(
                        null, attempt, upstream, 0, null, null, null, Set.of(beside), "test"));
    }

    private static Decision.Finish finish(Ending ending) {
        return new Decision.Finish(null, ending, Duration.ZERO, "test");
    }

    private void answer(int index, int status, boolean signed, boolean events, String body) {
        UpstreamListener listener = mSent.get(index).listener();
        listener.onHead(head(status, signed, events, false), new DefaultHttpHeaders());
        listener.onBody(body.getBytes(StandardCharsets.UTF_8));
        listener.onComplete();
    }

    /** A stream without a length ends with its connection, also when its engine breaks it off. */
    @Test
    void aStreamThatEndsWithinAnEventIsNotComplete() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\nda");
        mSent.getFirst().listener().onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 LOST");
        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 1\ndata: x\n\n");
    }

    /** An engine that restarts a stream may end it earlier than the first one would have. */
    @Test
    void aStreamIsNotEndedByAnAttemptThatEndsBeforeItsLastEvent() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);
        events(1, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        mSent.get(1).listener().onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 RESET", "ended 2 LOST");
        assertThat(mCaller.mLog).doesNotContain("end");
    }

    /**
     * The events that are missing after the lower number can't be told, so the caller would get a
     * part of the stream as a complete one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"1 2 3 4 5 3", "1 2 3 4 5 4 5 6", "1 2 3 4 5 4 6", "1 2 1"})
    void aStreamIsNotEndedByAnAttemptWhoseNumbersGoBack(String numbers) {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        for (String number : numbers.split(" ")) {
            events(0, "id: " + number + "\ndata: x\n\n");
        }
        mSent.get(0).listener().onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 GARBLED");
        assertThat(mCaller.mLog).doesNotContain("end");
    }

    /** An engine that does not know the stream restarts it, which is no fault. */
    @Test
    void anAttemptThatRepeatsWhatTheCallerHasContinuesTheStream() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 2);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
        mSent.get(0).listener().onComplete();

        assertThat(mControl.mLog).containsExactly("delivered 1");
        assertThat(mCaller.mLog).containsExactly("begin 200", "part id: 3\ndata: x\n\n", "end");
    }

    /** The first engine may have been lost after the last event and before the end. */
    @Test
    void aStreamIsEndedByAnAttemptThatHasNoFurtherEvent() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        start(exchange, 2, SECOND);
        events(1, "id: 2\ndata: x\n\n");
        mSent.get(1).listener().onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 RESET", "delivered 2");
    }

    /** The caller would get a success with an empty body. */
    @Test
    void aStreamWithoutAnyEventIsNotComplete() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "");
        mSent.getFirst().listener().onComplete();

        assertThat(mControl.mLog).containsExactly("ended 1 LOST");
        assertThat(mCaller.mLog).isEmpty();
    }

    /** The caller may have received all events before it lost its connection. */
    @Test
    void aReconnectingCallerMayGetNoFurtherEvent() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 3);
        start(exchange, 1, FIRST);
        events(0, "");
        mSent.getFirst().listener().onComplete();

        assertThat(mControl.mLog).containsExactly("delivered 1");
        assertThat(mCaller.mLog).containsExactly("begin 200", "end");
    }

    /** The end of a cancelled attempt, which arrives late, is not that of the next one. */
    @Test
    void theEndOfAnEarlierAttemptDoesNotEndAStream() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n");
        start(exchange, 2, SECOND);
        mSent.get(0).listener().onComplete();
        assertThat(mCaller.mLog).doesNotContain("end");
        mSent.get(0).listener().onFailure(Failure.BROKEN, "reset");
        events(1, "id: 2\ndata: x\n\n");
        mSent.get(1).listener().onComplete();

        assertThat(mControl.mLog).containsExactly("delivered 2");
        assertThat(mCaller.mLog)
                .containsExactly(
                        "begin 200", "part id: 1\ndata: x\n\n", "part id: 2\ndata: x\n\n", "end");
    }

    /** Each attempt has a head and a body of its own, also when they arrive in turns. */
    @Test
    void theHeadOfAnEarlierAttemptIsNotUsedForTheBodyOfTheNext() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        start(exchange, 2, SECOND);
        mSent.get(1).listener().onHead(head(404, true, false, false), new DefaultHttpHeaders());
        mSent.get(0).listener().onHead(head(200, true, false, false), new DefaultHttpHeaders());
        mSent.get(0).listener().onBody("first".getBytes(StandardCharsets.UTF_8));
        mSent.get(1).listener().onBody("second".getBytes(StandardCharsets.UTF_8));
        mSent.get(0).listener().onComplete();
        mSent.get(1).listener().onComplete();
        exchange.finish(finish(Ending.UPSTREAM_ERROR));

        assertThat(mCaller.mLog).containsExactly("answer 404 second");
    }

    /** The instance may be paused between the decision and its execution. */
    @Test
    void anAttemptThatStartsAfterTheDeadlineReachesNoUpstream() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        mTicker.advance(Duration.ofMillis(1_000));
        start(exchange, 1, FIRST);

        assertThat(mSent).isEmpty();
        assertThat(mControl.mLog).containsExactly("ended 1 EXPIRED");
    }

    @Test
    void anAttemptThatStartsBeforeTheDeadlineIsSent() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        mTicker.advance(Duration.ofMillis(999));
        start(exchange, 1, FIRST);

        assertThat(mSent).hasSize(1);
        assertThat(mControl.mLog).isEmpty();
    }

    /** Its answer may be in the connection, behind the pause of the instance. */
    @Test
    void anAttemptThatIsNotStartedAnyMoreEndsNoOther() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mTicker.advance(Duration.ofMillis(1_500));
        start(exchange, 2, SECOND);
        answer(0, 200, true, false, "late");

        assertThat(mCaller.mLog).containsExactly("answer 200 late");
    }

    /** The first one may have been executed before its connection was closed. */
    @Test
    void aRequestThatIsNotSentAgainAfterTheDeadlineMayHaveRun() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mSent.get(0).listener().onFailure(Failure.STALE, "closed");
        mSent.get(1).listener().onFailure(Failure.EXPIRED, "late");

        assertThat(mControl.mLog).containsExactly("ended 1 RESET");
    }

    /** A caller would not repeat a non-repeatable request that no upstream has received. */
    @Test
    void aRequestThatWasNotWrittenIsRefusedAtItsDeadline() {
        mConnecting = true;
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        exchange.finish(finish(Ending.TIMED_OUT));

        assertThat(mCaller.mLog).containsExactly("own answer 503");
        assertThat(mSent.getFirst().cancelled()).isTrue();
    }

    @Test
    void aRequestThatWasWrittenTimesOut() {
        Exchange exchange = exchange(RequestKind.SINGLE_CALL, 0);
        start(exchange, 1, FIRST);
        exchange.finish(finish(Ending.TIMED_OUT));

        assertThat(mCaller.mLog).containsExactly("own answer 504");
    }

    @Test
    void aRequestWhoseEarlierAttemptWasWrittenTimesOut() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mConnecting = true;
        start(exchange, 2, SECOND);
        exchange.finish(finish(Ending.TIMED_OUT));

        assertThat(mCaller.mLog).containsExactly("own answer 504");
    }

    /** Empty lines after the last event belong to no event. */
    @Test
    void emptyLinesAtTheEndDoNotBreakOffAStream() {
        Exchange exchange = exchange(RequestKind.RESUMABLE_STREAM, 0);
        start(exchange, 1, FIRST);
        events(0, "id: 1\ndata: x\n\n\n");
        mSent.getFirst().listener().onComplete();

        assertThat(mControl.mLog).containsExactly("delivered 1");
    }

    /** A limit that is not reported would be exceeded, and one that is not lifted would stay. */
    @Test
    void aStatedLimitIsReportedAndItsAbsenceLiftsIt() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        ResponseHead limited =
                new ResponseHead(
                        "id-1", 200, false, false, null, true, false, null, 3.5, false, false, null,
                        null);
        mSent.getFirst().listener().onHead(limited, new DefaultHttpHeaders());
        assertThat(mControl.mLog).containsExactly("limit 3.5");
        mSent.getFirst().listener().onHead(head(200, true, false, false), new DefaultHttpHeaders());
        assertThat(mControl.mLog).containsExactly("limit 3.5");
        mControl.mHasLimit = true;
        mSent.getFirst().listener().onHead(head(200, true, false, false), new DefaultHttpHeaders());

        assertThat(mControl.mLog).containsExactly("limit 3.5", "limit null");
    }

    /** Guards against a limit that is lifted by one that can't be read. */
    @Test
    void aLimitThatCannotBeReadLeavesTheOneBeforeIt() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        mControl.mHasLimit = true;
        ResponseHead unreadable =
                new ResponseHead(
                        "id-1", 200, false, false, null, true, false, null, null, true, false, null,
                        null);
        mSent.getFirst().listener().onHead(unreadable, new DefaultHttpHeaders());

        assertThat(mControl.mLog).isEmpty();
    }

    /** A request that is sent although its upstream is about to end may be cut off there. */
    @Test
    void upstreamsThatLeaveOrWantAPauseAreReportedWithAnyAnswer() {
        Exchange exchange = exchange(RequestKind.IDEMPOTENT_CALL, 0);
        start(exchange, 1, FIRST);
        UpstreamListener listener = mSent.getFirst().listener();
        listener.onHead(asking(500, false, true, null), new DefaultHttpHeaders());
        listener.onHead(asking(503, false, false, Duration.ofSeconds(2)), new DefaultHttpHeaders());
        listener.onHead(asking(421, true, true, null), new DefaultHttpHeaders());

        assertThat(mControl.mLog)
                .as("a misdirected request was answered by another process")
                .containsExactly("paused null", "paused PT2S");
    }

    private static ResponseHead asking(
            int status, boolean misdirected, boolean leaving, Duration pause) {
        return new ResponseHead(
                "id-1",
                status,
                false,
                misdirected,
                null,
                true,
                false,
                null,
                null,
                false,
                leaving,
                pause,
                null);
    }

    private void events(int index, String text) {
        UpstreamListener listener = mSent.get(index).listener();
        listener.onHead(head(200, true, true, false), new DefaultHttpHeaders());
        listener.onBody(text.getBytes(StandardCharsets.UTF_8));
    }

    private static ResponseHead head(int status, boolean signed, boolean events, boolean notRun) {
        return new ResponseHead(
                "id-1",
                status,
                notRun,
                false,
                null,
                signed,
                events,
                (UpstreamLoad) null,
                null,
                false,
                false,
                null,
                null);
    }

    /** A request that was sent. */
    private static final class Sent implements UpstreamCall {
        private final HttpHeaders mHeaders;
        private final UpstreamListener mListener;
        private boolean mCancelled;
        private boolean mReading = true;

        Sent(UpstreamRequest request, UpstreamListener listener, boolean connecting) {
            mHeaders = connecting ? new DefaultHttpHeaders() : request.headers().get();
            mListener = listener;
        }

        HttpHeaders headers() {
            return mHeaders;
        }

        UpstreamListener listener() {
            return mListener;
        }

        boolean cancelled() {
            return mCancelled;
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }

        @Override
        public void setReading(boolean reading) {
            mReading = reading;
        }
    }

    /** Records the events reported to the control thread. */
    private static final class RecordedControl implements ControlPort {
        private final List<String> mLog = new ArrayList<>();
        private boolean mHasLimit;
        private boolean mAcceptsRequests = true;

        @Override
        public void requestArrived(Work work, Exchange exchange) {
            mLog.add("arrived");
        }

        @Override
        public void progress(long work, int attempt, Progress progress, boolean first) {
            // Progress is covered by ProgressBufferTest.
        }

        @Override
        public void deliveryPaused(long work, boolean paused) {
            mLog.add(paused ? "delivery paused" : "delivery goes on");
        }

        @Override
        public void attemptEnded(
                long work, int attempt, AttemptEnd end, String cause, UpstreamLoad load) {
            mLog.add("ended " + attempt + " " + end);
        }

        @Override
        public void responseDelivered(
                long work, int attempt, Delivery delivery, UpstreamLoad load) {
            mLog.add("delivered " + attempt);
        }

        @Override
        public void requestLimitStated(Upstream upstream, Double limit) {
            mLog.add("limit " + limit);
        }

        @Override
        public void upstreamPaused(Upstream upstream, Duration pause) {
            mLog.add("paused " + pause);
        }

        @Override
        public boolean acceptsRequests(Upstream upstream) {
            return mAcceptsRequests;
        }

        @Override
        public boolean hasRequestLimit(Upstream upstream) {
            return mHasLimit;
        }

        @Override
        public void requestWithdrawn(long work) {
            mLog.add("withdrawn");
        }
    }

    /** Records what is written to the caller. */
    private static final class RecordedChannel implements CallerChannel {
        private final List<String> mLog = new ArrayList<>();
        private boolean mWritable = true;

        @Override
        public void respond(int status, HttpHeaders headers, byte[] body) {
            mLog.add("answer " + status + " " + new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void respond(int status, String message, Duration retryAfter) {
            mLog.add("own answer " + status);
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {
            mLog.add("begin " + status);
        }

        @Override
        public void write(byte[] part) {
            mLog.add("part " + new String(part, StandardCharsets.UTF_8));
        }

        @Override
        public void end() {
            mLog.add("end");
        }

        @Override
        public void abort() {
            mLog.add("abort");
        }

        @Override
        public boolean isWritable() {
            return mWritable;
        }
    }
}
