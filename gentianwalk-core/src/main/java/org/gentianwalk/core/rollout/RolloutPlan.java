package org.gentianwalk.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.dispatch.PeerView;

/**
 * Decides on one rollout order for one instance, from the instance's own observations and the
 * cumulative counters of the others. Not safe for use by several threads at once.
 */
public final class RolloutPlan {
    /**
     * Parts of the time limit from which traffic moves. 60% at least is observed, since some
     * versions turn bad later; 70% leaves 12 s of streams the time to be moved and reported. What
     * hasn't moved by 85% can't end in time.
     */
    private static final double MOVE_FROM = 0.7;

    private static final double MOVE_UNTIL = 0.85;

    /**
     * Time before the limit at which running streams at old upstreams are moved: 5 s, or 28% of a
     * short limit. Two reports of each other instance have to arrive after that. 20% of 12 s kept 5
     * of 100 good versions from completing, with reports each second of which 10% were lost.
     */
    private static final long MAX_MOVE_STREAMS_NANOS = 5_000_000_000L;

    private static final double MOVE_STREAMS_PART = 0.28;

    /**
     * Part of the time limit from which a rollout completes. Until then, evidence is gathered,
     * since completing can't be undone; the rest is for the write of the status.
     */
    private static final double COMPLETE_FROM = 0.85;

    /** Part of the time limit from which evidence is also tested without what came before. */
    private static final double WINDOW_FROM = 0.4;

    /** Age of a report after which its old attempts are not relied on: 3 s, and a lost report. */
    private static final long MAX_REPORT_AGE_NANOS = 5_000_000_000L;

    /** Attempts on the new version by which a route may be ahead of the one with the fewest. */
    private static final int MAX_LEAD = 2;

    private final RolloutOrder mOrder;
    private final ExposureAllowance mAllowance;
    private final EvidenceTable mOwn = new EvidenceTable();
    private final EvidenceTable mTotal = new EvidenceTable();
    private final List<EvidenceTable> mWindows = new ArrayList<>();
    private final Map<String, Peer> mPeers = new HashMap<>();
    private Set<String> mLive = Set.of();
    private RolloutPhase mPhase = RolloutPhase.OBSERVING;
    private Verdict mVerdict;
    private long mKeptRequests;
    private int mOldAttempts;
    private boolean mRestored;
    private boolean mStoreReachable = true;
    private boolean mRejected;
    private String mReason = "observing";

    /**
     * Creates a plan that observes.
     *
     * @param order the order
     * @param limits bounds on the requests that the new version may get while it is observed
     */
    public RolloutPlan(RolloutOrder order, ExposureLimits limits) {
        mOrder = order;
        mAllowance = new ExposureAllowance(order, limits);
        mVerdict = new Verdict(mTotal, mWindows, mTotal);
    }

    /** The newest report of another instance, and how much of it the kept evidence contains. */
    private record Peer(RolloutReport report, List<VersionCounters> kept, long receivedNanos) {}

    /**
     * Returns the order that this plan decides on.
     *
     * @return the order
     */
    public RolloutOrder order() {
        return mOrder;
    }

    /**
     * Sets the live instances, which share the slack of the exposure. Until the first call, this
     * instance has no part of it.
     *
     * @param view the live instances, named as in {@link #mergePeer}
     */
    public void updatePeers(PeerView view) {
        mAllowance.updatePeers(view);
        mLive = view.peers();
    }

    /**
     * Records that a request for the service arrived at this instance, once per request and not per
     * attempt.
     *
     * @param nowNanos monotonic time of the arrival
     */
    public void recordRequest(long nowNanos) {
        mAllowance.observe(nowNanos);
        mAllowance.recordRequest();
    }

    /**
     * Returns whether a new attempt may go to a version now. Changes nothing. While both versions
     * are permitted, the attempt goes to the new one where it has an upstream, or else the version
     * isn't observed.
     *
     * @param route name of the request's route
     * @param newVersion true for the version of the order, false for any other
     * @param retry whether the request has had an attempt before
     * @param nowNanos monotonic time of the decision
     * @return false when the attempt has to go to the other version
     */
    public boolean mayStart(String route, boolean newVersion, boolean retry, long nowNanos) {
        if (!newVersion) {
            return mPhase == RolloutPhase.ROLLED_BACK
                    || mPhase == RolloutPhase.OBSERVING
                    || (mRejected && mPhase != RolloutPhase.COMPLETED);
        }
        if (mPhase == RolloutPhase.COMPLETED) {
            return true;
        }
        if (mRejected || mPhase == RolloutPhase.ROLLED_BACK || nowNanos >= mOrder.deadlineNanos()) {
            return false;
        }
        return mPhase == RolloutPhase.MOVING
                || (mAllowance.permits(retry, nowNanos) && isNext(route));
    }

