package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/** Formats answers in the JSON form that OpenAI-compatible clients expect. */
final class AnswerFormat {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

    private final Generation mGeneration;
    private final GenerationRequest mRequest;
    private final boolean mTokenIds;

    // JSON of an event up to its choice; the same for all events of an answer.
    private final String mEventPrefix;

    AnswerFormat(Generation generation) {
        mGeneration = generation;
        mRequest = generation.request();
        mTokenIds = mRequest.json().path("return_token_ids").asBoolean(false);
        String object = mRequest.isChat() ? "chat.completion.chunk" : "text_completion";
        String prefix = newBody(object).toString();
        mEventPrefix = prefix.substring(0, prefix.length() - 1) + ",\"choices\":[{\"index\":0,";
    }

    /** Returns the event that carries the text of a batch. */
    String chunk(GenerationBatch batch, boolean first) {
        StringBuilder json = new StringBuilder(mEventPrefix.length() + 96).append(mEventPrefix);
        if (mRequest.isChat()) {
            json.append("\"delta\":{");
            if (first) {
                json.append("\"role\":\"assistant\",");
            }
            json.append("\"content\":\"");
            ENCODER.quoteAsString(batch.text(), json);
            json.append("\"}");
        } else {
            json.append("\"text\":\"");
            ENCODER.quoteAsString(batch.text(), json);
            json.append('"');
        }
        if (mTokenIds) {
            json.append(",\"token_ids\":[");
            for (int i = 0; i < batch.tokens().size(); i++) {
                json.append(i == 0 ? "" : ",").append(batch.tokens().get(i).id());
            }
            json.append("],\"position\":").append(batch.from());
        }
        return json.append(",\"finish_reason\":null}]}").toString();
    }

    /** Returns the last event, which carries the finish reason. */
    String lastChunk(String finishReason) {
        StringBuilder json = new StringBuilder(mEventPrefix);
        json.append(mRequest.isChat() ? "\"delta\":{}" : "\"text\":\"\"");
        json.append(",\"finish_reason\":\"");
        ENCODER.quoteAsString(finishReason, json);
        return json.append("\"}]}").toString();
    }

    /** Returns the event with the token counts, or null unless the caller requested it. */
    @Nullable String usageChunk(int tokens) {
        if (!mRequest.json().path("stream_options").path("include_usage").asBoolean(false)) {
            return null;
        }
        ObjectNode body = newBody(mRequest.isChat() ? "chat.completion.chunk" : "text_completion");
        body.putArray("choices");
        putUsage(body, tokens);
        return body.toString();
    }

    /** Returns the complete answer as one JSON body. */
    ObjectNode fullBody(GenerationBatch all, String finishReason) {
        ObjectNode body = newBody(mRequest.isChat() ? "chat.completion" : "text_completion");
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (mRequest.isChat()) {
            ObjectNode message = choice.putObject("message");
            message.put("role", "assistant").put("content", all.text()).putNull("refusal");
        } else {
            choice.put("text", all.text());
        }
        choice.putNull("logprobs").put("finish_reason", finishReason);
        if (mTokenIds) {
            var ids = choice.putArray("token_ids");
            all.tokens().forEach(token -> ids.add(token.id()));
        }
        putUsage(body, all.position());
        return body;
    }

    private void putUsage(ObjectNode body, int tokens) {
        int prompt = mRequest.prompt().estimatedTokens();
        body.putObject("usage")
                .put("prompt_tokens", prompt)
                .put("completion_tokens", tokens)
                .put("total_tokens", prompt + tokens);
    }

    private ObjectNode newBody(String object) {
        return JSON.createObjectNode()
                .put("id", (mRequest.isChat() ? "chatcmpl-" : "cmpl-") + mRequest.key().key())
                .put("object", object)
                .put("created", mGeneration.createdEpochSeconds())
                .put("model", mRequest.model());
    }
}
