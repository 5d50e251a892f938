package org.gentianwalk.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.standin.StandinHttp;
import org.jspecify.annotations.Nullable;

/** Writes a generation as server-sent events, or as one JSON body at its end. */
final class ChunkWriter {
    private final HttpExchange mExchange;
    private final EngineRequest mRequest;
    private final boolean mTokenIds;
    private final StringBuilder mText = new StringBuilder();
    private @Nullable OutputStream mStream;

    ChunkWriter(HttpExchange exchange, EngineRequest request, EngineOptions options) {
        mExchange = exchange;
        mRequest = request;
        mTokenIds =
                request.returnsTokenIds() && options.capabilities().contains(Capability.TOKEN_IDS);
    }

    void tokens(int position, List<Integer> tokens) throws IOException {
        StringBuilder text = new StringBuilder();
        tokens.forEach(token -> text.append(TokenSequence.text(token)));
        if (!mRequest.isStreaming()) {
            mText.append(text);
            return;
        }
        ObjectNode chunk = body(mRequest.isChat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = choice(chunk, text.toString(), "delta");
        if (mTokenIds) {
            ArrayNode ids = choice.putArray("token_ids");
            tokens.forEach(ids::add);
            choice.put("position", position);
        }
        event(StandinHttp.JSON.writeValueAsString(chunk));
    }

    void finish(String reason, int position) throws IOException {
        ObjectNode last = body(mRequest.isChat() ? "chat.completion.chunk" : "text_completion");
        if (!mRequest.isStreaming()) {
            choice(last, mText.toString(), "message").put("finish_reason", reason);
            usage(last, position);
            StandinHttp.reply(mExchange, 200, last);
            return;
        }
        choice(last, "", "delta").put("finish_reason", reason);
        usage(last, position);
        event(StandinHttp.JSON.writeValueAsString(last));
        event("[DONE]");
        stream().close();
    }

    private ObjectNode body(String object) {
        return StandinHttp.JSON
                .createObjectNode()
                .put("id", mRequest.id())
                .put("object", object)
                .put("model", mRequest.model());
    }

    private ObjectNode choice(ObjectNode body, String text, String field) {
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (mRequest.isChat()) {
            choice.putObject(field).put("content", text);
        } else {
            choice.put("text", text);
        }
        return choice;
    }

    private void usage(ObjectNode body, int position) {
        int prompt = mRequest.prompt().estimatedTokens();
        ObjectNode usage = body.putObject("usage");
        usage.put("prompt_tokens", prompt).put("completion_tokens", position);
        usage.put("total_tokens", prompt + position);
        usage.putObject("prompt_tokens_details").put("cached_tokens", mRequest.cachedTokens());
    }

    private void event(String data) throws IOException {
        OutputStream stream = stream();
        stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.flush();
    }

    private OutputStream stream() throws IOException {
        if (mStream == null) {
            mExchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            mExchange.sendResponseHeaders(200, 0);
            mStream = mExchange.getResponseBody();
        }
        return mStream;
    }
}
