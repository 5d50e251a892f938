package org.gentianwalk.server.admin;

import com.sun.net.httpserver.HttpExchange;
import java.util.Set;
import org.gentianwalk.server.metrics.Metrics;

/** Handles {@code GET /metrics}. Requires no token, as Prometheus expects. */
final class MetricsHandler extends AdminHandler {
    private final Metrics mMetrics;

    /** Creates the handler. */
    MetricsHandler(Metrics metrics) {
        super("/metrics", Set.of("GET", "HEAD"), null);
        mMetrics = metrics;
    }

    @Override
    protected Reply reply(HttpExchange exchange) {
        return Reply.text("text/plain; version=0.0.4; charset=utf-8", mMetrics.prometheusText());
    }
}
