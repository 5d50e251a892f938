package org.gentianwalk.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.http.PlainDialect;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamListener;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.junit.jupiter.api.Test;

/**
 * Guards against responses of engines to queries that fill the memory or get no result, and against
 * wrong conclusions from checks.
 */
class EngineQueryClientTest {
    private static final Upstream ENGINE =
            new Upstream("engine", 1, "service", "10.0.0.1:80", "a", 6, false);
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(50);
    private static final ResponseHead HEAD =
            new ResponseHead(
                    null, 200, false, false, null, true, false, null, null, false, false, null,
                    null);

    private final ManualExecutor mTraffic = new ManualExecutor();
    private final List<UpstreamListener> mListeners = new ArrayList<>();
    private final List<Liveness> mLiveness = new ArrayList<>();
    private final List<Long> mIncarnations = new ArrayList<>();
    private final List<List<Long>> mResults = new ArrayList<>();
    private int mCancelled;
    private final EngineQueryClient mClient =
            new EngineQueryClient(
                    (address, request, listener) -> {
                        mListeners.add(listener);
                        return new UpstreamCall() {
                            @Override
                            public void cancel() {
                                mCancelled++;
                            }

                            @Override
                            public void setReading(boolean reading) {}
                        };
                    },
                    new PlainDialect(),
                    mTraffic,
                    mTraffic::nanos);

    /** An engine that is out of order may send bytes until the timeout. */
    @Test
    void aResponseWithoutEndIsAbandoned() {
        UpstreamListener listener = query();
        for (int i = 0; i < 17; i++) {
            listener.onBody(new byte[64 << 10]);
        }

        assertThat(mCancelled).isEqualTo(1);
        assertThat(mResults).containsExactly(List.of());
        listener.onBody(new byte[64 << 10]);
        mTraffic.advance(Duration.ofSeconds(1));
        assertThat(mResults).as("one result").hasSize(1);
        assertThat(mCancelled).isEqualTo(1);
    }

    /** Timers kept the responses of complete queries until the timeouts. */
    @Test
    void responsesAreReleasedWithTheirQueries() {
        long before = usedBytes();
        for (int i = 0; i < 100; i++) {
            UpstreamListener listener = query();
            listener.onBody(new byte[1 << 20]);
            listener.onComplete();
            mListeners.clear();
        }

        assertThat(mResults).hasSize(100);
        assertThat(usedBytes() - before).as("bytes retained").isLessThan(10 << 20);
    }

    /** A process that was started again with its identifier does not refute the loss before. */
    @Test
    void aResponseOfALaterStartShowsThatTheProcessHasEnded() {
        assertThat(check("1")).isEqualTo(Liveness.RESPONDED);
        assertThat(check("2")).isEqualTo(Liveness.ENDED);
        assertThat(check("")).as("a response that does not state it").isEqualTo(Liveness.RESPONDED);
        assertThat(mIncarnations).containsExactly(1L, 2L, null);
    }

    /** A check that times out is not proof of an end, and a refused connection is. */
    @Test
    void onlyARefusedConnectionShowsThatNoProcessListens() {
        assertThat(checkThatFails(UpstreamListener.Failure.REFUSED)).isEqualTo(Liveness.ENDED);
        assertThat(checkThatFails(UpstreamListener.Failure.NOT_SENT)).isEqualTo(Liveness.SILENT);
        assertThat(checkThatFails(UpstreamListener.Failure.BROKEN)).isEqualTo(Liveness.SILENT);
    }

    /** A paused instance reported its engines as silent, whose responses it had not read. */
    @Test
    void aResponseThatArrivesInAPauseOfTheInstanceCounts() {
        UpstreamListener listener = check();
        mTraffic.pause(Duration.ofMillis(1_500));
        mTraffic.advance(Duration.ofMillis(5));
        assertThat(mLiveness).as("results before the response is read").isEmpty();
        listener.onHead(HEAD, new DefaultHttpHeaders());
        listener.onComplete();
        mTraffic.advance(Duration.ofSeconds(1));

        assertThat(mLiveness).containsExactly(Liveness.RESPONDED);
    }

    /** The loss of an engine would be noticed late otherwise. */
    @Test
    void anEngineThatIsSilentAfterAPauseIsReportedAfterOneFurtherTimeout() {
        check();
        mTraffic.pause(Duration.ofMillis(1_500));
        mTraffic.advance(CHECK_TIMEOUT);

        assertThat(mLiveness).containsExactly(Liveness.SILENT);
        assertThat(mCancelled).isEqualTo(1);
    }

    @Test
    void anEngineThatIsSilentIsReportedAfterTheTimeout() {
        check();
        mTraffic.advance(CHECK_TIMEOUT);

        assertThat(mLiveness).containsExactly(Liveness.SILENT);
    }

    /** A check that never ends would hold up all others of the engine. */
    @Test
    void aCheckEndsAlthoughEachOfItsTimersRunsLate() {
        check();
        for (int i = 0; i < 4; i++) {
            assertThat(mLiveness).isEmpty();
            mTraffic.pause(Duration.ofMillis(1_500));
            mTraffic.advance(Duration.ZERO);
        }

        assertThat(mLiveness).containsExactly(Liveness.SILENT);
    }

    private Liveness check(String body) {
        UpstreamListener listener = check();
        listener.onHead(HEAD, new DefaultHttpHeaders());
        listener.onBody(body.getBytes(StandardCharsets.UTF_8));
        listener.onComplete();
        return mLiveness.getLast();
    }

    private Liveness checkThatFails(UpstreamListener.Failure failure) {
        check().onFailure(failure, "by the test");
        return mLiveness.getLast();
    }

    private UpstreamListener check() {
        mClient.checkLiveness(
                new LivenessCheck(ENGINE, CHECK_TIMEOUT),
                (liveness, incarnation) -> {
                    mLiveness.add(liveness);
                    mIncarnations.add(incarnation);
                });
        mTraffic.runAll();
        return mListeners.getLast();
    }

    private UpstreamListener query() {
        mClient.fetchParts(ENGINE, (leaving, parts) -> mResults.add(parts));
        mTraffic.runAll();
        UpstreamListener listener = mListeners.getLast();
        listener.onHead(HEAD, new DefaultHttpHeaders());
        return listener;
    }

    private static long usedBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
