package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.model.Prompt;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.replica.GenerationState;

/**
 * An accepted request.
 *
 * @param key the request key
 * @param keySupplied true when the caller chose the key and may therefore reconnect
 * @param digest SHA-256 of path and body
 * @param body the body, JSON in UTF-8
 * @param json the parsed body
 * @param model the model
 * @param rule the rule for the kind of work
 * @param maxTokens maximum number of output tokens
 * @param seed sampling seed
 * @param arrivedNanos arrival on the monotonic clock
 * @param deadlineNanos deadline on the same clock, or {@link WorkItem#NO_DEADLINE}
 * @param deadlineEpochMillis the deadline in milliseconds since the epoch, or 0 for none
 */
public record GenerationRequest(
        RequestKey key,
        boolean keySupplied,
        byte[] digest,
        byte[] body,
        ObjectNode json,
        String model,
        WorkRule rule,
        int maxTokens,
        long seed,
        long arrivedNanos,
        long deadlineNanos,
        long deadlineEpochMillis) {
    /**
     * Returns whether this is a chat completion.
     *
     * @return true for a chat completion, false for a plain one
     */
    public boolean isChat() {
        return json.has("messages");
    }

    /**
     * Returns the prompt.
     *
     * @return the prompt as plain text
     */
    public Prompt prompt() {
        return new Prompt(org.gentianwalk.core.model.PromptText.of(json));
    }

    /**
     * Returns the description of the work for the scheduler.
     *
     * @return the work
     */
    public WorkItem workItem() {
        Prompt prompt = prompt();
        return new WorkItem(
                key,
                model,
                rule.kind(),
                rule.rank(),
                prompt.estimatedTokens(),
                maxTokens,
                prompt.blockHashes(model),
                prompt.fingerprint(key.team(), model),
                arrivedNanos,
                deadlineNanos);
    }

    /**
     * Returns the state before the first token.
     *
     * @param owner this instance
     * @return a state with one attempt and no tokens
     */
    public GenerationState initialState(String owner) {
        return new GenerationState(
                key,
                digest,
                body,
                model,
                rule.kind(),
                rule.rank(),
                seed,
                deadlineEpochMillis,
                List.of(new GenerationState.LineageEntry(1, 0, owner)),
                List.of(),
                null);
    }
}
