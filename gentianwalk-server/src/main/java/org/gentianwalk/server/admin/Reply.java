package org.gentianwalk.server.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gentianwalk.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * A response of the operators' interface.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body
 */
record Reply(int status, String contentType, byte[] body) {
    /** Reads and writes the JSON of this interface. */
    static final ObjectMapper JSON = new ObjectMapper();

    private static final int OK = 200;

    /** Returns a JSON response. */
    static Reply json(int status, Map<String, ?> value) {
        try {
            return new Reply(status, "application/json", JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a value can't be serialized as JSON", e);
        }
    }

    /** Returns a JSON response with status 200. */
    static Reply ok(Map<String, ?> value) {
        return json(OK, value);
    }

    /** Returns a text response with status 200. */
    static Reply text(String contentType, String text) {
        return new Reply(OK, contentType, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns an error in the format of the callers' interface, with additional fields. */
    static Reply error(ErrorKind kind, String message, Map<String, ?> details) {
        Map<String, @Nullable Object> error = new LinkedHashMap<>();
        error.put("message", message);
        error.put("type", kind.type());
        error.put("code", kind.code());
        error.put("param", null);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("error", error);
        body.putAll(details);
        return json(kind.status(), body);
    }
}
