package org.gentianwalk.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.gateway.http.UpstreamListener.Failure;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that are assigned to the wrong request or are truncated unnoticed. */
class UpstreamConnectionTest {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nhello";

    private final ManualTicker mTicker = new ManualTicker();
    private final UpstreamClient mClient = new UpstreamClient(null, new PlainDialect(), mTicker);
    private final RecordedListener mListener = new RecordedListener();
    private UpstreamConnection mConnection;
    private EmbeddedChannel mChannel;

    @BeforeEach
    void connect() {
        mConnection = new UpstreamConnection(mClient, "10.0.0.1:80");
        mChannel = new EmbeddedChannel();
        UpstreamClient.initPipeline(mChannel, mConnection);
    }

    @Test
    void aCompleteResponseIsDeliveredAndTheConnectionKept() {
        send("one", false);
        answer(OK);

        assertThat(mListener.mBody.toString()).isEqualTo("hello");
        assertThat(mListener.mComplete).isTrue();
        assertThat(mConnection.isUsable(mTicker.nanos(), request("next", false))).isTrue();
    }

    @Test
    void aResponseToAnotherRequestIsDroppedAndTheNextOneDelivered() {
        send("two", true);
        answer(OK);
        assertThat(mListener.mHead).isNull();

        answer(OK.replace("one", "two").replace("hello", "world"));

        assertThat(mListener.mBody.toString()).isEqualTo("world");
        assertThat(mListener.mComplete).isTrue();
        assertThat(mChannel.isOpen()).as("a connection with stray answers is not kept").isFalse();
    }

    @Test
    void aResponseOnAnIdleConnectionClosesIt() {
        send("one", false);
        answer(OK);
        answer(OK);

        assertThat(mChannel.isOpen()).isFalse();
        assertThat(mListener.mBody.toString()).isEqualTo("hello");
    }

    /**
     * A late second copy of a rejection carries the identifier that all attempts of the request
     * have. Taken for the response to the next attempt, it reports a request as not executed that
     * the upstream executes.
     */
    @Test
    void aConnectionIsNotUsedAgainForARequestThatWasRejectedOnIt() {
        send("one", false);
        answer("HTTP/1.1 503 Full\r\nx-id: one\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n");
        assertThat(mListener.mComplete).isTrue();

        assertThat(mConnection.isUsable(mTicker.nanos(), request("one", false))).isFalse();
        assertThat(mConnection.isUsable(mTicker.nanos(), request("two", false)))
                .as("the late copy does not carry the identifier of another request")
                .isTrue();
    }

    @Test
    void aConnectionIsNotUsedAgainForARequestThatFailedOnIt() {
        send("one", false);
        answer("HTTP/1.1 500 Failed\r\nx-id: one\r\nx-signed: 1\r\nContent-Length: 0\r\n\r\n");

        assertThat(mConnection.isUsable(mTicker.nanos(), request("one", false))).isFalse();
    }

    /** An exception in a task of the event loop leaves the request without an end. */
    @Test
    void aRequestThatCannotBeWrittenFailsAsNotSent() {
        UpstreamRequest request =
                new UpstreamRequest(
                        HttpMethod.GET,
                        "/a",
                        () -> new DefaultHttpHeaders().set("x-odd", "a\r\nb"),
                        new byte[0],
                        "one",
                        false);

        mConnection.send(request, mListener, false);

        assertThat(mListener.mFailure).isEqualTo(Failure.NOT_SENT);
        assertThat(mChannel.isOpen()).isFalse();
    }

    /** The instance may be paused while the connection is established. */
    @Test
    void aRequestWhoseLimitHasPassedIsNotWritten() {
        UpstreamRequest request =
                new UpstreamRequest(
                        HttpMethod.GET,
                        "/a",
                        DefaultHttpHeaders::new,
                        new byte[0],
                        "one",
                        false,
                        () -> true);

        mConnection.send(request, mListener, false);

        assertThat(mListener.mFailure).isEqualTo(Failure.EXPIRED);
        assertThat(mChannel.<ByteBuf>readOutbound()).isNull();
        assertThat(mChannel.isOpen()).isFalse();
    }

