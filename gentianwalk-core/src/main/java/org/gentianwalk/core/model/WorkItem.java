package org.gentianwalk.core.model;

import java.util.List;

/**
 * The properties of a generation that schedulers need, without the prompt text.
 *
 * @param id the request key
 * @param model the requested model
 * @param kind the kind of work
 * @param rank the service class
 * @param promptTokens estimated prompt length, tokens
 * @param maxTokens maximum length of the output, tokens
 * @param prefixHashes hashes of the prompt's blocks, each covering all preceding blocks
 * @param fingerprint hash of team, model and prompt, equal for a repeated request
 * @param arrivedNanos arrival time on the instance's monotonic clock
 * @param deadlineNanos latest useful completion on the same clock, or {@link #NO_DEADLINE}
 */
public record WorkItem(
        RequestKey id,
        String model,
        String kind,
        Rank rank,
        int promptTokens,
        int maxTokens,
        List<Long> prefixHashes,
        Fingerprint fingerprint,
        long arrivedNanos,
        long deadlineNanos) {
    /** Deadline of a generation that may complete at any time. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    public WorkItem {
        if (promptTokens < 0 || maxTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
        prefixHashes = List.copyOf(prefixHashes);
    }

    /**
     * Returns the team that the generation is accounted to.
     *
     * @return the team of the request key
     */
    public String team() {
        return id.team();
    }
}
