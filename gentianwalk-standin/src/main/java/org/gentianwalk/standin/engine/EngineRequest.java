package org.gentianwalk.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Prompt;
import org.gentianwalk.core.model.PromptText;

/** A generation request as the engine understands it. */
final class EngineRequest {
    private static final int DEFAULT_MAX_TOKENS = 64;

    private final JsonNode mBody;
    private final boolean mChat;
    private final Prompt mPrompt;
    private volatile boolean mCancelled;
    private int mCachedTokens;

    EngineRequest(JsonNode body, boolean chat) {
        mBody = body;
        mChat = chat;
        mPrompt = new Prompt(PromptText.of(body));
    }

    String id() {
        return mBody.path("request_id").asText("none");
    }

    String model() {
        return mBody.path("model").asText();
    }

    boolean isChat() {
        return mChat;
    }

    boolean isStreaming() {
        return mBody.path("stream").asBoolean(false);
    }

    int priority() {
        return mBody.path("priority").asInt(0);
    }

    long seed() {
        return mBody.path("seed").asLong(0);
    }

    Prompt prompt() {
        return mPrompt;
    }

    int maxTokens() {
        int limit = mBody.path("max_tokens").asInt(0);
        int other = mBody.path("max_completion_tokens").asInt(0);
        return limit > 0 ? limit : other > 0 ? other : DEFAULT_MAX_TOKENS;
    }

    String finishReason() {
        return mBody.has("max_tokens") || mBody.has("max_completion_tokens") ? "length" : "stop";
    }

    boolean returnsTokenIds() {
        return mBody.path("return_token_ids").asBoolean(false);
    }

    List<Integer> resumeTokens() {
        List<Integer> tokens = new ArrayList<>();
        mBody.path("resume_token_ids").forEach(node -> tokens.add(node.asInt()));
        return tokens;
    }

    int cachedTokens() {
        return mCachedTokens;
    }

    void cachedTokens(int tokens) {
        mCachedTokens = tokens;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void cancel() {
        mCancelled = true;
    }
}
