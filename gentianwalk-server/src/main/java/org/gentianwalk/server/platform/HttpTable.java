package org.gentianwalk.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TransactionalTable;
import org.gentianwalk.core.platform.WriteResult;

/** HTTP client of the table service. */
public final class HttpTable implements TransactionalTable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;

    private final PlatformHttp mHttp;

    /**
     * Creates the client.
     *
     * @param http connection to the platform
     */
    public HttpTable(PlatformHttp http) {
        mHttp = http;
    }

    @Override
    public ReadResult read(String key) {
        return switch (mHttp.read(mHttp.request(path(key)).GET().build())) {
            case PlatformHttp.Exchange.Answered answered -> readResult(key, answered.response());
            case PlatformHttp.Exchange.NotSent notSent ->
                    new ReadResult.Unavailable(notSent.cause());
            case PlatformHttp.Exchange.Unanswered unanswered ->
                    new ReadResult.Unavailable(unanswered.cause());
        };
    }

    @Override
    public WriteResult write(String key, long expected, byte[] value) {
        HttpRequest.Builder request =
                mHttp.request(path(key)).PUT(HttpRequest.BodyPublishers.ofByteArray(value));
        return change(key, condition(request, expected).build());
    }

    @Override
    public WriteResult delete(String key, long expected) {
        return change(key, condition(mHttp.request(path(key)).DELETE(), expected).build());
    }

    @Override
    public WriteResult transact(List<Condition> conditions, List<Change> changes) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode conditionNodes = body.putArray("conditions");
        for (Condition condition : conditions) {
            conditionNodes
                    .addObject()
                    .put("key", condition.key())
                    .put("version", condition.expected());
        }
        ArrayNode changeNodes = body.putArray("changes");
        for (Change change : changes) {
            switch (change) {
                case Change.Put put ->
                        changeNodes.addObject().put("key", put.key()).put("value", put.value());
                case Change.Delete delete -> changeNodes.addObject().put("key", delete.key());
            }
        }
        String key = conditions.isEmpty() ? "" : conditions.getFirst().key();
        return change(
                key,
                mHttp.request("/table/transaction")
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build());
    }

    @Override
    public List<Row> list(String prefix, String after, int limit) throws PlatformException {
        String path =
                "/table?prefix="
                        + PlatformHttp.encode(prefix)
                        + "&after="
                        + PlatformHttp.encode(after)
                        + "&limit="
                        + limit;
        HttpResponse<byte[]> response =
                Responses.require(mHttp.read(mHttp.request(path).GET().build()), OK);
        List<Row> rows = new ArrayList<>();
        try {
            for (JsonNode node : JSON.readTree(response.body()).path("rows")) {
                rows.add(
                        new Row(
                                node.path("key").asText(),
                                node.path("version").asLong(),
                                node.path("value").binaryValue()));
            }
        } catch (IOException e) {
            throw new PlatformException("the table service sent a malformed list", e);
        }
        return rows;
    }

    private WriteResult change(String key, HttpRequest request) {
        return switch (mHttp.write(request)) {
            case PlatformHttp.Exchange.Answered answered -> writeResult(key, answered.response());
            case PlatformHttp.Exchange.NotSent notSent -> new WriteResult.NotSent(notSent.cause());
            case PlatformHttp.Exchange.Unanswered unanswered ->
                    new WriteResult.Unknown(unanswered.cause());
        };
    }

    private static ReadResult readResult(String key, HttpResponse<byte[]> response) {
        long version = version(response);
        if (response.statusCode() == OK && version > Row.ABSENT) {
            return new ReadResult.Found(new Row(key, version, response.body()));
        }
        if (response.statusCode() == NOT_FOUND) {
            return new ReadResult.Missing();
        }
        return new ReadResult.Unavailable("table service answered " + response.statusCode());
    }

    private static WriteResult writeResult(String key, HttpResponse<byte[]> response) {
        int status = response.statusCode();
        long version = version(response);
        if (status == OK || status == NO_CONTENT) {
            return new WriteResult.Written(version);
        }
        if (status == PRECONDITION_FAILED) {
            String conflicting =
                    response.headers()
                            .firstValue("Row-Key")
                            .map(name -> URLDecoder.decode(name, StandardCharsets.UTF_8))
                            .orElse(key);
            return new WriteResult.Conflict(
                    version == Row.ABSENT ? null : new Row(conflicting, version, response.body()));
        }
        return new WriteResult.Unknown("table service answered " + status);
    }

    private static HttpRequest.Builder condition(HttpRequest.Builder request, long expected) {
        return expected == Row.ABSENT
                ? request.header("If-None-Match", "*")
                : request.header("If-Match", "\"" + expected + "\"");
    }

    private static long version(HttpResponse<?> response) {
        String tag = response.headers().firstValue("ETag").orElse("");
        return tag.matches("\"[0-9]{1,18}\"")
                ? Long.parseLong(tag.substring(1, tag.length() - 1))
                : Row.ABSENT;
    }

    private static String path(String key) {
        return "/table/" + PlatformHttp.encode(key);
    }
}
