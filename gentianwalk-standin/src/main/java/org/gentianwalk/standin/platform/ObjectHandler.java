package org.gentianwalk.standin.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;

/** The object store's HTTP interface. */
final class ObjectHandler implements HttpHandler {
    private static final String PREFIX = "/objects/";

    private final MemoryObjects mObjects;
    private final OperationGate mGate;

    ObjectHandler(MemoryObjects objects, OperationGate gate) {
        mObjects = objects;
        mGate = gate;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        String key = Paths.key(exchange.getRequestURI().getRawPath(), PREFIX);
        byte[] body = exchange.getRequestBody().readAllBytes();
        switch (exchange.getRequestMethod()) {
            case "GET" -> mGate.run(exchange, Operation.OBJECT_READ, key, () -> read(key));
            case "PUT" ->
                    mGate.run(
                            exchange,
                            Operation.OBJECT_WRITE,
                            key,
                            () -> {
                                mObjects.put(key, body);
                                return Reply.of(Reply.NO_CONTENT);
                            });
            case "DELETE" ->
                    mGate.run(
                            exchange,
                            Operation.OBJECT_DELETE,
                            key,
                            () -> {
                                mObjects.delete(key);
                                return Reply.of(Reply.NO_CONTENT);
                            });
            default -> {
                Reply.of(Reply.METHOD_NOT_ALLOWED).send(exchange);
                exchange.close();
            }
        }
    }

    private Reply read(String key) {
        return mObjects.read(key)
                .map(content -> Reply.bytes(Reply.OK, content))
                .orElse(Reply.of(Reply.NOT_FOUND));
    }
}
