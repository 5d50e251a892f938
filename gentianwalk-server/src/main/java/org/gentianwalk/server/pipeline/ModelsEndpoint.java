package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.server.http.InstanceHttpServer;
import org.gentianwalk.server.http.Replies;

/**
 * Serves {@code GET /v1/models} and {@code /v1/models/{model}}: the models that the team may use.
 */
public final class ModelsEndpoint implements HttpHandler {
    /** Path of the list; a model's path has its name after a slash. */
    public static final String PATH = "/v1/models";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_OK = 200;

    private final CallFilter mAuthenticate = new AuthenticateFilter();
    private final Supplier<ServingRules> mRules;

    /**
     * Creates an endpoint.
     *
     * @param rules the configuration in force
     */
    public ModelsEndpoint(Supplier<ServingRules> rules) {
        mRules = rules;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        CallContext call = new CallContext(exchange, mRules.get(), 0);
        ServeError error = mAuthenticate.apply(call);
        String path = exchange.getRequestURI().getPath();
        if (error != null) {
            Replies.error(exchange, error);
        } else if (!exchange.getRequestMethod().equals("GET")) {
            exchange.getResponseHeaders().set("Allow", "GET");
            Replies.error(
                    exchange,
                    ServeError.rejected(
                            ErrorKind.METHOD_NOT_ALLOWED, exchange.getRequestMethod(), "GET"));
        } else if (path.equals(PATH)) {
            ObjectNode body = JSON.createObjectNode().put("object", "list");
            ArrayNode data = body.putArray("data");
            allowedModels(call).forEach(model -> data.add(describe(model)));
            Replies.json(exchange, STATUS_OK, body);
        } else if (path.startsWith(PATH + "/")) {
            writeModel(exchange, allowedModels(call), path.substring(PATH.length() + 1));
        } else {
            InstanceHttpServer.notFound(exchange);
        }
    }

    private static void writeModel(HttpExchange exchange, Set<String> models, String model)
            throws IOException {
        if (models.contains(model)) {
            Replies.json(exchange, STATUS_OK, describe(model));
        } else {
            Replies.error(exchange, ServeError.rejected(ErrorKind.MODEL_NOT_FOUND, model));
        }
    }

    private static Set<String> allowedModels(CallContext call) {
        Set<String> models = new TreeSet<>();
        call.rules().engines().forEach(engine -> models.addAll(engine.models()));
        Set<String> allowed =
                call.rules().workRule(call.team(), null).map(WorkRule::models).orElse(Set.of());
        if (!allowed.isEmpty()) {
            models.retainAll(allowed);
        }
        return models;
    }

    private static ObjectNode describe(String model) {
        return JSON.createObjectNode()
                .put("id", model)
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", "gentianwalk");
    }
}
