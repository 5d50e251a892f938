package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.policy.fairness.PolicyMessage.Addressed;
import org.gentianwalk.core.policy.fairness.PolicyMessage.PoolLevel;
import org.gentianwalk.core.policy.fairness.PolicyMessage.SuspectNotice;
import org.gentianwalk.core.policy.fairness.PolicyMessage.UsageReport;
import org.gentianwalk.core.policy.fairness.PoolHome;
import org.gentianwalk.core.policy.fairness.PoolKey;
import org.gentianwalk.core.policy.routing.Rendezvous;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.policy.suspect.SuspectTable;

/**
 * Exchanges policy state with the other instances: tracks the members, assigns each pool to a home
 * instance, sends usage reports, computes the levels of the pools that this instance is home of,
 * and gossips changes of suspects.
 */
final class PeerExchange {
    /** Interval between gossip rounds for changes of suspects. */
    static final long ROUND_NANOS = 100_000_000L;

    /**
     * Receivers in each gossip round. With three, a change reaches 350 instances in about six
     * rounds.
     */
    private static final int FAN_OUT = 3;

    private static final int EXTRA_ROUNDS = 2;

    /**
     * Length that each instance of the region adds to the report period. It bounds the rate at a
     * home to seven reports per second for each pool, independent of the number of instances.
     */
    private static final long PERIOD_PER_INSTANCE_NANOS = 150_000_000L;

    /** In regions of up to this many instances, pool levels always list the heaviest teams. */
    private static final int MAX_SMALL_REGION = 16;

    /** Teams listed for each rank in a report while the pool of a large region is not contended. */
    private static final int UNCONTENDED_TEAMS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PolicyOptions mOptions;
    private final String mInstance;
    private final Location mSelf;
    private final SuspectTable mSuspects;
    private final Random mRandom;
    private final Map<PoolKey, PoolHome> mHomes = new HashMap<>();
    private final Map<Fingerprint, PendingChange> mPendingChanges = new LinkedHashMap<>();
    private final Map<PoolKey, String> mHomeOfPool = new HashMap<>();
    private Map<String, Location> mMembers;
    private List<String> mRegionMembers;
    private long mNextReport;
    private long mNextRound;
    private boolean mStarted;

    PeerExchange(
            PolicyOptions options,
            String instance,
            Location self,
            SuspectTable suspects,
            Random random) {
        mOptions = options;
        mInstance = instance;
        mSelf = self;
        mSuspects = suspects;
        mRandom = random;
        mMembers = Map.of(instance, self);
        mRegionMembers = List.of(instance);
    }

    void replaceMembers(Map<String, Location> live) {
        mMembers = new TreeMap<>(live);
        mMembers.put(mInstance, mSelf);
        mRegionMembers = new ArrayList<>();
        mMembers.forEach(
                (id, location) -> {
                    if (location.region().equals(mSelf.region())) {
                        mRegionMembers.add(id);
                    }
                });
    }

    /**
     * Assigns a home instance to each pool by rendezvous hashing. No instance becomes home of a
     * second pool before every instance has one, which keeps the traffic of the busiest home low.
     */
    void assignHomes(Collection<Pool> pools) {
        mHomeOfPool.clear();
        Set<String> free = new HashSet<>();
        for (Pool pool : pools) {
            if (free.isEmpty()) {
                free.addAll(mRegionMembers);
            }
            String home = Rendezvous.first("pool/" + pool.mKey, free).orElse(mInstance);
            free.remove(home);
            mHomeOfPool.put(pool.mKey, home);
        }
    }

    List<String> regionMembers() {
        return mRegionMembers;
    }

    Collection<String> allMembers() {
        return mMembers.keySet();
    }

    /** Returns the time within which gossip delivers a change of a suspect to every instance. */
    long gossipNanos() {
        return gossipRounds() * ROUND_NANOS;
    }

