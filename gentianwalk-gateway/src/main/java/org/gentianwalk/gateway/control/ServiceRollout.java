package org.gentianwalk.gateway.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.hash.KeyHash;
import org.gentianwalk.core.rollout.RolloutOrder;
import org.gentianwalk.core.rollout.RolloutPlan;
import org.gentianwalk.gateway.store.RolloutFormat.Order;
import org.gentianwalk.gateway.store.RolloutFormat.State;
import org.gentianwalk.gateway.store.RolloutFormat.Status;
import org.gentianwalk.gateway.store.StoreVersion;
import org.jspecify.annotations.Nullable;

/**
 * What an instance knows of the versions of one service: the order, the status row, the version in
 * force and the plan. Confined to the control thread.
 */
final class ServiceRollout {
    /**
     * Time after which upstreams of a further version are used without an order. An order and the
     * entries of the upstreams that it starts are read from two tables, so the entries may arrive
     * first. Upstreams are also replaced by those of another version without an order.
     */
    private static final long UNORDERED_NANOS = Duration.ofSeconds(3).toNanos();

    final String mService;

    /** The order, or null when there is none that can be read. */
    @Nullable Order mOrder;

    /** Point at which the row of the last order was written. */
    StoreVersion mOrderAt = StoreVersion.NONE;

    /** The plan of the last order; null until what was kept of it has been read. */
    @Nullable RolloutPlan mPlan;

    /** The phase that was logged last; empty at first. */
    String mLoggedPhase = "";

    /** Time at which the final state was read. */
    long mFinalAt;

    /** The status row, or null when there is none that can be read. */
    @Nullable Status mStatus;

    /** Point at which the status row was written or removed. */
    StoreVersion mStatusAt = StoreVersion.NONE;

    /** Whether the store holds a status row, which may be unreadable. */
    boolean mStatusExists;

    /** Whether the status row has to be read before anything else is done. */
    boolean mReadsStatus;

    /** Whether a call on the status row is in progress. */
    boolean mStatusCall;

    /** Time from which the status row may be accessed again. */
    long mStatusRetryAt;

    @Nullable State mWanted;
    long mWantedSince;

    /** Version of the kept row; 0 when there is none. */
    long mKeptVersion;

    boolean mKeptCall;
    boolean mKeptWritten;
    long mKeptAt;

    private String mInForce = "";
    private String mPermittedOld = "";
    private Set<String> mListedVersions = Set.of();
    private final Map<String, Long> mListedSince = new HashMap<>();

    /** Versions that a completed rollout has replaced. */
    private final Set<String> mReplaced = new HashSet<>();

    private Set<String> mObserved = Set.of();
    private boolean mHasUpstreams;

    ServiceRollout(String service) {
        mService = service;
    }

    /** Returns the version that was in force before the order, or empty when it is not known. */
    String inForce() {
        return mInForce;
    }

    void inForce(String version) {
        mInForce = version;
    }

    /**
     * Applies the list of upstreams.
     *
     * @param upstreams all listed upstreams of the service
     * @param share fraction of the new upstreams that are observed, so that they get the usual load
     * @param nowNanos current time
     */
    void updateUpstreams(Collection<Upstream> upstreams, double share, long nowNanos) {
        Set<String> versions = new HashSet<>();
        upstreams.forEach(upstream -> versions.add(upstream.version()));
        mListedVersions = versions;
        versions.forEach(version -> mListedSince.putIfAbsent(version, nowNanos));
        mListedSince.keySet().retainAll(versions);
        mHasUpstreams = !upstreams.isEmpty();
        if (!versions.isEmpty() && mInForce.isEmpty()) {
            mInForce = versions.size() == 1 ? versions.iterator().next() : oldest(upstreams);
        }
        // The entries of all upstreams may be missing for a moment, which does not put another
        // version in force.
        mPermittedOld = versions.contains(mInForce) ? mInForce : oldest(upstreams);
        mObserved = observed(upstreams, share);
    }

