package org.gentianwalk.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TransactionalTable.Change;
import org.gentianwalk.core.platform.TransactionalTable.Condition;
import org.gentianwalk.core.platform.WriteResult;

/** The table service's HTTP interface. */
final class TableHandler implements HttpHandler {
    private static final String ROWS = "/table/";
    private static final String TRANSACTION = "/table/transaction";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAX_LIMIT = 1000;

    private final MemoryTable mTable;
    private final OperationGate mGate;

    TableHandler(MemoryTable table, OperationGate gate) {
        mTable = table;
        mGate = gate;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getRawPath();
        String method = exchange.getRequestMethod();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (path.equals(TRANSACTION) && method.equals("POST")) {
            mGate.run(exchange, Operation.TRANSACTION, "", () -> transact(body));
        } else if (path.startsWith(ROWS)) {
            row(exchange, method, Paths.key(path, ROWS), body);
        } else if (method.equals("GET")) {
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String prefix = query.getOrDefault("prefix", "");
            mGate.run(exchange, Operation.LIST, prefix, () -> list(prefix, query));
        } else {
            Reply.of(Reply.METHOD_NOT_ALLOWED).send(exchange);
            exchange.close();
        }
    }

    private void row(HttpExchange exchange, String method, String key, byte[] body)
            throws IOException {
        OptionalLong expected = expected(exchange);
        switch (method) {
            case "GET" -> mGate.run(exchange, Operation.READ, key, () -> read(key));
            case "PUT" ->
                    mGate.run(
                            exchange,
                            Operation.WRITE,
                            key,
                            () ->
                                    expected.isEmpty()
                                            ? Reply.of(Reply.BAD_REQUEST)
                                            : reply(mTable.write(key, expected.getAsLong(), body)));
            case "DELETE" ->
                    mGate.run(
                            exchange,
                            Operation.DELETE,
                            key,
                            () ->
                                    expected.isEmpty()
                                            ? Reply.of(Reply.BAD_REQUEST)
                                            : reply(mTable.delete(key, expected.getAsLong())));
            default -> {
                Reply.of(Reply.METHOD_NOT_ALLOWED).send(exchange);
                exchange.close();
            }
        }
    }

    private Reply read(String key) {
        return mTable.read(key) instanceof ReadResult.Found found
                ? Reply.row(Reply.OK, found.row())
                : Reply.of(Reply.NOT_FOUND);
    }

    private Reply list(String prefix, Map<String, String> query) {
        int limit = DEFAULT_LIMIT;
        try {
            limit = Integer.parseInt(query.getOrDefault("limit", "" + DEFAULT_LIMIT));
        } catch (NumberFormatException e) {
            return Reply.of(Reply.BAD_REQUEST);
        }
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode rows = answer.putArray("rows");
        int most = Math.clamp(limit, 1, MAX_LIMIT);
        for (Row row : mTable.list(prefix, query.getOrDefault("after", ""), most)) {
            rows.addObject()
                    .put("key", row.key())
                    .put("version", row.version())
                    .put("value", row.value());
        }
        return Reply.json(Reply.OK, answer);
    }

    private Reply transact(byte[] body) throws IOException {
        List<Condition> conditions = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        try {
            JsonNode request = JSON.readTree(body);
            for (JsonNode node : request.path("conditions")) {
                conditions.add(
                        new Condition(node.path("key").asText(), node.path("version").asLong()));
            }
            for (JsonNode node : request.path("changes")) {
                String key = node.path("key").asText();
                changes.add(
                        node.has("value")
                                ? new Change.Put(key, node.path("value").binaryValue())
                                : new Change.Delete(key));
            }
        } catch (JsonProcessingException e) {
            return Reply.of(Reply.BAD_REQUEST);
        }
        WriteResult result = mTable.transact(conditions, changes);
        Reply reply = reply(result);
        if (result instanceof WriteResult.Conflict conflict && conflict.current() != null) {
            return reply.with("Row-Key", Paths.encode(conflict.current().key()));
        }
        return reply;
    }

    private static Reply reply(WriteResult result) {
        return switch (result) {
            case WriteResult.Written written ->
                    Reply.of(Reply.OK).with("ETag", Reply.etag(written.version()));
            case WriteResult.Conflict conflict ->
                    Reply.row(Reply.PRECONDITION_FAILED, conflict.current());
            default -> throw new IllegalStateException("the table in memory answers: " + result);
        };
    }

    private static OptionalLong expected(HttpExchange exchange) {
        String match = exchange.getRequestHeaders().getFirst("If-Match");
        if ("*".equals(exchange.getRequestHeaders().getFirst("If-None-Match"))) {
            return OptionalLong.of(Row.ABSENT);
        }
        if (match == null || !match.matches("\"[0-9]{1,18}\"")) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(match.substring(1, match.length() - 1)));
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                String value = part.substring(equals + 1);
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(value, StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
