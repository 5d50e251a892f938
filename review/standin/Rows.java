/** Values of rows that the operator and the engines write. */
final class Rows {
    private Rows() {}

    static String route(String prefix, String kind, String service, int timeoutMs, String extra) {
        return "{\"name\":\"r"
                + prefix.replace("/", "-")
                + "\",\"host\":\"desk.example\",\"prefix\":\""
                + prefix
                + "\",\"kind\":\""
                + kind
                + "\",\"timeout_ms\":"
                + timeoutMs
                + ",\"target_latency_ms\":400,\"priority\":2,\"service\":\""
                + service
                + "\",\"allow_anonymous\":false"
                + extra
                + "}";
    }

    static String service(String name, String extra) {
        return "{\"name\":\""
                + name
                + "\",\"health_path\":\"/healthz\",\"max_connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false"
                + extra
                + "}";
    }

    static String config(int version, String routes, String services, String keys) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + routes
                + "],\"services\":["
                + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"member\",\"api_keys\":["
                + keys
                + "]}]}";
    }

    static String engine(String service, int port, String zone, int slots) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\""
                + zone
                + "\",\"version\":\"v1\",\"slots\":"
                + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
    }
}
