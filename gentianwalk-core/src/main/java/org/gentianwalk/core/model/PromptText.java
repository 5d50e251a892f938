package org.gentianwalk.core.model;

import com.fasterxml.jackson.databind.JsonNode;

/** Extracts the prompt of an OpenAI-compatible request as plain text. */
public final class PromptText {
    private PromptText() {}

    /**
     * Returns the prompt of a chat completion or a plain completion.
     *
     * @param body the request body
     * @return each message as role, colon, content and line feed; or the text of {@code prompt}
     */
    public static String of(JsonNode body) {
        JsonNode messages = body.path("messages");
        StringBuilder text = new StringBuilder();
        if (!messages.isArray()) {
            appendContent(body.path("prompt"), text);
            return text.toString();
        }
        for (JsonNode message : messages) {
            text.append(message.path("role").asText()).append(": ");
            appendContent(message.path("content"), text);
            text.append('\n');
        }
        return text.toString();
    }

    private static void appendContent(JsonNode content, StringBuilder text) {
        if (content.isTextual()) {
            text.append(content.textValue());
        } else if (content.isArray()) {
            content.forEach(part -> appendContent(part, text));
        } else if (content.isObject()) {
            text.append(content.path("text").asText());
        } else if (content.isIntegralNumber()) {
            text.append(content.asText()).append(' ');
        }
    }
}