    /**
     * The caller would get a status that no HTTP client accepts, or a success by its last digits.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "001", "099", "600", "700", "999", "0", "20", "0200", "1200", "+200", "-1"
            })
    void aStatusOutsideTheRangeIsNoValidResponse(String status) {
        for (String framing :
                List.of("Content-Length: 5", "Transfer-Encoding: chunked", "x-a: b")) {
            connect();
            RecordedListener listener = new RecordedListener();
            mConnection.send(request("one", false), listener, false);
            String head = "\r\nx-id: one\r\nx-signed: 1\r\n" + framing + "\r\n\r\n";
            answer("HTTP/1.1 " + status + " Odd" + head + "hello");
            mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

            assertThat(listener.mHead).as(framing).isNull();
            assertThat(listener.mComplete).as(framing).isFalse();
            assertThat(listener.mFailure).as(framing).isEqualTo(Failure.GARBLED);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 300, 404, 500, 599})
    void aStatusWithinTheRangeIsDelivered(int status) {
        send("one", false);
        answer(OK.replace("200 OK", status + " Text"));

        assertThat(mListener.mHead.status()).isEqualTo(status);
        assertThat(mListener.mComplete).isTrue();
    }

    /** A body that a status rules out would be lost, or read as the next response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 Empty\r\nContent-Length: 5",
                "204 Empty\r\nTransfer-Encoding: chunked",
                "205 Reset\r\nContent-Length: 5",
                "205 Reset",
                "206 Part\r\nContent-Length: 5\r\nContent-Range: bytes 0-4/9"
            })
    void aStatusThatCannotStandHereIsNoValidResponse(String response) {
        send("one", false);
        answer("HTTP/1.1 " + response + "\r\nx-id: one\r\nx-signed: 1\r\n\r\nhello");
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mBody.toString()).isEmpty();
        assertThat(mListener.mFailure).isEqualTo(Failure.GARBLED);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 Empty\r\nContent-Length: 0",
                "205 Reset\r\nContent-Length: 0",
                "205 Reset\r\nTransfer-Encoding: chunked\r\n\r\n0",
                "304 Same\r\nContent-Length: 5"
            })
    void aResponseThatStatesNoBodyOfItsOwnIsComplete(String response) {
        send("one", false);
        String ids = "\r\nx-id: one\r\nx-signed: 1";
        answer("HTTP/1.1 " + response.replaceFirst("\r\n", ids + "\r\n") + "\r\n\r\n");

        assertThat(mListener.mFailure).isNull();
        assertThat(mListener.mComplete).isTrue();
    }

    /** The stated body may follow, and would be read as the response to the next request. */
    @Test
    void aConnectionIsNotKeptAfterAStatusWithoutABodyThatStatesOne() {
        send("one", false);
        answer("HTTP/1.1 304 Same\r\nx-id: one\r\nContent-Length: 5\r\n\r\n");

        assertThat(mListener.mComplete).isTrue();
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void aPartIsDeliveredToARequestForOne() {
        HttpHeaders headers = new DefaultHttpHeaders().set("Range", "bytes=0-4");
        mConnection.send(
                new UpstreamRequest(HttpMethod.GET, "/a", () -> headers, new byte[0], "one", false),
                mListener,
                false);
        answer(OK.replace("200 OK", "206 Part"));

        assertThat(mListener.mComplete).isTrue();
    }

    @Test
    void bytesThatAreNotHttpFailTheRequest() {
        send("one", false);
        answer("\u0001\u0002 garbage\r\n\r\n");

        assertThat(mListener.mFailure).isEqualTo(Failure.GARBLED);
    }

    @Test
    void aBodyShorterThanItsLengthIsBroken() {
        send("one", false);
        answer(OK.substring(0, OK.length() - 2));
        mChannel.close();

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    @Test
    void aChunkedBodyWithoutItsLastChunkIsBroken() {
        send("one", false);
        answer("HTTP/1.1 200 OK\r\nx-id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        mChannel.close();

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    @Test
    void aBodyWithoutALengthEndsWithItsConnection() {
        send("one", false);
        answer("HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\n\r\nhello");
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mComplete).isTrue();
        assertThat(mChannel.isOpen()).isFalse();
    }

    /** The upstream has not ended it; a failed write closes the channel in the same way. */
    @Test
    void aBodyWithoutALengthWhoseChannelIsClosedByUsIsBroken() {
        send("one", false);
        answer("HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\n\r\nhello");
        mChannel.close();

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    /** The stated length is that of the body that a GET would have. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5", "Transfer-Encoding: chunked", "Connection: close"})
    void aResponseToAHeadRequestIsCompleteAtOnce(String framing) {
        UpstreamRequest request =
                new UpstreamRequest(
                        HttpMethod.HEAD, "/a", DefaultHttpHeaders::new, new byte[0], "one", false);
        mConnection.send(request, mListener, false);
        String head = "HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\n" + framing + "\r\n";
        answer(head);
        assertThat(mListener.mComplete).as("the head is not complete").isFalse();
        answer("\r\n");

        assertThat(mListener.mComplete).isTrue();
        assertThat(mListener.mBody.toString()).isEmpty();
    }

    /** They have no body, whatever their headers state. */
    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void aResponseThatCannotHaveABodyIsCompleteAtOnce(String status) {
        send("one", false);
        answer("HTTP/1.1 " + status + "\r\nx-id: one\r\nx-signed: 1\r\n\r\n");

        assertThat(mListener.mComplete).isTrue();
        assertThat(mListener.mHead.status()).isEqualTo(Integer.parseInt(status.substring(0, 3)));
        assertThat(mListener.mBody.toString()).isEmpty();
    }

    @Test
    void aBodyWithoutALengthThatEndsWithAResetIsBroken() {
        send("one", false);
        answer("HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\n\r\nhel");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    /** The end of the body would be a guess, and the caller would get it as a whole one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nContent-Length: 3",
                "Content-Length: 3\r\nContent-Length: 5",
                "Content-Length: 5, 3",
                "Content-Length: -1",
                "Content-Length: +5",
                "Content-Length: 0x5",
                "Content-Length: 5 5",
                "Content-Length: 5;",
                "Content-Length: five",
                "Content-Length:",
                "Content-Length: 99999999999999999999",
                "Content-Length 5"
            })
    void anAmbiguousLengthIsNoValidResponse(String length) {
        send("one", false);
        answer("HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\n" + length + "\r\n\r\nhello");
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mHead).isNull();
        assertThat(mListener.mFailure).isEqualTo(Failure.GARBLED);
    }

    /**
     * Requests accept no coding but chunked. The coded bytes would reach the caller as the body,
     * without the header that names the coding.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "gzip",
                "identity",
                "gzip, chunked",
                "chunked, gzip",
                "chunked, chunked",
                "xchunked",
                "chunked\r\nTransfer-Encoding: gzip",
                "gzip\r\nTransfer-Encoding: chunked",
                "gzip\r\nContent-Length: 5",
                ""
            })
    void anotherTransferCodingThanChunkedIsNoValidResponse(String coding) {
        send("one", false);
        answer(
                "HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\nTransfer-Encoding: "
                        + coding
                        + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mHead).isNull();
        assertThat(mListener.mFailure).isEqualTo(Failure.GARBLED);
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", " chunked "})
    void chunksAreAccepted(String coding) {
        send("one", false);
        answer(
                "HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\nTransfer-Encoding: "
                        + coding
                        + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");

        assertThat(mListener.mBody.toString()).isEqualTo("hello");
        assertThat(mListener.mComplete).isTrue();
    }

    /** No request asks for it, and what follows is not HTTP. */
    @Test
    void aSwitchOfProtocolsIsNoValidResponse() {
        send("one", false);
        answer(
                "HTTP/1.1 101 Switching Protocols\r\nx-id: one\r\nx-signed: 1\r\n"
                        + "Connection: upgrade\r\nUpgrade: websocket\r\n\r\nhello");
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mFailure).isEqualTo(Failure.GARBLED);
    }

    /** The caller would get a success without a body as the answer to its request. */
    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 Other"})
    void anInterimResponseIsNotTheAnswer(String status) {
        send("one", false);
        answer("HTTP/1.1 " + status + "\r\nx-id: one\r\nx-signed: 1\r\n\r\n");
        assertThat(mListener.mHead).isNull();
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mComplete).isFalse();
        assertThat(mListener.mHead).isNull();
        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    /** A failed write ends the channel in the same way. */
    @Test
    void aHeadThatIsCutByOurOwnCloseIsBroken() {
        send("one", false);
        answer("HTTP/1.1 200 OK\r\nx-id: one\r\nx-signed: 1\r\nConte");
        mChannel.close();

        assertThat(mListener.mHead).isNull();
        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    @Test
    void aReusedConnectionThatBreaksBeforeAnyAnswerIsStale() {
        send("one", true);
        mChannel.close();

        assertThat(mListener.mFailure).isEqualTo(Failure.STALE);
    }

    /** A stale one is sent again to the same upstream, which may have ended due to the request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "H",
                "HTTP/1.1 200 OK\r\nx-id: one\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 2\r\n\r\nhi"
            })
    void aReusedConnectionThatBreaksAfterTheFirstBytesIsNotStale(String bytes) {
        send("one", true);
        answer(bytes);
        mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    @Test
    void aNewConnectionThatBreaksIsNotStale() {
        send("one", false);
        mChannel.close();

        assertThat(mListener.mFailure).isEqualTo(Failure.BROKEN);
    }

    @Test
    void aConnectionIsNotUsedBeyondItsKeepAliveTime() {
        send("one", false);
        answer(OK.replace("x-signed: 1", "x-signed: 1\r\nx-keep: 3"));

        mTicker.advance(Duration.ofMillis(1_000));
        assertThat(mConnection.isUsable(mTicker.nanos(), request("next", true))).isTrue();
        mTicker.advance(Duration.ofMillis(500));
        assertThat(mConnection.isUsable(mTicker.nanos(), request("next", true)))
                .as("a non-repeatable request needs a recently used connection")
                .isFalse();
        assertThat(mConnection.isUsable(mTicker.nanos(), request("next", false))).isTrue();
        mTicker.advance(Duration.ofMillis(1_000));
        assertThat(mConnection.isUsable(mTicker.nanos(), request("next", false))).isFalse();
    }

    /** The next request on the connection would get no response until its deadline. */
    @Test
    void aPauseOfReadingEndsWithItsRequest() {
        send("one", false);
        mConnection.setReading(false);
        answer(OK);

        assertThat(mListener.mComplete).isTrue();
        assertThat(mChannel.config().isAutoRead()).isTrue();
    }

    @Test
    void connectionCloseOfTheUpstreamIsRespected() {
        send("one", false);
        answer(OK.replace("x-signed: 1", "Connection: close"));

        assertThat(mListener.mComplete).isTrue();
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void aCancelledRequestClosesItsConnectionAndReportsNoFailure() {
        send("one", false);
        mConnection.cancel();

        assertThat(mChannel.isOpen()).isFalse();
        assertThat(mListener.mFailure).isNull();
    }

    @Test
    void aContinueResponseIsSkipped() {
        send("one", false);
        answer("HTTP/1.1 100 Continue\r\n\r\n" + OK);

        assertThat(mListener.mComplete).isTrue();
    }

    private void send(String id, boolean reused) {
        mConnection.send(request(id, false), mListener, reused);
        for (ByteBuf part = mChannel.readOutbound(); part != null; part = mChannel.readOutbound()) {
            part.release();
        }
    }

    private static UpstreamRequest request(String id, boolean nonRepeatable) {
        HttpHeaders headers = new DefaultHttpHeaders().set("x-id", id);
        return new UpstreamRequest(
                HttpMethod.GET, "/a", () -> headers, new byte[0], id, nonRepeatable);
    }

    private void answer(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Records the calls of the connection. */
    private static final class RecordedListener implements UpstreamListener {
        private ResponseHead mHead;
        private final StringBuilder mBody = new StringBuilder();
        private boolean mComplete;
        private Failure mFailure;

        @Override
        public void onHead(ResponseHead head, HttpHeaders headers) {
            mHead = head;
        }

        @Override
        public void onBody(byte[] part) {
            mBody.append(new String(part, StandardCharsets.UTF_8));
        }

        @Override
        public void onComplete() {
            mComplete = true;
        }

        @Override
        public void onFailure(Failure failure, String cause) {
            mFailure = failure;
        }
    }
}
