package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/** Parses the body of a completion and checks the types and ranges of its parameters. */
public final class ParseFilter implements CallFilter {
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final boolean mChat;

    /**
     * Creates a filter.
     *
     * @param chat true for chat completions, false for plain ones
     */
    public ParseFilter(boolean chat) {
        mChat = chat;
    }

    @Override
    public @Nullable ServeError apply(CallContext call) throws IOException {
        JsonNode body;
        try {
            body = JSON.readTree(call.body());
        } catch (JsonProcessingException e) {
            return ServeError.rejected(
                    ErrorKind.INVALID_REQUEST,
                    "The body is not valid JSON ("
                            + locationOf(e)
                            + "). Send one JSON object in UTF-8.");
        }
        if (!(body instanceof ObjectNode object)) {
            return ServeError.rejected(
                    ErrorKind.INVALID_REQUEST, "The body must be a JSON object. Send one.");
        }
        ServeError error = new ParameterCheck(object, mChat).firstError();
        if (error == null) {
            call.json(object);
        }
        return error;
    }

    private static String locationOf(JsonProcessingException e) {
        return e.getLocation() == null
                ? "at an unknown place"
                : "line "
                        + e.getLocation().getLineNr()
                        + ", column "
                        + e.getLocation().getColumnNr();
    }
}
