package org.gentianwalk.server.upstream;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.replica.GenerationState.Token;

/** Builds the request for an engine out of the caller's. */
public final class EngineRequestBody {
    private EngineRequestBody() {}

    /**
     * Builds the request of an attempt.
     *
     * @param caller the caller's request
     * @param engine the engine
     * @param requestId identifier for cancelling
     * @param seed sampling seed
     * @param priority value for the engine's queue, lower first
     * @param held output of earlier attempts
     * @return the request
     */
    public static ObjectNode of(
            ObjectNode caller,
            UpstreamInfo engine,
            String requestId,
            long seed,
            int priority,
            List<Token> held) {
        ObjectNode body = caller.deepCopy();
        body.put("stream", true);
        body.put("request_id", requestId);
        body.put("seed", seed);
        if (engine.supports(Capability.PRIORITY)) {
            body.put("priority", priority);
        }
        if (engine.supports(Capability.TOKEN_IDS)) {
            body.put("return_token_ids", true);
        } else {
            body.remove("return_token_ids");
        }
        if (engine.supports(Capability.RESUME) && !held.isEmpty()) {
            ArrayNode ids = body.putArray("resume_token_ids");
            held.forEach(token -> ids.add(token.id()));
        } else {
            body.remove("resume_token_ids");
        }
        return body;
    }
}