    /**
     * Returns whether a route gets the next attempt on the new version. Routes get equally many, as
     * far as their traffic permits; no route gives more than half, since the old version is
     * observed for comparison.
     */
    private boolean isNext(String route) {
        long least = Long.MAX_VALUE;
        for (String each : mTotal.routes()) {
            if (hasShareLeft(each)) {
                least = Math.min(least, mTotal.counters(each, true).started());
            }
        }
        long started = mTotal.counters(route, true).started();
        return hasShareLeft(route) && (least == Long.MAX_VALUE || started < least + MAX_LEAD);
    }

    private boolean hasShareLeft(String route) {
        return mTotal.counters(route, true).started() <= mTotal.counters(route, false).started();
    }

    /**
     * Records the start of an attempt, before it is sent. Attempts that run when the plan is
     * created have none.
     *
     * @param route name of the request's route
     * @param newVersion version of the upstream
     * @param nowNanos monotonic time of the start
     */
    public void recordStart(String route, boolean newVersion, long nowNanos) {
        mAllowance.observe(nowNanos);
        if (newVersion) {
            mAllowance.recordStart();
        }
        mOwn.at(route, newVersion).start();
        mTotal.at(route, newVersion).start();
    }

    /**
     * Records the time to the first output of an attempt that still runs. The end of this attempt
     * then states no time to the first output.
     *
     * @param route name of the request's route
     * @param newVersion version of the upstream
     * @param firstNanos time from the start of the attempt to the first output
     * @param nowNanos monotonic time of the first output
     */
    public void recordFirst(String route, boolean newVersion, long firstNanos, long nowNanos) {
        mOwn.at(route, newVersion).first(firstNanos);
        mTotal.at(route, newVersion).first(firstNanos);
    }

    /**
     * Records the end of an attempt by an answer or by a failure of the upstream. An attempt that
     * the caller or the scheduler ended, or that ended because the process of the upstream was
     * lost, says nothing on the version and is not recorded.
     *
     * @param route name of the request's route
     * @param newVersion version of the upstream
     * @param failed whether the upstream failed
     * @param firstNanos time to the first output; negative when not known or recorded before
     * @param totalNanos duration of the attempt; negative when not known or not comparable, as that
     *     of a resumed stream
     * @param nowNanos monotonic time of the end
     */
    public void recordAnswer(
            String route,
            boolean newVersion,
            boolean failed,
            long firstNanos,
            long totalNanos,
            long nowNanos) {
        VersionEvidence evidence = mOwn.at(route, newVersion);
        VersionEvidence sum = mTotal.at(route, newVersion);
        if (firstNanos >= 0 && !failed) {
            evidence.first(firstNanos);
            sum.first(firstNanos);
        }
        if (failed) {
            evidence.fail();
            sum.fail();
        } else if (evidence.succeed(totalNanos)) {
            // The sum contains the same observations, so it has a known duration as well.
            sum.succeed(totalNanos);
        }
    }

    /**
     * Sets the number of this instance's attempts that run at upstreams of other versions.
     *
     * @param running the number
     */
    public void recordOldAttempts(int running) {
        mOldAttempts = running;
    }

    /**
     * Takes over the newest report of another instance. A report on another order, or one that is
     * older than the one known, is ignored. An instance that has restarted needs another
     * identifier, such as one with its incarnation, since its counters start again.
     *
     * @param instance identifier of the other instance
     * @param report its report
     * @param nowNanos monotonic time of the receipt
     */
    public void mergePeer(String instance, RolloutReport report, long nowNanos) {
        Peer known = mPeers.get(instance);
        if (!isForOrder(report) || (known != null && isOlder(report, known.report()))) {
            return;
        }
        if (known != null) {
            mTotal.add(known.report().counters(), -1);
            mTotal.add(known.kept(), 1);
        }
        // What a peer reports first after a restart of this instance is part of the kept evidence.
        List<VersionCounters> kept =
                known != null ? known.kept() : mRestored ? report.counters() : List.of();
        mTotal.add(report.counters(), 1);
        mTotal.add(kept, -1);
        mPeers.put(instance, new Peer(report, kept, nowNanos));
        if (report.rejected()) {
            reject("found bad or ended by instance " + instance);
        }
    }

