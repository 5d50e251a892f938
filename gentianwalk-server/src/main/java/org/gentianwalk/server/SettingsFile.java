package org.gentianwalk.server;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;

/**
 * A settings file for an instance without a platform: its address, the keys of the teams and the
 * engines. Unknown keys are refused.
 *
 * @param id identifier of the instance
 * @param host address to listen on
 * @param port port for callers
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param teams lower-case hexadecimal SHA-256 of an API key, by team
 * @param engines the model engines
 */
public record SettingsFile(
        String id,
        String host,
        int port,
        String region,
        String zone,
        Map<String, String> teams,
        List<Engine> engines) {
    /**
     * A model engine.
     *
     * @param id identifier
     * @param uri base address
     * @param region region of the engine
     * @param zone availability zone of the engine
     * @param models models it serves
     * @param slots maximum concurrent generations
     * @param tokensPerSecond output rate at a full batch
     * @param prefillTokensPerSecond prompt processing rate
     * @param capabilities optional features of the engine
     */
    public record Engine(
            String id,
            URI uri,
            String region,
            String zone,
            Set<String> models,
            int slots,
            double tokensPerSecond,
            double prefillTokensPerSecond,
            Set<Capability> capabilities) {
        UpstreamInfo info() {
            return new UpstreamInfo(
                    id,
                    uri,
                    new Location(region, zone),
                    models,
                    slots,
                    tokensPerSecond,
                    prefillTokensPerSecond,
                    capabilities);
        }
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return its content
     * @throws IOException if it can't be read or a key is missing, unknown or of a wrong type; the
     *     message names line and key
     */
    public static SettingsFile read(Path path) throws IOException {
        return YAMLMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                .build()
                .readValue(path.toFile(), SettingsFile.class);
    }

    /**
     * Returns the settings of the instance itself.
     *
     * @return the settings
     */
    public InstanceSettings instance() {
        return new InstanceSettings(id, host, port, new Location(region, zone));
    }

    /**
     * Returns the rules for serving.
     *
     * @return rules with both kinds of work for all teams
     */
    public FixedRules rules() {
        Map<String, String> byHash =
                teams.entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getValue, Map.Entry::getKey));
        return FixedRules.of(byHash, engines.stream().map(Engine::info).toList());
    }
}
