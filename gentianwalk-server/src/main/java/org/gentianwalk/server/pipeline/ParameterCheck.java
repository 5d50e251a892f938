package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/** Checks the parameters of a completion request, one rule for each parameter. */
final class ParameterCheck {
    private static final List<String> LENGTHS = List.of("max_tokens", "max_completion_tokens");
    private static final List<String> FLAGS = List.of("stream", "return_token_ids");
    private static final int MAX_TEMPERATURE = 2;

    private final ObjectNode mBody;
    private final boolean mChat;
    private @Nullable ServeError mError;

    ParameterCheck(ObjectNode body, boolean chat) {
        mBody = body;
        mChat = chat;
    }

    @Nullable ServeError firstError() {
        JsonNode model = mBody.path("model");
        require(model.isTextual() && !model.textValue().isEmpty(), "model", "a non-empty string");
        if (mChat) {
            checkMessages(mBody.path("messages"));
        } else {
            checkPrompt(mBody.path("prompt"));
            require(!mBody.has("messages"), "messages", "absent in a plain completion");
        }
        for (String name : LENGTHS) {
            JsonNode value = mBody.path(name);
            require(
                    isAbsent(value) || value.isInt() && value.intValue() > 0,
                    name,
                    "a positive integer");
        }
        for (String name : FLAGS) {
            JsonNode value = mBody.path(name);
            require(isAbsent(value) || value.isBoolean(), name, "true or false");
        }
        JsonNode seed = mBody.path("seed");
        require(
                isAbsent(seed) || seed.isIntegralNumber() && seed.canConvertToLong(),
                "seed",
                "a 64-bit integer");
        JsonNode choices = mBody.path("n");
        require(isAbsent(choices) || choices.isInt() && choices.intValue() == 1, "n", "1");
        checkRange("temperature", MAX_TEMPERATURE);
        checkRange("top_p", 1);
        JsonNode options = mBody.path("stream_options");
        require(isAbsent(options) || options.isObject(), "stream_options", "an object");
        require(mBody.path("resume_token_ids").isMissingNode(), "resume_token_ids", "absent");
        return mError;
    }

    private void checkMessages(JsonNode messages) {
        require(messages.isArray() && !messages.isEmpty(), "messages", "a non-empty array");
        for (JsonNode message : messages) {
            require(
                    message.path("role").isTextual(),
                    "messages",
                    "an array of objects with a string role");
            JsonNode content = message.path("content");
            require(
                    content.isTextual()
                            || content.isArray()
                            || isAbsent(content) && message.has("tool_calls"),
                    "messages",
                    "an array of objects with a string or array content");
        }
    }

    private void checkPrompt(JsonNode prompt) {
        boolean strings = prompt.isArray() && prompt.size() == 1 && prompt.get(0).isTextual();
        boolean tokens = prompt.isArray() && !prompt.isEmpty();
        for (JsonNode token : prompt) {
            tokens = tokens && token.isInt();
        }
        require(
                prompt.isTextual() || strings || tokens,
                "prompt",
                "a string, an array of one string or an array of integers");
    }

    private void checkRange(String name, int max) {
        JsonNode value = mBody.path(name);
        require(
                isAbsent(value)
                        || value.isNumber()
                                && value.doubleValue() >= 0
                                && value.doubleValue() <= max,
                name,
                "a number from 0 to " + max);
    }

    private void require(boolean condition, String parameter, String accepted) {
        if (!condition && mError == null) {
            mError =
                    ServeError.invalidParameter(
                            parameter, "Parameter " + parameter + " must be " + accepted + ".");
        }
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }
}