    private boolean isForOrder(RolloutReport report) {
        return report.service().equals(mOrder.service())
                && report.era() == mOrder.era()
                && report.revision() == mOrder.revision();
    }

    private static boolean isOlder(RolloutReport report, RolloutReport known) {
        return report.requests() < known.requests()
                || ends(report) < ends(known)
                || (known.rejected() && !report.rejected());
    }

    private static long ends(RolloutReport report) {
        long ends = 0;
        for (VersionCounters each : report.counters()) {
            ends += each.started() + each.answered() + each.timed();
        }
        return ends;
    }

    /**
     * Sets the other instances that must have no old attempt before completing. The evidence of
     * instances that are gone is kept.
     *
     * @param instances identifiers of the live instances
     */
    public void retainPeers(Set<String> instances) {
        mLive = Set.copyOf(instances);
    }

    /**
     * Returns what this instance has observed. Until it moves, it reports {@link
     * RolloutReport#MAY_START_OLD} further old attempts, so that no other instance completes.
     *
     * @return the report for the other instances
     */
    public RolloutReport report() {
        boolean moved =
                mPhase == RolloutPhase.COMPLETED || (mPhase == RolloutPhase.MOVING && !mRejected);
        int running = moved ? mOldAttempts : mOldAttempts + RolloutReport.MAY_START_OLD;
        return report(mAllowance.requests(), running, mOwn);
    }

    private RolloutReport report(long requests, int running, EvidenceTable table) {
        return new RolloutReport(
                mOrder.service(),
                mOrder.era(),
                mOrder.revision(),
                requests,
                running,
                mRejected,
                table.counters());
    }

    /**
     * Advances the phase from observing to moving, or rejects the version. Final phases are entered
     * by {@link #follow} only.
     *
     * @param nowNanos current monotonic time
     */
    public void advance(long nowNanos) {
        mAllowance.observe(nowNanos);
        if (mPhase.isFinal() || mRejected) {
            return;
        }
        if (mWindows.isEmpty() && elapsed(nowNanos) >= WINDOW_FROM) {
            openWindow();
        }
        EvidenceTable concurrent = mPhase == RolloutPhase.MOVING ? mWindows.getLast() : mTotal;
        mVerdict = new Verdict(mTotal, lateEvidence(), concurrent);
        if (mVerdict.isBad()) {
            reject("the new version is bad");
            return;
        }
        if (nowNanos >= mOrder.deadlineNanos()) {
            reject("the time limit has passed in phase " + mPhase);
            return;
        }
        if (mPhase == RolloutPhase.OBSERVING && mStoreReachable && elapsed(nowNanos) >= MOVE_FROM) {
            move(elapsed(nowNanos));
        }
    }

    /** Moves when the evidence suffices, or after another instance, whose evidence sufficed. */
    private void move(double elapsed) {
        boolean follows = mPeers.values().stream().anyMatch(peer -> peer.report().hasMoved());
        if (follows || (elapsed < MOVE_UNTIL && mVerdict.permitsMoving())) {
            mPhase = RolloutPhase.MOVING;
            mReason = follows ? "another instance moves" : "no fault was found";
            openWindow();
        }
    }

    /** Starts a window of evidence by noting what was observed before. */
    private void openWindow() {
        var before = new EvidenceTable();
        before.add(mTotal.counters(), 1);
        mWindows.add(before);
    }

    private List<EvidenceTable> lateEvidence() {
        var late = new ArrayList<EvidenceTable>();
        for (EvidenceTable before : mWindows) {
            var table = new EvidenceTable();
            table.add(mTotal.counters(), 1);
            table.add(before.counters(), -1);
            late.add(table);
        }
        return late;
    }

    private double elapsed(long nowNanos) {
        return (nowNanos - mOrder.startedNanos()) / Math.max(1.0, mOrder.durationNanos());
    }