    /** Returns the version of the process that has run longest, other than one to be avoided. */
    private String oldest(Collection<Upstream> upstreams) {
        RolloutPlan plan = mPlan;
        Status status = mStatus;
        return upstreams.stream()
                .filter(
                        upstream ->
                                !isAvoided(upstream.version(), plan == null ? null : plan.order())
                                        && (status == null
                                                || status.state() != State.ROLLED_BACK
                                                || !status.version().equals(upstream.version())))
                .min(
                        Comparator.comparingLong(Upstream::incarnation)
                                .thenComparing(Upstream::version))
                .map(Upstream::version)
                .orElse(mInForce);
    }

    private boolean isAvoided(String version, @Nullable RolloutOrder order) {
        Order pending = mOrder;
        return order != null && order.version().equals(version)
                || pending != null && pending.version().equals(version);
    }

    private Set<String> observed(Collection<Upstream> upstreams, double share) {
        Order order = mOrder;
        if (order == null) {
            return Set.of();
        }
        List<Upstream> candidates = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            if (upstream.version().equals(order.version()) && !upstream.draining()) {
                candidates.add(upstream);
            }
        }
        // The same at all instances, so that their allowances meet at the same upstreams.
        long key = KeyHash.of(mService);
        candidates.sort(
                Comparator.<Upstream>comparingLong(
                                upstream -> KeyHash.score(key, KeyHash.of(upstream.id())))
                        .thenComparing(Upstream::id));
        int count = (int) Math.ceil(share * candidates.size());
        Set<String> ids = new HashSet<>();
        candidates.stream().limit(Math.max(1, count)).forEach(upstream -> ids.add(upstream.id()));
        return ids;
    }

    /** Returns whether all listed upstreams have the version of the order. */
    boolean isAlreadyInForce() {
        Order order = mOrder;
        return order != null
                && order.version().equals(mInForce)
                && mHasUpstreams
                && mListedVersions.equals(Set.of(order.version()));
    }

    /** Returns whether an upstream has the version of the last order. */
    boolean isNew(Upstream upstream) {
        RolloutPlan plan = mPlan;
        return plan != null && plan.order().version().equals(upstream.version());
    }

    /** Returns whether an upstream is one of the few that are observed first. */
    boolean isObserved(Upstream upstream) {
        return mObserved.contains(upstream.id());
    }

    /** Returns whether a new attempt may go to an upstream. */
    boolean isPermitted(String route, Upstream upstream, boolean retry, long nowNanos) {
        RolloutPlan plan = mPlan;
        boolean isOld = upstream.version().equals(mPermittedOld) || isUnordered(upstream, nowNanos);
        if (plan == null) {
            return isOld;
        }
        boolean isNew = isNew(upstream);
        return switch (plan.phase()) {
            case COMPLETED -> isNew || isUnordered(upstream, nowNanos);
            // An order for the version in force may have been withdrawn.
            case ROLLED_BACK -> isOld;
            default ->
                    isNew
                            ? plan.mayStart(route, true, retry, nowNanos)
                            : isOld && plan.mayStart(route, false, retry, nowNanos);
        };
    }

    /** Returns whether an upstream has a further version that no order is about. */
    private boolean isUnordered(Upstream upstream, long nowNanos) {
        String version = upstream.version();
        RolloutPlan plan = mPlan;
        Status status = mStatus;
        Long since = mListedSince.get(version);
        boolean rolledBack =
                status != null
                        && status.state() == State.ROLLED_BACK
                        && status.version().equals(version);
        return since != null
                && nowNanos - since >= UNORDERED_NANOS
                && !rolledBack
                && !mReplaced.contains(version)
                && !isAvoided(version, plan == null ? null : plan.order());
    }

    /** Records that the order's rollout has been completed. */
    void recordCompletion(String version) {
        mReplaced.addAll(mListedVersions);
        mReplaced.add(mInForce);
        mReplaced.remove(version);
        mInForce = version;
    }

    /** Returns the state of the status row if it belongs to the last order, or null. */
    @Nullable State stateOfOrder() {
        Status status = mStatus;
        RolloutPlan plan = mPlan;
        if (status == null || plan == null || !mOrderAt.isBefore(mStatusAt)) {
            return null;
        }
        return status.version().equals(plan.order().version()) ? status.state() : null;
    }
}
