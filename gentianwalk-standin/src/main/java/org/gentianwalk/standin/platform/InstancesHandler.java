package org.gentianwalk.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.util.Locale;
import org.gentianwalk.core.platform.InstanceList;

/** The instance list's HTTP interface. */
final class InstancesHandler implements HttpHandler {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final LaggingInstances mInstances;
    private final OperationGate mGate;

    InstancesHandler(LaggingInstances instances, OperationGate gate) {
        mInstances = instances;
        mGate = gate;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equals("GET")) {
            mGate.run(exchange, Operation.INSTANCES, "", this::list);
            return;
        }
        Reply.of(Reply.METHOD_NOT_ALLOWED).send(exchange);
        exchange.close();
    }

    private Reply list() {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode entries = answer.putArray("instances");
        for (InstanceList.Entry entry : mInstances.entries()) {
            entries.addObject()
                    .put("id", entry.id())
                    .put("kind", entry.kind().name().toLowerCase(Locale.ROOT))
                    .put("address", entry.address())
                    .put("zone", entry.location().availabilityZone())
                    .put("region", entry.location().region())
                    .put("state", entry.state().name().toLowerCase(Locale.ROOT));
        }
        return Reply.json(Reply.OK, answer);
    }
}
