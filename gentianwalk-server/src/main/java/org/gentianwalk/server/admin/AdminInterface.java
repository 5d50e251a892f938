package org.gentianwalk.server.admin;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.gentianwalk.server.config.ConfigAccess;
import org.gentianwalk.server.metrics.Metrics;

/**
 * The HTTP interface for operators: {@code /metrics}, {@code /admin/status}, {@code /admin/config},
 * {@code /admin/drain}, {@code /admin/undrain} and {@code /admin/shutdown}. Example: {@code new
 * AdminInterface(token, control, config, metrics).addTo(server)}.
 */
public final class AdminInterface {
    private final List<AdminHandler> mHandlers;

    /**
     * Creates the interface.
     *
     * @param token verifies the operators' token
     * @param control controls the instance
     * @param config the configuration
     * @param metrics the metrics
     */
    public AdminInterface(
            AdminToken token, InstanceControl control, ConfigAccess config, Metrics metrics) {
        mHandlers =
                List.of(
                        new MetricsHandler(metrics),
                        new ConfigHandler(token, config),
                        new ControlHandler("/admin/status", "GET", token, control::status),
                        new UpstreamHandler("/admin/drain", token, control, true),
                        new UpstreamHandler("/admin/undrain", token, control, false),
                        new ControlHandler(
                                "/admin/shutdown",
                                "POST",
                                token,
                                () -> {
                                    control.shutdown();
                                    return Map.of("stopping", true);
                                }));
    }

    /**
     * Registers the handlers.
     *
     * @param server the server; its executor must allow handlers to block
     */
    public void addTo(HttpServer server) {
        addTo(server::createContext);
    }

    /**
     * Registers the handlers.
     *
     * @param registration called with each path and its handler; handlers may block
     */
    public void addTo(BiConsumer<String, HttpHandler> registration) {
        for (AdminHandler handler : mHandlers) {
            registration.accept(handler.path(), handler);
        }
    }
}
