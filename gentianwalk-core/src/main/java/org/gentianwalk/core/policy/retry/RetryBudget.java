package org.gentianwalk.core.policy.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.gentianwalk.core.policy.PolicyOptions;

/**
 * Limits retries to a share of first attempts, in total and for each team. First attempts add
 * credit, up to a burst; a retry takes one unit from the total and from its team.
 */
public final class RetryBudget {
    private static final int MAX_TEAMS = 4_096;

    private final PolicyOptions.Retry mOptions;
    private final Map<String, Double> mTeamCredit =
            new LinkedHashMap<>(64, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_TEAMS;
                }
            };
    private double mTotalCredit;

    /**
     * Creates a budget with full credit.
     *
     * @param options share and bursts
     */
    public RetryBudget(PolicyOptions.Retry options) {
        mOptions = options;
        mTotalCredit = options.burst();
    }

    /**
     * Adds credit for a first attempt.
     *
     * @param team its team
     */
    public void recordFirstAttempt(String team) {
        mTotalCredit = Math.min(mOptions.burst(), mTotalCredit + mOptions.share());
        mTeamCredit.put(team, Math.min(mOptions.teamBurst(), credit(team) + mOptions.share()));
    }

    /**
     * Returns whether the credit allows a retry.
     *
     * @param team its team
     * @return true when both the total and the team have credit
     */
    public boolean isAvailable(String team) {
        return mTotalCredit >= 1 && credit(team) >= 1;
    }

    /**
     * Returns whether the credit allows a retry after silence that may end by itself. It leaves
     * half of the bursts for losses.
     *
     * @param team its team
     * @return true when both the total and the team have more than half of their burst
     */
    public boolean isAvailableForSilence(String team) {
        return mTotalCredit >= 1 + mOptions.burst() / 2
                && credit(team) >= 1 + mOptions.teamBurst() / 2;
    }

    /**
     * Takes the credit of a retry.
     *
     * @param team its team
     */
    public void recordRetry(String team) {
        mTotalCredit -= 1;
        mTeamCredit.put(team, credit(team) - 1);
    }

    private double credit(String team) {
        return mTeamCredit.getOrDefault(team, (double) mOptions.teamBurst());
    }
}
