package org.gentianwalk.core.policy.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.PolicyOptions;

/**
 * Estimates the cost of work from finished work of the same team, model and kind. The unit is the
 * output token; a prompt token counts as a fixed fraction of it, and as less when it is cached.
 */
public final class CostEstimator {
    /**
     * Maximum number of estimates kept (LRU). Of 9,500 teams, one instance serves only a fraction.
     */
    private static final int MAX_ENTRIES = 4_096;

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double INITIAL_OUTPUT_SHARE = 0.5;

    private final double mPromptCost;
    private final double mCachedCost;
    private final Map<String, Double> mAverageOutput =
            new LinkedHashMap<>(64, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /**
     * Creates an estimator.
     *
     * @param options costs of prompt tokens
     */
    public CostEstimator(PolicyOptions.Admission options) {
        mPromptCost = options.promptTokenCost();
        mCachedCost = options.cachedTokenCost();
    }

    /**
     * Returns the estimated output of work.
     *
     * @param item the work
     * @return estimated output tokens, at most the requested maximum
     */
    public double estimateOutput(WorkItem item) {
        Double average = mAverageOutput.get(teamKey(item));
        if (average == null) {
            average = mAverageOutput.get(allTeamsKey(item));
        }
        double estimate = average == null ? INITIAL_OUTPUT_SHARE * item.maxTokens() : average;
        return Math.min(estimate, item.maxTokens());
    }

    /**
     * Returns the cost of work.
     *
     * @param item the work
     * @param outputTokens its output, tokens
     * @param cachedTokens prompt tokens from the prefix cache
     * @return charged tokens
     */
    public double cost(WorkItem item, double outputTokens, int cachedTokens) {
        int cached = Math.min(cachedTokens, item.promptTokens());
        double prompt = item.promptTokens() - cached + cached * mCachedCost;
        return outputTokens + mPromptCost * prompt;
    }

    /**
     * Updates the estimates with finished work.
     *
     * @param item the work
     * @param outputTokens its output, tokens
     */
    public void update(WorkItem item, int outputTokens) {
        update(teamKey(item), outputTokens);
        update(allTeamsKey(item), outputTokens);
    }

    private void update(String key, double outputTokens) {
        mAverageOutput.merge(
                key, outputTokens, (old, latest) -> old + SMOOTHING_FACTOR * (latest - old));
    }

    private static String allTeamsKey(WorkItem item) {
        return item.model() + '\n' + item.kind();
    }

    private static String teamKey(WorkItem item) {
        return item.team() + '\n' + item.model() + '\n' + item.kind();
    }
}
