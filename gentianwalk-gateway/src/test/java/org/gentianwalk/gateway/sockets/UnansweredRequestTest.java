package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.gateway.http.PlainDialect;
import org.gentianwalk.gateway.store.UnreadableRowException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against whole requests whose connection ends without an answer. */
class UnansweredRequestTest {
    private static final Duration GRACE = Duration.ofSeconds(4);

    private final Set<String> mExecuted = ConcurrentHashMap.newKeySet();
    private final CountDownLatch mControlBlocked = new CountDownLatch(1);
    private final CountDownLatch mControlReleased = new CountDownLatch(1);
    private GatewayFleet mFleet;
    private ScriptedUpstream mDesk;
    private GatewayFleet.Instance mInstance;

    /** Rows of which one blocks the control thread. */
    private final class BlockingRows extends PlainRows {
        @Override
        public Upstream parseUpstream(String id, byte[] value) throws UnreadableRowException {
            if (id.equals("blocks")) {
                mControlBlocked.countDown();
                try {
                    mControlReleased.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return super.parseUpstream(id, value);
        }
    }

    @BeforeEach
    void start() throws Exception {
        mFleet = new GatewayFleet(new PlainDialect(), new BlockingRows());
        mDesk =
                new ScriptedUpstream(
                        "u1",
                        (request, connection) -> {
                            mExecuted.add(request.id());
                            if (request.target().contains("slow")) {
                                Thread.sleep(60_000);
                            }
                            boolean large = request.target().contains("large");
                            if (large) {
                                Thread.sleep(200);
                            }
                            String body = "x".repeat(large ? 250_000 : 2);
                            connection.write(ScriptedUpstream.success(request, body));
                        });
        mFleet.configure(Duration.ofSeconds(15));
        mFleet.list(mDesk.entry(GatewayFleet.DESK, "a"));
        mInstance = mFleet.start("i1", "a", GRACE);
    }

    @AfterEach
    void stop() throws Exception {
        mControlReleased.countDown();
        mFleet.close();
        mDesk.close();
    }

    /** A time limit of a caller may exceed the range of nanoseconds. */
    @Test
    void aRequestWithAVeryLongTimeLimitIsAnswered() throws Exception {
        for (String limit : new String[] {"999999999999999999", "9200000000000"}) {
            try (RawCaller caller = mInstance.caller()) {
                RawCaller.Response response =
                        caller.call("/unsafe/a", "long-" + limit, "x-patience: " + limit);

                assertThat(response).as("an answer at a limit of " + limit).isNotNull();
                assertThat(response.status()).isEqualTo(200);
            }
        }
    }

    /** A connection that is closed with unread input is reset, and what was written is dropped. */
    @Test
    void anAnswerBeforeTheCloseIsDeliveredAlthoughFurtherRequestsFollow() throws Exception {
        try (RawCaller caller = new RawCaller(mInstance.address(), 4_096)) {
            caller.send("/unsafe/large", "large-1", "Connection: close");
            for (int batch = 0; batch < 10; batch++) {
                for (int i = 0; i < 20; i++) {
                    caller.send("/unsafe/a", "ignored");
                }
                Thread.sleep(10);
            }
            GatewayFleet.await(
                    "the call runs", Duration.ofSeconds(2), () -> mExecuted.contains("large-1"));
            // The answer is written to the connection now, of which the caller reads nothing yet.
            Thread.sleep(700);
            RawCaller.Response response = caller.read();

            assertThat(response).isNotNull();
            assertThat(response.complete()).as("the whole answer").isTrue();
            assertThat(response.body()).hasSize(250_000);
            assertThat(mExecuted).doesNotContain("ignored");
        }
    }

    /** The process ends whether or not the control thread has decided on every request. */
    @Test
    void requestsThatWaitForADecisionAtTheEndOfAStopAreAnswered() throws Exception {
        try (RawCaller running = mInstance.caller()) {
            running.send("/unsafe/slow", "running");
            GatewayFleet.await(
                    "the call runs", Duration.ofSeconds(2), () -> mExecuted.contains("running"));
            GatewayFleet.stop(mInstance);
            Thread.sleep(GRACE.toMillis() - 1_500);
            mFleet.list(new Upstream("blocks", 1, "none", "127.0.0.1:1", "a", 1, false));
            mControlBlocked.await();
            RawCaller.Response waited;
            try (RawCaller waiting = mInstance.caller()) {
                waited = waiting.call("/unsafe/a", "waiting");
            }
            RawCaller.Response ran = running.read();
            assertThat(ran).as("an answer to the call in progress").isNotNull();
            assertThat(ran.status()).isEqualTo(502);
            assertThat(waited).as("an answer to the call without a decision").isNotNull();
            assertThat(waited.status()).isEqualTo(503);
            assertThat(waited.headers()).containsKey("retry-after");
            mControlReleased.countDown();
            mInstance.stopped().join(5_000);
            assertThat(mExecuted).doesNotContain("waiting");
        } catch (IOException e) {
            throw new AssertionError("a connection was reset", e);
        }
    }
}
