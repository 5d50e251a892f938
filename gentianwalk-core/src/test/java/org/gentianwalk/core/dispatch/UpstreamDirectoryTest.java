package org.gentianwalk.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;
import static org.gentianwalk.core.dispatch.Samples.draining;
import static org.gentianwalk.core.dispatch.Samples.upstream;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests to removed upstreams, and against losing all when the list fails. */
class UpstreamDirectoryTest {
    private final Upstream mFirst = upstream("first", "a");
    private final Upstream mSecond = upstream("second", "b");
    private final UpstreamDirectory mDirectory = new UpstreamDirectory();

    UpstreamDirectoryTest() {
        mDirectory.replaceAll(List.of(mFirst, mSecond), 0);
    }

    @Test
    void anEntryRemovedWhileTheListIsAvailableIsDroppedImmediately() {
        mDirectory.remove("first", SECOND);

        assertThat(mDirectory.upstreams("service")).containsExactly(mSecond);
    }

    @Test
    void entriesExpiredDuringAnOutageAreKeptForTheGracePeriod() {
        mDirectory.recordOutage(SECOND);
        mDirectory.replaceAll(List.of(mSecond), 8 * SECOND);
        mDirectory.advance(9 * SECOND);

        assertThat(mDirectory.upstreams("service")).containsExactly(mFirst, mSecond);

        mDirectory.advance(8 * SECOND + UpstreamDirectory.GRACE_NANOS);

        assertThat(mDirectory.upstreams("service")).containsExactly(mSecond);
    }

    @Test
    void anEntryRewrittenInTimeStays() {
        mDirectory.recordOutage(SECOND);
        mDirectory.replaceAll(List.of(mSecond), 8 * SECOND);
        mDirectory.put(mFirst, 9 * SECOND);
        mDirectory.advance(20 * SECOND);

        assertThat(mDirectory.upstreams("service")).contains(mFirst);
    }

    @Test
    void aDrainingEntryThatExpiresIsNotKept() {
        mDirectory.put(draining(mFirst), SECOND);
        mDirectory.recordOutage(2 * SECOND);
        mDirectory.replaceAll(List.of(mSecond), 8 * SECOND);

        assertThat(mDirectory.upstreams("service")).containsExactly(mSecond);
    }

    @Test
    void aRemovalLongAfterAnOutageTakesEffectImmediately() {
        mDirectory.recordOutage(SECOND);
        mDirectory.recordRecovery(2 * SECOND);
        mDirectory.remove("first", 20 * SECOND);

        assertThat(mDirectory.upstreams("service")).containsExactly(mSecond);
    }

    @Test
    void onlyChangesAreReported() {
        assertThat(mDirectory.takeChanged()).isTrue();
        mDirectory.put(mFirst, MS);
        assertThat(mDirectory.takeChanged()).isFalse();
        mDirectory.put(draining(mFirst), 2 * MS);
        assertThat(mDirectory.takeChanged()).isTrue();
    }

    /** An entry that is written again unchanged is neither logged nor passed on. */
    @Test
    void anEntryThatIsWrittenAgainChangesNothing() {
        Upstream third = upstream("third", "a");
        assertThat(mDirectory.put(third, SECOND)).isTrue();
        assertThat(mDirectory.takeChanged()).isTrue();

        assertThat(mDirectory.put(third, 2 * SECOND)).isFalse();
        assertThat(mDirectory.takeChanged()).isFalse();

        assertThat(mDirectory.put(draining(third), 3 * SECOND)).isTrue();
        assertThat(mDirectory.takeChanged()).isTrue();
    }

    /** Its removal was logged, so that its return has to be as well. */
    @Test
    void anExpiringEntryThatIsWrittenAgainCountsAsListed() {
        mDirectory.replaceAll(List.of(mFirst), 0);
        mDirectory.recordOutage(SECOND);
        mDirectory.recordRecovery(2 * SECOND);
        mDirectory.remove("first", 2 * SECOND);

        assertThat(mDirectory.put(mFirst, 3 * SECOND)).isTrue();
        assertThat(mDirectory.put(mFirst, 4 * SECOND)).isFalse();
    }
}
