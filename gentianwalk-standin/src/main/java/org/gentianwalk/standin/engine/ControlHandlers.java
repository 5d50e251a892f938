package org.gentianwalk.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.gentianwalk.standin.StandinHttp;
import org.jspecify.annotations.Nullable;

/** Cancelling, load report, cache events and orders. */
final class ControlHandlers {
    private static final String CANCEL_PATH = "/v1/requests/";
    private static final String CANCEL_SUFFIX = "/cancel";

    private final EngineStandin.Life mLife;
    private final Deque<Report> mReports = new ArrayDeque<>();
    private @Nullable Report mPublished;

    ControlHandlers(EngineStandin.Life life) {
        mLife = life;
    }

    void cancel(HttpExchange exchange) throws IOException {
        awaitRunning();
        String path = exchange.getRequestURI().getPath();
        if (!path.endsWith(CANCEL_SUFFIX)) {
            StandinHttp.error(exchange, 404, "not_found");
            return;
        }
        String id = path.substring(CANCEL_PATH.length(), path.length() - CANCEL_SUFFIX.length());
        EngineRequest request = mLife.mRequests.get(id);
        if (request == null) {
            StandinHttp.error(exchange, 404, "unknown_request");
            return;
        }
        request.cancel();
        mLife.mSlots.wake();
        StandinHttp.reply(exchange, 200, StandinHttp.JSON.createObjectNode());
    }

    void models(HttpExchange exchange) throws IOException {
        awaitRunning();
        ObjectNode body = StandinHttp.JSON.createObjectNode().put("object", "list");
        ArrayNode data = body.putArray("data");
        mLife.options().models().forEach(model -> data.addObject().put("id", model));
        StandinHttp.reply(exchange, 200, body);
    }

    void load(HttpExchange exchange) throws IOException {
        awaitRunning();
        Report report = lagged(System.nanoTime());
        EngineOptions options = mLife.options();
        ObjectNode body = StandinHttp.JSON.createObjectNode();
        body.put("running", report.running());
        body.put("waiting", report.waiting());
        body.put("slots", options.slots());
        body.put("kv_used", mLife.mCache.size());
        body.put("kv_total", options.cache().blocks());
        double interval = Math.max(1, options.timing().tokenInterval().toNanos());
        body.put("tokens_per_second", report.running() * 1e9 / interval);
        body.put("reported_at_ms", report.atMillis());
        body.put("draining", mLife.faults().isDraining());
        body.putPOJO("models", options.models());
        StandinHttp.reply(exchange, 200, StandinHttp.JSON.valueToTree(body));
    }

    void cacheEvents(HttpExchange exchange) throws IOException {
        awaitRunning();
        long after = Long.parseLong(StandinHttp.query(exchange).getOrDefault("after", "0"));
        ObjectNode body = StandinHttp.JSON.createObjectNode();
        ArrayNode events = body.putArray("events");
        long next = after;
        for (PrefixCache.Event event : mLife.mCache.eventsAfter(after, System.nanoTime())) {
            events.addObject()
                    .put("seq", event.sequence())
                    .put("type", event.type())
                    .put("hash", event.hash());
            next = event.sequence();
        }
        body.put("next", next);
        StandinHttp.reply(exchange, 200, body);
    }

    void orders(HttpExchange exchange) throws IOException {
        awaitRunning();
        JsonNode order = StandinHttp.JSON.readTree(exchange.getRequestBody());
        if (mLife.mOrders.accept(order, mLife.faults().isFencingIgnored())) {
            StandinHttp.reply(exchange, 200, mLife.mOrders.state());
        } else {
            StandinHttp.error(exchange, 409, "stale_fencing");
        }
    }

    void state(HttpExchange exchange) throws IOException {
        awaitRunning();
        StandinHttp.reply(exchange, 200, mLife.mOrders.state());
    }

    private synchronized Report lagged(long nowNanos) {
        long lag = mLife.options().timing().loadLag().toNanos();
        Report current =
                new Report(
                        mLife.mSlots.running(),
                        mLife.mSlots.waiting(),
                        nowNanos,
                        System.currentTimeMillis());
        mReports.addLast(current);
        Report oldest = mReports.peekFirst();
        while (oldest != null && nowNanos - oldest.atNanos() >= lag) {
            mPublished = mReports.removeFirst();
            oldest = mReports.peekFirst();
        }
        return mPublished == null ? current : mPublished;
    }

    private void awaitRunning() throws IOException {
        try {
            mLife.faults().awaitRunning();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while paused", e);
        }
    }

    private record Report(int running, int waiting, long atNanos, long atMillis) {}
}
