package org.gentianwalk.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.dispatch.PeerView;
import org.gentianwalk.core.rollout.RolloutTrial.Form;
import org.gentianwalk.core.rollout.RolloutTrial.Onset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the edges of an order and the exposure without messages. */
class RolloutPlanTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RolloutOrder ORDER =
            new RolloutOrder("s", "v2", 1, 7, 100 * SECOND, 12 * SECOND);

    private final RolloutPlan mPlan = plan(ORDER, PeerView.ALONE);

    /** An instance that starts late must not test a version whose time is over. */
    @Test
    void anOrderWhoseTimeLimitHasPassedIsRejected() {
        long now = ORDER.deadlineNanos();

        assertThat(mPlan.mayStart("r", true, false, now)).isFalse();
        mPlan.advance(now);

        assertThat(mPlan.isRejected()).isTrue();
        assertThat(mPlan.mayStart("r", false, false, now)).isTrue();
    }

    /** A withdrawn or replaced order must not leave requests at the new version. */
    @Test
    void aWithdrawnOrderIsRejected() {
        assertThat(mPlan.mayStart("r", true, false, 100 * SECOND)).isTrue();

        mPlan.withdraw();

        assertThat(mPlan.isRejected()).isTrue();
        assertThat(mPlan.mayStart("r", true, true, 100 * SECOND)).isFalse();
        assertThat(mPlan.report().rejected()).isTrue();
    }

    /** A version in force is completed at once, by the row, and never left. */
    @Test
    void aFinalPhaseIsNeverLeft() {
        mPlan.follow(RolloutPhase.COMPLETED);
        mPlan.withdraw();
        mPlan.follow(RolloutPhase.ROLLED_BACK);
        mPlan.advance(200 * SECOND);

        assertThat(mPlan.phase()).isEqualTo(RolloutPhase.COMPLETED);
        assertThat(mPlan.isRejected()).isFalse();
        assertThat(mPlan.mayStart("r", true, false, 200 * SECOND)).isTrue();
        assertThat(mPlan.mayStart("r", false, false, 200 * SECOND)).isFalse();
    }

    /** The old upstreams have stopped when the row says completed, whatever this instance found. */
    @Test
    void theRowOverridesTheOwnResult() {
        mPlan.withdraw();
        mPlan.follow(RolloutPhase.COMPLETED);

        assertThat(mPlan.mayStart("r", true, false, 101 * SECOND)).isTrue();
        assertThat(mPlan.mayStart("r", false, false, 101 * SECOND)).isFalse();
    }

    /** Evidence on a replaced order must not decide on the new one. */
    @Test
    void reportsOnAnotherOrderAreIgnored() {
        var other = new RolloutOrder("s", "v2", 1, 6, 0, 12 * SECOND);
        RolloutPlan replaced = plan(other, PeerView.ALONE);
        replaced.recordStart("r", true, 0);
        replaced.withdraw();

        mPlan.mergePeer("i1", replaced.report(), 100 * SECOND);
        mPlan.restore(replaced.evidenceToKeep());

        assertThat(mPlan.isRejected()).isFalse();
        assertThat(mPlan.evidenceToKeep().counters()).isEmpty();
    }

    /** An instance must stop at once when another one has found the version bad. */
    @Test
    void aRejectionIsLearnedFromAPeer() {
        RolloutPlan peer = plan(ORDER, PeerView.ALONE);
        peer.withdraw();

        mPlan.mergePeer("i1", peer.report(), 100 * SECOND);

        assertThat(mPlan.mayStart("r", true, false, 100 * SECOND)).isFalse();
    }

    /**
     * Completing stops the old upstreams, so an old attempt at any instance has to hold it back.
     */
    @Test
    void completingWaitsForOldAttemptsAndReportsOfAllInstances() {
        mPlan.updatePeers(new PeerView(Set.of("i1"), 0));
        observeGood(mPlan, 100 * SECOND);
        mPlan.advance(109 * SECOND);
        assertThat(mPlan.phase()).isEqualTo(RolloutPhase.MOVING);
        long now = 111 * SECOND;
        mPlan.advance(now);
        assertThat(mPlan.isReadyToComplete(now)).isFalse();

        RolloutPlan peer = plan(ORDER, new PeerView(Set.of("i0"), 1));
        mPlan.mergePeer("i1", peer.report(), now);
        assertThat(mPlan.isReadyToComplete(now)).isFalse();

        peer.mergePeer("i0", mPlan.report(), now);
        peer.advance(now);
        peer.recordOldAttempts(1);
        mPlan.mergePeer("i1", peer.report(), now);
        assertThat(mPlan.isReadyToComplete(now)).isFalse();

        peer.recordOldAttempts(0);
        mPlan.mergePeer("i1", peer.report(), now);
        assertThat(mPlan.isReadyToComplete(now)).isTrue();
        assertThat(mPlan.isReadyToComplete(ORDER.deadlineNanos())).isFalse();
    }

    /** Moving without the store could end in a state that nobody can write. */
    @Test
    void observingDoesNotEndWhileTheStoreIsDown() {
        observeGood(mPlan, 100 * SECOND);
        mPlan.updateStore(false);
        mPlan.advance(109 * SECOND);
        assertThat(mPlan.phase()).isEqualTo(RolloutPhase.OBSERVING);

        mPlan.updateStore(true);
        mPlan.advance(109 * SECOND);
        assertThat(mPlan.phase()).isEqualTo(RolloutPhase.MOVING);
    }

    /** Evidence must neither be lost by a restart nor counted twice. */
    @Test
    void keptEvidenceCountsOnce() {
        RolloutPlan peer = plan(ORDER, PeerView.ALONE);
        observeGood(peer, 100 * SECOND);
        mPlan.mergePeer("i1", peer.report(), 101 * SECOND);
        mPlan.mergePeer("i1", peer.report(), 102 * SECOND);
        RolloutPlan restarted = plan(ORDER, PeerView.ALONE);
        restarted.restore(mPlan.evidenceToKeep());
        restarted.mergePeer("i1", peer.report(), 103 * SECOND);
        assertThat(restarted.evidenceToKeep().counters())
                .isEqualTo(peer.evidenceToKeep().counters());

        peer.recordStart("r", true, 103 * SECOND);
        restarted.mergePeer("i1", peer.report(), 104 * SECOND);
        assertThat(restarted.evidenceToKeep().counters().getLast().started()).isEqualTo(41);
    }

    /** Instances that hear nothing of each other must not use the slack more than once. */
    @ParameterizedTest
    @ValueSource(ints = {1, 6, 50, 86, 300})
    void theExposureHoldsWithoutMessages(int instances) {
        var form = new Form(instances, 400, 12, false, 0, 1, 1, Onset.START);
        for (long seed = 1; seed <= 5; seed++) {
            RolloutTrial.Outcome outcome = new RolloutTrial(form, seed).withoutMessages().run();
            assertThat(outcome.keepsExposure()).as("%s", outcome).isTrue();
        }
        long started = 0;
        for (int i = 0; i < instances; i++) {
            RolloutPlan plan = plan(ORDER, view(instances, i));
            plan.updatePeers(PeerView.ALONE);
            for (int k = 0; k < 100; k++) {
                plan.recordStart("r", false, 100 * SECOND);
            }
            plan.advance(100 * SECOND);
            for (; plan.mayStart("r", true, true, 107 * SECOND); started++) {
                plan.recordStart("r", true, 107 * SECOND);
            }
        }
        assertThat(started).isEqualTo(50);
    }

    private static PeerView view(int instances, int position) {
        var others = new HashSet<String>();
        for (int i = 0; i < instances - 1; i++) {
            others.add("i" + i);
        }
        return new PeerView(others, position);
    }

    private static RolloutPlan plan(RolloutOrder order, PeerView view) {
        var plan = new RolloutPlan(order, RolloutTrial.LIMITS);
        plan.updatePeers(view);
        return plan;
    }

    /** Forty equally fast successes of either version. */
    private static void observeGood(RolloutPlan plan, long now) {
        for (int i = 0; i < 40; i++) {
            for (boolean newVersion : List.of(false, true)) {
                plan.recordStart("r", newVersion, now);
                plan.recordAnswer("r", newVersion, false, SECOND / 50, SECOND / 20, now);
            }
        }
    }
}
