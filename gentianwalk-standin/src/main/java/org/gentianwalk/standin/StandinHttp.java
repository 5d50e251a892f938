package org.gentianwalk.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** What the HTTP stand-ins have in common. */
public final class StandinHttp {
    /** Reads and writes the bodies. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final int BACKLOG = 1024;

    static {
        // The defaults (200 idle connections, 30 s) close connections that a client is about to
        // reuse, which would look like failures of the stand-in.
        System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
        System.setProperty("sun.net.httpserver.idleInterval", "300");
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private StandinHttp() {}

    /**
     * Opens a server on loopback that runs each exchange on a virtual thread.
     *
     * @param port the port, or 0 for a free one
     * @return a server that has not been started
     * @throws IOException if the port is taken
     */
    public static HttpServer open(int port) throws IOException {
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port);
        HttpServer server = HttpServer.create(address, BACKLOG);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        return server;
    }

    /**
     * Sends a JSON answer and ends the exchange.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param body the answer
     * @throws IOException if the connection is gone
     */
    public static void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /**
     * Sends an error and ends the exchange.
     *
     * @param exchange the exchange
     * @param status HTTP status
     * @param code the error's code
     * @throws IOException if the connection is gone
     */
    public static void error(HttpExchange exchange, int status, String code) throws IOException {
        var body = JSON.createObjectNode();
        body.putObject("error").put("code", code).put("message", code).put("type", "engine");
        reply(exchange, status, body);
    }

    /**
     * Splits a query.
     *
     * @param exchange the exchange
     * @return the parameters
     */
    public static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getQuery();
        for (String part : query == null ? new String[0] : query.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                values.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return values;
    }
}
