package org.gentianwalk.server.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.server.upstream.EngineException.Reason;
import org.jspecify.annotations.Nullable;

/** Parses the JSON of an engine's output events. */
final class ChunkParser {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ChunkParser() {}

    static EngineChunk parse(byte[] data, int offset, int length) throws EngineException {
        JsonNode event;
        try {
            event = JSON.readTree(data, offset, length);
        } catch (IOException e) {
            throw new EngineException(Reason.BROKEN, "event is not JSON");
        }
        if (event.has("error")) {
            throw new EngineException(
                    Reason.BROKEN, "error event: " + event.path("error").path("code").asText());
        }
        JsonNode choice = event.path("choices").path(0);
        List<Integer> ids = new ArrayList<>();
        choice.path("token_ids").forEach(id -> ids.add(id.asInt()));
        JsonNode usage = event.path("usage").path("prompt_tokens_details").path("cached_tokens");
        return new EngineChunk(
                choice.path("position").asInt(-1),
                ids,
                text(choice),
                finishReason(choice),
                usage.asInt(-1));
    }

    private static String text(JsonNode choice) {
        JsonNode delta = choice.path("delta").path("content");
        return delta.isTextual() ? delta.textValue() : choice.path("text").asText("");
    }

    private static @Nullable String finishReason(JsonNode choice) {
        JsonNode reason = choice.path("finish_reason");
        return reason.isTextual() ? reason.textValue() : null;
    }
}
