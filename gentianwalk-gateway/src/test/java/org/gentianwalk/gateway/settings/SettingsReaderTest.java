package org.gentianwalk.gateway.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import org.gentianwalk.core.dispatch.PlacementPolicy;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.rollout.ExposureLimits;
import org.gentianwalk.gateway.GatewaySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against instances that start with wrong or misspelled settings. */
class SettingsReaderTest {
    @Test
    void aCompleteFileIsRead() throws Exception {
        GatewaySettings settings = read("whole");

        assertThat(settings.name()).isEqualTo("front-1");
        assertThat(settings.locations().distance("b")).isEqualTo(Distance.SAME_REGION);
        assertThat(settings.callers().getPort()).isEqualTo(8740);
        assertThat(settings.retries().ratio()).isEqualTo(0.8);
        assertThat(settings.stopGrace()).isEqualTo(Duration.ofSeconds(8));
        assertThat(settings.configChange()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.upstreamChange()).isEqualTo(Duration.ofSeconds(2));
        assertThat(settings.mesh().keys()).singleElement();
        assertThat(settings.ordersByTarget()).isTrue();
    }

    @Test
    void omittedKeysHaveDefaults() throws Exception {
        GatewaySettings settings = read("least");

        assertThat(settings.metrics()).isNull();
        assertThat(settings.logLevel()).isEqualTo("info");
        assertThat(settings.stopGrace()).isPositive();
        assertThat(settings.ordersByTarget()).isFalse();
        assertThat(settings.placement()).isEqualTo(PlacementPolicy.Kind.LOWEST_COST);
    }

    /** A deployment may be able to pass its bounds to the process but not into the file. */
    @Test
    void theEnvironmentStatesTimesThatTheFileOmits() throws Exception {
        Map<String, String> environment =
                Map.of(
                        "GENTIANWALK_CONFIG_CHANGE_MS",
                        "4000",
                        "GENTIANWALK_UPSTREAM_CHANGE_MS",
                        "1500");
        GatewaySettings omitted = new SettingsReader(environment).read(file("least"));
        GatewaySettings stated = new SettingsReader(environment).read(file("whole"));

        assertThat(omitted.configChange()).isEqualTo(Duration.ofSeconds(4));
        assertThat(omitted.upstreamChange()).isEqualTo(Duration.ofMillis(1_500));
        assertThat(stated.configChange()).as("the file goes first").hasSeconds(3);
    }

    @ParameterizedTest
    @ValueSource(strings = {"soon", "-1", "1e9"})
    void aWrongTimeInTheEnvironmentIsRejected(String value) {
        SettingsReader reader = new SettingsReader(Map.of("GENTIANWALK_UPSTREAM_CHANGE_MS", value));

        assertThatThrownBy(() -> reader.read(file("least")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("must be a number");
    }

    /** The variables are empty where a deployment does not state the bounds. */
    @Test
    void theEnvironmentMayStateTheBoundsOfRollouts() throws Exception {
        SettingsReader without = new SettingsReader(Map.of("GENTIANWALK_EXPOSURE_SHARE", ""));
        SettingsReader with =
                new SettingsReader(
                        Map.of(
                                "GENTIANWALK_EXPOSURE_SHARE",
                                "0.1",
                                "GENTIANWALK_EXPOSURE_SLACK",
                                "50",
                                "GENTIANWALK_ROLLBACK_MS",
                                "4000"));

        assertThat(without.read(file("least")).exposure()).isNull();
        assertThat(with.read(file("least")).exposure())
                .isEqualTo(new ExposureLimits(0.1, 50, Duration.ofSeconds(4).toNanos()));
    }

    /** Bounds that are ignored, or misread, would expose callers to a bad version. */
    @Test
    void theBoundsOfRolloutsAreOptional() throws Exception {
        SettingsReader reader = new SettingsReader(Map.of());
        ObjectNode file = (ObjectNode) new YAMLMapper().readTree(file("whole").toFile());
        assertThat(reader.read(file).exposure()).isNull();

        file.put("exposure_share", 0.1).put("exposure_slack", 50).put("rollback_ms", 4_000);
        assertThat(reader.read(file).exposure())
                .isEqualTo(new ExposureLimits(0.1, 50, Duration.ofSeconds(4).toNanos()));

        file.put("exposure_share", 1.5);
        assertThatThrownBy(() -> reader.read(file))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("key exposure_share must be a number from 0.0 to 1.0");
    }

    @Test
    void aSecretIsNotPrinted() throws Exception {
        assertThat(read("whole").toString()).doesNotContain("a-secret-of-many-letters");
    }

    @ParameterizedTest
    @CsvSource({
        "unknown-key, unknown key retry_ration",
        "no-name, key name is missing",
        "no-port, key callers must be an IP number and a port",
        "bad-number, key retry_ratio must be a number",
        "out-of-range, key stop_grace_s must be a number",
        "short-secret, at least 16 bytes",
        "bad-level, key log_level must be one of",
        "bad-order, 'key queue_order must be one of [arrival, target]'",
        "'bad-placement', 'key placement_policy must be one of [lowest-cost, balanced], not even'",
        "no-yaml, it has to be YAML",
        "list, must hold keys with values"
    })
    void invalidSettingsAreRejectedWithKeyAndRemedy(String file, String message) {
        assertThatThrownBy(() -> read(file))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(message);
    }

    private static GatewaySettings read(String name)
            throws SettingsException, URISyntaxException, IOException {
        return new SettingsReader(Map.of()).read(file(name));
    }

    private static Path file(String name) throws URISyntaxException {
        String resource = "/settings/" + name + ".yaml";
        return Path.of(
                Objects.requireNonNull(SettingsReaderTest.class.getResource(resource)).toURI());
    }
}
