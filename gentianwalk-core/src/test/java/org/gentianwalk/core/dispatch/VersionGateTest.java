package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.finishes;
import static org.gentianwalk.core.dispatch.Samples.starts;
import static org.gentianwalk.core.dispatch.Samples.stream;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;

/** Guards against attempts at versions that may get none, in all ways in which attempts start. */
class VersionGateTest {
    private final List<Upstream> mUpstreams =
            List.of(upstream("old1", "a"), upstream("old2", "b"), upstream("new1", "c"));
    private final Gate mGate = new Gate();

    /** Permits upstreams by name, prefers new ones, and notes the attempts. */
    private static final class Gate implements VersionGate {
        final Set<String> mClosed = new HashSet<>();
        final List<String> mStarted = new ArrayList<>();

        @Override
        public boolean isPermitted(Work work, Upstream upstream, long nowNanos) {
            return !mClosed.contains(upstream.id());
        }

        @Override
        public VersionGate preferred(Work work, long nowNanos) {
            return (request, upstream, now) ->
                    upstream.id().startsWith("new") && isPermitted(request, upstream, now);
        }

        @Override
        public void recordStart(Work work, int attempt, Upstream upstream, long nowNanos) {
            mStarted.add(work.id() + "/" + attempt + " " + upstream.id());
        }
    }

    /** The new upstream is in another region, so that the least cost never selects it. */
    @Test
    void theVersionIsChosenBeforeTheUpstream() {
        CallScheduler calls = Samples.callScheduler(Samples.limits());
        StreamScheduler streams = Samples.streamScheduler(Samples.limits());
        for (WorkScheduler scheduler : List.of(calls, streams)) {
            scheduler.versionGate(mGate);
            scheduler.replaceUpstreams(mUpstreams, 0);
        }
        calls.offer(Samples.call(1, RequestKind.SINGLE_CALL, 1, 0), 0);
        streams.offer(stream(2, 2, 8_000, 0), 0);

        assertThat(mGate.mStarted).containsExactly("1/1 new1", "2/1 new1");
    }

    @Test
    void aCallGoesToAnotherPermittedVersionOrIsRefused() {
        CallScheduler scheduler = Samples.callScheduler(Samples.limits());
        scheduler.versionGate(mGate);
        scheduler.replaceUpstreams(mUpstreams, 0);
        mGate.mClosed.add("new1");
        scheduler.offer(Samples.call(1, RequestKind.IDEMPOTENT_CALL, 3, 0), 0);
        scheduler.recordAttemptEnd(1, 1, AttemptEnd.ANSWERED_ERROR, MS);
        mGate.mClosed.addAll(Set.of("old1", "old2"));
        scheduler.offer(Samples.call(2, RequestKind.SINGLE_CALL, 1, 0), MS);

        assertThat(mGate.mStarted).containsExactly("1/1 old1", "1/2 old2");
        assertThat(finishes(scheduler.advance(MS)))
                .singleElement()
                .satisfies(finish -> assertThat(finish.work().id()).isEqualTo(2));
    }

    /** A copy of the KV cache at a version that was rolled back must not be used. */
    @Test
    void aLostStreamDoesNotContinueAtAClosedVersion() {
        StreamScheduler scheduler = Samples.streamScheduler(Samples.limits());
        scheduler.versionGate(mGate);
        mGate.mClosed.addAll(Set.of("old1", "old2"));
        scheduler.replaceUpstreams(mUpstreams, 0);
        scheduler.offer(stream(1, 2, 8_000, 0), 0);
        Decision.Start first = starts(scheduler.advance(0)).getFirst();
        scheduler.recordProgress(1, 1, new Progress(1, SECOND, 0));
        mGate.mClosed.clear();
        mGate.mClosed.add("new1");
        mGate.mClosed.add(first.copyHolder().id());
        scheduler.recordAttemptEnd(1, 1, AttemptEnd.RESET, 2 * SECOND);

        Decision.Start second = starts(scheduler.advance(2 * SECOND)).getFirst();
        assertThat(mGate.mClosed).doesNotContain(second.upstream().id());
        assertThat(second.copy()).isNull();
    }

    @Test
    void streamsThatMayBeResumedAreMoved() {
        StreamScheduler scheduler = Samples.streamScheduler(Samples.limits());
        scheduler.versionGate(mGate);
        mGate.mClosed.add("new1");
        scheduler.replaceUpstreams(mUpstreams, 0);
        scheduler.offer(stream(1, 2, 8_000, 0), 0);
        scheduler.recordProgress(1, 1, new Progress(1, SECOND, 0));
        scheduler.advance(SECOND);
        scheduler.moveStreams(upstream -> upstream.id().startsWith("old"), SECOND);
        assertThat(starts(scheduler.advance(SECOND))).as("without a new engine").isEmpty();

        mGate.mClosed.clear();
        scheduler.moveStreams(upstream -> upstream.id().startsWith("old"), SECOND);

        Decision.Start moved = starts(scheduler.advance(SECOND)).getFirst();
        assertThat(moved.upstream().id()).isEqualTo("new1");
        assertThat(moved.beside()).as("the old attempt ends").isEmpty();
    }
}
