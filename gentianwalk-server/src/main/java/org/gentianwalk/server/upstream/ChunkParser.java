package org.gentianwalk.server.upstream;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.server.upstream.EngineException.Reason;
import org.jspecify.annotations.Nullable;

/**
 * Parses the JSON of an engine's output events. A field that is absent or null has its default; one
 * of another type or out of range makes the event broken, since a chunk that is taken for one
 * without tokens would shorten the answer.
 */
final class ChunkParser {
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                    .build();

    private static final int NOT_REPORTED = -1;

    private ChunkParser() {}

    static EngineChunk parse(byte[] data, int offset, int length) throws EngineException {
        JsonNode event;
        try {
            event = JSON.readTree(data, offset, length);
        } catch (IOException e) {
            throw broken("event is not JSON");
        }
        if (event.has("error")) {
            throw broken("error event: " + event.path("error").path("code").asText());
        }
        JsonNode choices = event.path("choices");
        if (!choices.isArray() || choices.size() > 1) {
            throw broken("event without a list of at most one choice");
        }
        int cachedTokens = cachedTokens(event);
        if (choices.isEmpty()) {
            return new EngineChunk(NOT_REPORTED, List.of(), "", null, cachedTokens);
        }
        JsonNode choice = choices.path(0);
        if (!choice.isObject() || number(choice, "index", 0) != 0) {
            throw broken("another choice than the first one");
        }
        List<Integer> ids = tokenIds(choice.path("token_ids"));
        int position = number(choice, "position", NOT_REPORTED);
        if (!ids.isEmpty() && position == NOT_REPORTED) {
            throw broken("tokens without a position");
        }
        String text = text(choice);
        if (!ids.isEmpty() && text == null) {
            throw broken("tokens without a text");
        }
        return new EngineChunk(
                position, ids, text == null ? "" : text, finishReason(choice), cachedTokens);
    }

    private static List<Integer> tokenIds(JsonNode list) throws EngineException {
        if (isAbsent(list)) {
            return List.of();
        }
        if (!list.isArray()) {
            throw broken("token_ids is not a list");
        }
        List<Integer> ids = new ArrayList<>(list.size());
        for (JsonNode id : list) {
            if (!isCount(id)) {
                throw broken("a token id is not a number from 0 to " + Integer.MAX_VALUE);
            }
            ids.add(id.intValue());
        }
        return ids;
    }

    /** Returns the text of a choice, or null when it has no field for it. */
    private static @Nullable String text(JsonNode choice) throws EngineException {
        JsonNode delta = choice.path("delta");
        if (!isAbsent(delta) && !delta.isObject()) {
            throw broken("delta is not an object");
        }
        JsonNode content = delta.path("content");
        JsonNode text = isAbsent(content) ? choice.path("text") : content;
        if (isAbsent(text)) {
            return delta.isObject() ? "" : null;
        }
        if (!text.isTextual()) {
            throw broken("the text is not a string");
        }
        return text.textValue();
    }

    private static @Nullable String finishReason(JsonNode choice) throws EngineException {
        JsonNode reason = choice.path("finish_reason");
        if (isAbsent(reason)) {
            return null;
        }
        if (!reason.isTextual() || reason.textValue().isEmpty()) {
            throw broken("finish_reason is not a non-empty string");
        }
        return reason.textValue();
    }

    /** Returns an optional report that has no effect on the answer, so a wrong one is ignored. */
    private static int cachedTokens(JsonNode event) {
        JsonNode count = event.path("usage").path("prompt_tokens_details").path("cached_tokens");
        return isCount(count) ? count.intValue() : NOT_REPORTED;
    }

    private static int number(JsonNode choice, String field, int absent) throws EngineException {
        JsonNode value = choice.path(field);
        if (isAbsent(value)) {
            return absent;
        }
        if (!isCount(value)) {
            throw broken(field + " is not a number from 0 to " + Integer.MAX_VALUE);
        }
        return value.intValue();
    }

    private static boolean isCount(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToInt() && value.intValue() >= 0;
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static EngineException broken(String message) {
        return new EngineException(Reason.BROKEN, message);
    }
}
