package org.gentianwalk.core.policy.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.admission.DecayingRate;
import org.gentianwalk.core.policy.fairness.PolicyMessage.UsageReport;

/** Demand and served rates of the teams of one pool at one instance. */
public final class UsageMeter {
    /** Rate below which a team is dropped, tokens per second. */
    private static final double NEGLIGIBLE_RATE = 0.05;

    private final PoolKey mPool;
    private final String mInstance;
    private final long mWindowNanos;
    private final Map<Account, Rates> mAccounts = new HashMap<>();
    private final Set<Account> mAlwaysReported = new HashSet<>();
    private long mPeriod;

    /**
     * Creates a meter.
     *
     * @param pool the pool
     * @param instance this instance
     * @param windowNanos averaging window
     */
    public UsageMeter(PoolKey pool, String instance, long windowNanos) {
        mPool = pool;
        mInstance = instance;
        mWindowNanos = windowNanos;
    }

    /**
     * Counts offered work, whether or not it is accepted.
     *
     * @param account team and rank
     * @param weight the team's weight
     * @param tokens estimated tokens
     * @param nowNanos current time
     */
    public void recordDemand(Account account, double weight, double tokens, long nowNanos) {
        Rates rates = rates(account, nowNanos);
        rates.mWeight = weight;
        rates.mDemand.add(tokens, nowNanos);
    }

    /**
     * Counts started work, or corrects the estimate of started work.
     *
     * @param account team and rank
     * @param tokens tokens
     * @param nowNanos current time
     */
    public void recordServed(Account account, double tokens, long nowNanos) {
        rates(account, nowNanos).mServed.add(tokens, nowNanos);
    }

    /**
     * Returns a team's demand at this instance.
     *
     * @param account team and rank
     * @param nowNanos current time
     * @return tokens per second
     */
    public double demand(Account account, long nowNanos) {
        Rates rates = mAccounts.get(account);
        return rates == null ? 0 : rates.mDemand.perSecond(nowNanos);
    }

    /**
     * Reports the teams of a level individually even when their demand at this instance is small.
     * Otherwise a team that spreads its requests over all instances would appear light at each of
     * them.
     *
     * @param totals teams listed by the pool's home
     */
    public void reportAlways(List<PolicyMessage.TeamTotal> totals) {
        mAlwaysReported.clear();
        for (PolicyMessage.TeamTotal total : totals) {
            mAlwaysReported.add(new Account(total.team(), total.rank()));
        }
    }

    /**
     * Creates the report of a period.
     *
     * @param heavyTeams maximum number of teams of each rank reported because they are heavy at
     *     this instance
     * @param capacity estimated capacity of the pool, tokens per second
     * @param queuedWork tokens queued at this instance
     * @param nowNanos current time
     * @return the report
     */
    public UsageReport createReport(
            int heavyTeams, double capacity, double queuedWork, long nowNanos) {
        mAccounts
                .values()
                .removeIf(
                        rates ->
                                rates.mDemand.perSecond(nowNanos) < NEGLIGIBLE_RATE
                                        && rates.mServed.perSecond(nowNanos) < NEGLIGIBLE_RATE);
        List<TeamDemand> all = new ArrayList<>(mAccounts.size());
        mAccounts.forEach((account, rates) -> all.add(rates.toDemand(account, nowNanos)));
        all.sort(
                Comparator.comparingDouble((TeamDemand team) -> -team.demand() / team.weight())
                        .thenComparing(TeamDemand::team));
        List<TeamDemand> heavy = new ArrayList<>();
        double restUrgent = 0;
        double restStandard = 0;
        double served = 0;
        int[] reported = new int[Rank.values().length];
        for (TeamDemand team : all) {
            served += team.served();
            if (reported[team.rank().ordinal()]++ < heavyTeams) {
                heavy.add(team);
            } else if (mAlwaysReported.contains(new Account(team.team(), team.rank()))) {
                heavy.add(team);
            } else if (team.rank() == Rank.URGENT) {
                restUrgent += team.demand();
            } else {
                restStandard += team.demand();
            }
        }
        return new UsageReport(
                mPool,
                mInstance,
                ++mPeriod,
                heavy,
                restUrgent,
                restStandard,
                served,
                capacity,
                queuedWork);
    }

    /**
     * Returns whether there is nothing to report.
     *
     * @return true when no team has demand or served work
     */
    public boolean isIdle() {
        return mAccounts.isEmpty();
    }

    private Rates rates(Account account, long nowNanos) {
        return mAccounts.computeIfAbsent(account, key -> new Rates(mWindowNanos, nowNanos));
    }

    /**
     * A team's work of one rank.
     *
     * @param team the team
     * @param rank the rank
     */
    public record Account(String team, Rank rank) {}

    /** Rates of one account. */
    private static final class Rates {
        final DecayingRate mDemand;
        final DecayingRate mServed;
        double mWeight = 1;

        Rates(long windowNanos, long nowNanos) {
            mDemand = new DecayingRate(windowNanos, nowNanos);
            mServed = new DecayingRate(windowNanos, nowNanos);
        }

        TeamDemand toDemand(Account account, long nowNanos) {
            return new TeamDemand(
                    account.team(),
                    account.rank(),
                    mDemand.perSecond(nowNanos),
                    mServed.perSecond(nowNanos),
                    mWeight);
        }
    }
}
