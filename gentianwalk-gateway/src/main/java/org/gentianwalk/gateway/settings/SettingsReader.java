package org.gentianwalk.gateway.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.PlacementPolicy;
import org.gentianwalk.core.dispatch.RetryBounds;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.rollout.ExposureLimits;
import org.gentianwalk.gateway.GatewaySettings;
import org.gentianwalk.server.mesh.MeshKey;
import org.jspecify.annotations.Nullable;

/**
 * Reads and validates the settings file of an instance, in YAML. Unknown keys, missing keys and
 * values out of range are rejected with a message that names the key and the remedy.
 *
 * <p>Example: {@code new SettingsReader().read(Path.of("instance.yaml"))}.
 */
public final class SettingsReader {
    private static final Set<String> KEYS =
            Set.of(
                    "name",
                    "zone",
                    "region",
                    "zones",
                    "callers",
                    "readiness",
                    "metrics",
                    "mesh",
                    "mesh_keys",
                    "store",
                    "retry_ratio",
                    "retry_slack",
                    "retry_window_s",
                    "config_change_ms",
                    "upstream_change_ms",
                    "stop_grace_s",
                    "log_level",
                    "queue_order",
                    "placement_policy",
                    "exposure_share",
                    "exposure_slack",
                    "rollback_ms");

    private static final List<String> LOG_LEVELS = List.of("error", "warn", "info", "debug");

    private static final String ORDER_BY_TARGET = "target";
    private static final List<String> QUEUE_ORDERS = List.of("arrival", ORDER_BY_TARGET);

    private static final double DEFAULT_RETRY_RATIO = 0.2;
    private static final double DEFAULT_RETRY_SLACK = 20;
    private static final double DEFAULT_RETRY_WINDOW_S = 10;
    private static final double DEFAULT_STOP_GRACE_S = 8;
    private static final double DEFAULT_CHANGE_MS = 2_500;
    private static final double MIN_CHANGE_MS = 500;
    private static final double MAX_CHANGE_MS = 60_000;
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_EXPOSURE_SLACK = 0;
    private static final double DEFAULT_ROLLBACK_MS = 5_000;
    private static final double MAX_ROLLBACK_MS = 600_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Prefix of the environment variables that stand for keys; the key follows in capitals. */
    private static final String VARIABLE_PREFIX = "GENTIANWALK_";

    private final Map<String, String> mEnvironment;

    /** Creates a reader that uses the environment of the process. */
    public SettingsReader() {
        this(System.getenv());
    }

    /**
     * Creates a reader.
     *
     * @param environment environment variables, for the times that the file does not state
     */
    SettingsReader(Map<String, String> environment) {
        mEnvironment = Map.copyOf(environment);
    }

    /**
     * Reads a settings file.
     *
     * @param file its path
     * @return the settings
     * @throws SettingsException if the file can't be read or a value is not valid
     */
    public GatewaySettings read(Path file) throws SettingsException {
        JsonNode root;
        try {
            root = new YAMLMapper().readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new SettingsException(
                    "settings file " + file + " can't be read; it has to be YAML", e);
        }
        return read(root);
    }

