package org.gentianwalk.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;

/**
 * Measures the costs of polling the instance list every second and each engine's load report every
 * 250 ms, as the server's pollers do. The CPU time covers the parsing of the bodies, but not HTTP.
 */
final class PollingProbes {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int INSTANCES = 350;
    private static final int ENGINES = 12_000;
    private static final int REPORTS_PER_SECOND = 4;
    private static final double MICRO = 1_000;

    /** Size of the request and response headers of the JDK's client and server, bytes. */
    private static final int HTTP_BYTES =
            ("GET /load HTTP/1.1\r\nHost: 10.20.30.40:9000\r\nUser-Agent: Java-http-client/25\r\n"
                            + "\r\nHTTP/1.1 200 OK\r\nDate: Fri, 04 Dec 2026 05:35:00 GMT\r\n"
                            + "Content-type: application/json\r\nContent-length: 200\r\n\r\n")
                    .length();

    private final Meter mMeter;
    private final int[] mEntries;

    PollingProbes(boolean quick) {
        mMeter = new Meter(quick);
        mEntries = quick ? new int[] {100, 200, 400} : new int[] {1_500, 3_000, 6_000, 12_350};
    }

    List<CapacityProbe> all() {
        return List.of(
                new Probe(
                        "instance list",
                        "bytes a second, received",
                        "entries",
                        mEntries,
                        INSTANCES + ENGINES,
                        size -> HTTP_BYTES + encodeList(size).length),
                new Probe(
                        "instance list",
                        "processor time of parsing, µs a second",
                        "entries",
                        mEntries,
                        INSTANCES + ENGINES,
                        size -> {
                            byte[] body = encodeList(size);
                            return mMeter.nanosPerCall(() -> parseList(body, size)) / MICRO;
                        }),
                new Probe(
                        "engine load reports",
                        "bytes a second, sent and received",
                        "engines polled",
                        mEntries,
                        ENGINES,
                        size ->
                                (double) REPORTS_PER_SECOND
                                        * size
                                        * (HTTP_BYTES + encodeLoad(1).length)),
                new Probe(
                        "engine load reports",
                        "processor time of parsing, µs a second",
                        "engines polled",
                        mEntries,
                        ENGINES,
                        size -> {
                            byte[] body = encodeLoad(1);
                            double nanos = mMeter.nanosPerCall(() -> parseLoads(body, size));
                            return REPORTS_PER_SECOND * nanos / MICRO;
                        }));
    }

    private static byte[] encodeList(int entries) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode list = root.putArray("instances");
        for (int i = 0; i < entries; i++) {
            list.addObject()
                    .put("id", "engine-%05d".formatted(i))
                    .put("kind", "upstream")
                    .put("address", "10.20.%d.%d:9000".formatted(i >> 8, i & 0xff))
                    .put("zone", "zone-" + i % 8)
                    .put("region", "region-" + i % 4)
                    .put("state", "live");
        }
        return JSON.writeValueAsBytes(root);
    }

    private static void parseList(byte[] body, int expected) {
        List<InstanceList.Entry> entries = new ArrayList<>();
        for (JsonNode node : parse(body).path("instances")) {
            entries.add(
                    new InstanceList.Entry(
                            node.path("id").asText(),
                            InstanceList.Kind.UPSTREAM,
                            node.path("address").asText(),
                            new Location(node.path("region").asText(), node.path("zone").asText()),
                            InstanceList.State.LIVE));
        }
        if (entries.size() != expected) {
            throw new IllegalStateException(entries.size() + " entries");
        }
    }

    private static byte[] encodeLoad(int running) {
        return JSON.createObjectNode()
                .put("running", running)
                .put("waiting", 0)
                .put("slots", 16)
                .put("kv_used", 123_456)
                .put("kv_total", 400_000)
                .put("tokens_per_second", 398.5)
                .put("reported_at_ms", 1_700_000_000_000L)
                .put("draining", false)
                .set("models", JSON.createArrayNode().add("model-12"))
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private static void parseLoads(byte[] body, int engines) {
        for (int i = 0; i < engines; i++) {
            if (parse(body).path("running").asInt() != 1) {
                throw new IllegalStateException("unexpected content of the load report");
            }
        }
    }

    private static JsonNode parse(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