    List<Addressed> messages(Collection<Pool> pools, long nowNanos) {
        List<Addressed> messages = new ArrayList<>();
        if (!mStarted) {
            // A random phase prevents instances that start together from reporting at the same
            // time.
            mStarted = true;
            mNextReport = nowNanos + (long) (mRandom.nextDouble() * reportPeriodNanos());
        }
        if (nowNanos - mNextReport >= 0) {
            mNextReport = nowNanos + reportPeriodNanos();
            addReports(pools, messages, nowNanos);
            for (PoolHome home : mHomes.values()) {
                messages.addAll(home.levels(isSmallRegion(), reportPeriodNanos(), nowNanos));
            }
            mHomes.values().removeIf(PoolHome::isIdle);
        }
        if (nowNanos - mNextRound >= 0) {
            mNextRound = nowNanos + ROUND_NANOS;
            addSuspectNotices(messages, nowNanos);
        }
        return messages;
    }

    void receive(UsageReport report, long nowNanos) {
        mHomes.computeIfAbsent(report.pool(), pool -> new PoolHome(pool, mOptions))
                .receive(report, nowNanos);
    }

    void receive(PoolLevel level, Collection<Pool> pools, long nowNanos) {
        for (Pool pool : pools) {
            if (pool.mKey.equals(level.pool())) {
                pool.mLimiter.updateLevel(level, nowNanos);
                pool.mMeter.reportAlways(level.totals());
            }
        }
    }

    private void addReports(Collection<Pool> pools, List<Addressed> messages, long nowNanos) {
        for (Pool pool : pools) {
            if (pool.mMeter.isIdle()) {
                continue;
            }
            pool.mLimiter.updatePeriod(reportPeriodNanos());
            boolean reduced = !isSmallRegion() && !pool.mLimiter.isContended(nowNanos);
            UsageReport report =
                    pool.mMeter.createReport(
                            reduced ? UNCONTENDED_TEAMS : mOptions.fairness().heavyTeams(),
                            pool.mCapacity,
                            pool.mQueue.queuedTokens(),
                            nowNanos);
            String home = mHomeOfPool.getOrDefault(pool.mKey, mInstance);
            messages.add(new Addressed(home, report));
        }
    }

    private void addSuspectNotices(List<Addressed> messages, long nowNanos) {
        for (SuspectEntry entry : mSuspects.drainChanges(nowNanos)) {
            mPendingChanges.put(
                    entry.fingerprint(), new PendingChange(entry, nowNanos, gossipRounds()));
        }
        if (mPendingChanges.isEmpty()) {
            return;
        }
        List<SuspectEntry> entries = new ArrayList<>();
        for (PendingChange change : mPendingChanges.values()) {
            int delay = (int) ((nowNanos - change.mDrainedAt) / NANOS_PER_MILLI);
            entries.add(change.mEntry.agedBy(delay));
            change.mRoundsLeft--;
        }
        mPendingChanges.values().removeIf(change -> change.mRoundsLeft <= 0);
        SuspectNotice notice = new SuspectNotice(entries);
        List<String> others = new ArrayList<>(mMembers.keySet());
        others.remove(mInstance);
        for (int i = 0; i < FAN_OUT && !others.isEmpty(); i++) {
            String receiver = others.remove(mRandom.nextInt(others.size()));
            messages.add(new Addressed(receiver, notice));
        }
    }

    private boolean isSmallRegion() {
        return mRegionMembers.size() <= MAX_SMALL_REGION;
    }

    private long reportPeriodNanos() {
        return Math.max(
                mOptions.fairness().period().toNanos(),
                mRegionMembers.size() * PERIOD_PER_INSTANCE_NANOS);
    }

    private int gossipRounds() {
        double roundsToAll = Math.log(Math.max(2, mMembers.size())) / Math.log(1 + FAN_OUT);
        return (int) Math.ceil(roundsToAll) + EXTRA_ROUNDS;
    }

    /** A change of a suspect and the gossip rounds that still send it. */
    private static final class PendingChange {
        final SuspectEntry mEntry;
        final long mDrainedAt;
        int mRoundsLeft;

        PendingChange(SuspectEntry entry, long drainedAt, int rounds) {
            mEntry = entry;
            mDrainedAt = drainedAt;
            mRoundsLeft = rounds;
        }
    }
}