    /**
     * Reads settings from a parsed file.
     *
     * @param root the parsed file
     * @return the settings
     * @throws SettingsException if a value is not valid
     */
    GatewaySettings read(JsonNode root) throws SettingsException {
        if (!root.isObject()) {
            throw new SettingsException("the settings file must hold keys with values");
        }
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            if (!KEYS.contains(entry.getKey())) {
                throw new SettingsException(
                        "unknown key " + entry.getKey() + "; remove it or correct its name");
            }
        }
        Location own = new Location(requiredText(root, "region"), requiredText(root, "zone"));
        return new GatewaySettings(
                requiredText(root, "name"),
                new LocationMap(own, zones(root)),
                address(root, "callers"),
                address(root, "readiness"),
                root.hasNonNull("metrics") ? address(root, "metrics") : null,
                new GatewaySettings.Mesh(address(root, "mesh"), keys(root)),
                addressText(root, "store"),
                new RetryBounds(
                        number(root, "retry_ratio", DEFAULT_RETRY_RATIO, 0, 10),
                        number(root, "retry_slack", DEFAULT_RETRY_SLACK, 0, 1e6),
                        seconds(root, "retry_window_s", DEFAULT_RETRY_WINDOW_S)),
                millis(root, "config_change_ms"),
                millis(root, "upstream_change_ms"),
                seconds(root, "stop_grace_s", DEFAULT_STOP_GRACE_S),
                logLevel(root),
                queueOrder(root).equals(ORDER_BY_TARGET),
                placement(root),
                exposure(root));
    }

    /** Returns the bounds of version rollouts, or null when rollouts are not handled. */
    private @Nullable ExposureLimits exposure(JsonNode root) throws SettingsException {
        JsonNode shareGiven = withEnvironment(root, "exposure_share");
        JsonNode slackGiven = withEnvironment(root, "exposure_slack");
        JsonNode rollbackGiven = withEnvironment(root, "rollback_ms");
        // Checked in any case, so that a wrong value is found before the first rollout.
        double share = number(shareGiven, "exposure_share", 0, 0, 1);
        double slack = number(slackGiven, "exposure_slack", DEFAULT_EXPOSURE_SLACK, 0, 1e6);
        double millis =
                number(rollbackGiven, "rollback_ms", DEFAULT_ROLLBACK_MS, 0, MAX_ROLLBACK_MS);
        if (!shareGiven.hasNonNull("exposure_share")) {
            return null;
        }
        return new ExposureLimits(share, (int) slack, Math.round(millis * NANOS_PER_MILLI));
    }

    private static Map<String, String> zones(JsonNode root) throws SettingsException {
        JsonNode zones = root.path("zones");
        if (!zones.isObject() || zones.isEmpty()) {
            throw new SettingsException("key zones must map each zone to its region");
        }
        Map<String, String> regions = new HashMap<>();
        for (Map.Entry<String, JsonNode> zone : zones.properties()) {
            regions.put(zone.getKey(), zone.getValue().asText());
        }
        return regions;
    }

    private static String requiredText(JsonNode root, String key) throws SettingsException {
        JsonNode value = root.path(key);
        if (!value.isValueNode() || value.asText("").isEmpty()) {
            throw new SettingsException("key " + key + " is missing; give it a value");
        }
        return value.asText();
    }

    private static String addressText(JsonNode root, String key) throws SettingsException {
        address(root, key);
        return requiredText(root, key);
    }

    private static InetSocketAddress address(JsonNode root, String key) throws SettingsException {
        String text = requiredText(root, key);
        int colon = text.lastIndexOf(':');
        int port = -1;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            throw new SettingsException(invalidAddressMessage(key, text), e);
        }
        if (colon < 1 || port < 0 || port > MAX_PORT) {
            throw new SettingsException(invalidAddressMessage(key, text));
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private static String invalidAddressMessage(String key, String text) {
        return "key " + key + " must be an IP number and a port such as 10.0.0.1:8080, not " + text;
    }

    private static String logLevel(JsonNode root) throws SettingsException {
        String level = root.path("log_level").asText("info");
        if (!LOG_LEVELS.contains(level)) {
            throw new SettingsException("key log_level must be one of " + LOG_LEVELS);
        }
        return level;
    }

    private static String queueOrder(JsonNode root) throws SettingsException {
        String order = root.path("queue_order").asText("arrival");
        if (!QUEUE_ORDERS.contains(order)) {
            throw new SettingsException("key queue_order must be one of " + QUEUE_ORDERS);
        }
        return order;
    }

    private static PlacementPolicy.Kind placement(JsonNode root) throws SettingsException {
        String label =
                root.path("placement_policy").asText(PlacementPolicy.Kind.LOWEST_COST.label());
        List<String> labels = new ArrayList<>();
        for (PlacementPolicy.Kind kind : PlacementPolicy.Kind.values()) {
            if (kind.label().equals(label)) {
                return kind;
            }
            labels.add(kind.label());
        }
        throw new SettingsException(
                "key placement_policy must be one of " + labels + ", not " + label);
    }

    private Duration millis(JsonNode root, String key) throws SettingsException {
        JsonNode given = withEnvironment(root, key);
        double millis = number(given, key, DEFAULT_CHANGE_MS, MIN_CHANGE_MS, MAX_CHANGE_MS);
        return Duration.ofMillis(Math.round(millis));
    }

    /** Returns the settings with the environment's value of a key that the file does not state. */
    private JsonNode withEnvironment(JsonNode root, String key) throws SettingsException {
        String variable = VARIABLE_PREFIX + key.toUpperCase(Locale.ROOT);
        String text = mEnvironment.get(variable);
        // A deployment without the value leaves the variable empty.
        return root.hasNonNull(key) || text == null || text.isBlank()
                ? root
                : JsonNodeFactory.instance.objectNode().put(key, parseNumber(variable, text));
    }

    private static double parseNumber(String variable, String text) throws SettingsException {
        try {
            return Double.parseDouble(text.trim());
        } catch (NumberFormatException e) {
            throw new SettingsException(
                    "environment variable " + variable + " must be a number", e);
        }
    }

    private static Duration seconds(JsonNode root, String key, double defaultValue)
            throws SettingsException {
        double seconds = number(root, key, defaultValue, 0.001, 1e6);
        return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    private static double number(
            JsonNode root, String key, double defaultValue, double min, double max)
            throws SettingsException {
        if (!root.hasNonNull(key)) {
            return defaultValue;
        }
        JsonNode value = root.path(key);
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            throw new SettingsException(
                    "key " + key + " must be a number from " + min + " to " + max);
        }
        return value.asDouble();
    }

    private static List<MeshKey> keys(JsonNode root) throws SettingsException {
        JsonNode keys = root.path("mesh_keys");
        if (!keys.isObject() || keys.isEmpty()) {
            throw new SettingsException(
                    "key mesh_keys must map the name of each key to its secret");
        }
        List<MeshKey> found = new ArrayList<>();
        for (Map.Entry<String, JsonNode> key : keys.properties()) {
            byte[] secret = key.getValue().asText().getBytes(StandardCharsets.UTF_8);
            if (key.getKey().isEmpty() || secret.length < MeshKey.MIN_LENGTH) {
                throw new SettingsException(
                        "each secret of mesh_keys needs a name and at least "
                                + MeshKey.MIN_LENGTH
                                + " bytes");
            }
            found.add(new MeshKey(key.getKey(), secret));
        }
        return found;
    }
}
