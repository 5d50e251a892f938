/** Manifests of a small deployment with two routes to one plain service. */
final class Manifest {
    private Manifest() {}

    /** Returns a manifest; the time-outs are those of the unsafe and of the safe route. */
    static String of(int version, int ordersMillis, int lookupsMillis, String... keys) {
        StringBuilder list = new StringBuilder();
        for (String key : keys) {
            list.append(list.isEmpty() ? "" : ",").append(Json.text(key));
        }
        return "{\"version\":" + version + ",\"routes\":["
                + route("orders", "/orders/", "unsafe", ordersMillis, 1) + ","
                + route("lookups", "/lookups/", "safe", lookupsMillis, 2)
                + "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":500,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[" + list + "]}]}";
    }

    private static String route(String name, String prefix, String kind, int timeoutMillis, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + timeoutMillis / 2
                + ",\"priority\":0,\"service\":\"desk\",\"max_attempts\":" + attempts + ",\"allow_anonymous\":false}";
    }
}
