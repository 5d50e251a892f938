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

    private static final double GAIN = 0.1;
    private static final double FIRST_GUESS = 0.5;

    private final double mPromptCost;
    private final double mCachedCost;
    private final Map<String, Double> mOutput =
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
    public double output(WorkItem item) {
        Double seen = mOutput.get(key(item));
        if (seen == null) {
            seen = mOutput.get(ofAllTeams(item));
        }
        double guess = seen == null ? FIRST_GUESS * item.maxTokens() : seen;
        return Math.min(guess, item.maxTokens());
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
    public void learn(WorkItem item, int outputTokens) {
        learn(key(item), outputTokens);
        learn(ofAllTeams(item), outputTokens);
    }

    private void learn(String key, double outputTokens) {
        mOutput.merge(key, outputTokens, (old, now) -> old + GAIN * (now - old));
    }

    private static String ofAllTeams(WorkItem item) {
        return item.model() + '\n' + item.kind();
    }

    private static String key(WorkItem item) {
        return item.team() + '\n' + item.model() + '\n' + item.kind();
    }
}