    private void reject(String why) {
        if (!mRejected && !mPhase.isFinal()) {
            mRejected = true;
            mReason = why;
        }
    }

    /**
     * Returns the phase.
     *
     * @return the phase as of the last {@link #advance} or {@link #follow}; a rejected version
     *     stays in its phase until the status row is final
     */
    public RolloutPhase phase() {
        return mPhase;
    }

    /**
     * Returns whether the status row may be set to completed: all attempts go to the new version,
     * none runs at an old upstream of any live instance, and the evidence suffices.
     *
     * @param nowNanos current monotonic time
     * @return true when completing is allowed
     */
    public boolean isReadyToComplete(long nowNanos) {
        if (mPhase != RolloutPhase.MOVING || mRejected || nowNanos >= mOrder.deadlineNanos()) {
            return false;
        }
        if (mOldAttempts > 0) {
            return false;
        }
        for (String instance : mLive) {
            Peer peer = mPeers.get(instance);
            if (peer == null
                    || peer.report().oldAttempts() > 0
                    || nowNanos - peer.receivedNanos() > MAX_REPORT_AGE_NANOS) {
                return false;
            }
        }
        return elapsed(nowNanos) >= COMPLETE_FROM && mVerdict.permitsCompleting();
    }

    /**
     * Returns whether the new version is found bad, or the time limit has passed, or the order was
     * withdrawn, so that the status row is to be set to rolled back.
     *
     * @return true when the new version gets no further attempt by this instance's decision
     */
    public boolean isRejected() {
        return mRejected || mPhase == RolloutPhase.ROLLED_BACK;
    }

    /**
     * Returns whether running streams at old upstreams are to be moved now.
     *
     * @param nowNanos current monotonic time
     * @return true shortly before the time limit while moving
     */
    public boolean movesStreams(long nowNanos) {
        double before =
                Math.min(MAX_MOVE_STREAMS_NANOS, MOVE_STREAMS_PART * mOrder.durationNanos());
        return mPhase == RolloutPhase.MOVING
                && !mRejected
                && nowNanos >= mOrder.deadlineNanos() - before;
    }

    /**
     * Follows the final state of the status row, which overrides this instance's own decision.
     *
     * @param finalPhase {@link RolloutPhase#COMPLETED} or {@link RolloutPhase#ROLLED_BACK}
     */
    public void follow(RolloutPhase finalPhase) {
        if (!finalPhase.isFinal()) {
            throw new IllegalArgumentException("phase " + finalPhase + " is not final");
        }
        if (!mPhase.isFinal()) {
            mPhase = finalPhase;
            mRejected = finalPhase == RolloutPhase.ROLLED_BACK;
        }
    }

    /** Ends the rollout because its order was withdrawn or replaced. */
    public void withdraw() {
        reject("the order was withdrawn or replaced");
    }

    /**
     * Sets whether the store can be read. While it can't, observing does not change to moving.
     *
     * @param reachable whether the last access to the store succeeded
     */
    public void updateStore(boolean reachable) {
        mStoreReachable = reachable;
    }

    /**
     * Returns the reason for the phase, for the log.
     *
     * @return counts, failure rates and test statistics
     */
    public String explanation() {
        return String.format(
                Locale.ROOT,
                "%s%s: %s; %s",
                mPhase,
                mRejected ? ", rejected" : "",
                mReason,
                mVerdict.explanation());
    }

    /**
     * Returns the evidence of all instances, to be kept for a restart.
     *
     * @return one report with the sums of all instances
     */
    public RolloutReport evidenceToKeep() {
        long requests = mKeptRequests + mAllowance.requests();
        for (Peer peer : mPeers.values()) {
            requests += peer.report().requests();
        }
        return report(requests, RolloutReport.MAY_START_OLD, mTotal);
    }

    /**
     * Takes over evidence kept before a restart of this instance or of all, before the first report
     * of another instance is merged. Evidence on another order is ignored.
     *
     * @param kept the evidence
     */
    public void restore(RolloutReport kept) {
        if (!isForOrder(kept) || mRestored) {
            return;
        }
        mRestored = true;
        mKeptRequests = kept.requests();
        mTotal.add(kept.counters(), 1);
        if (kept.rejected()) {
            reject("found bad before a restart");
        }
    }
}
