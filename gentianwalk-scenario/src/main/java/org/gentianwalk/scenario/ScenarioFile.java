package org.gentianwalk.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** Reads scenario files. A line that is not understood is refused with its file and number. */
public final class ScenarioFile {
    private static final ObjectMapper MAPPER =
            YAMLMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .addModule(
                            new SimpleModule()
                                    .addDeserializer(Duration.class, new DurationReader()))
                    .build();

    private ScenarioFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the scenario
     * @throws ScenarioException if a line is not understood; the message names file and line
     * @throws IOException if the file can't be read
     */
    public static Scenario read(Path file) throws ScenarioException, IOException {
        try {
            return MAPPER.readValue(Files.readString(file), Scenario.class);
        } catch (JsonProcessingException e) {
            int line = lineOf(e, Files.readAllLines(file));
            throw new ScenarioException(
                    file.getFileName() + ":" + line + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Returns the line of a problem. Jackson reports an unknown key only at the end of its object,
     * so the key is looked up backwards from there.
     */
    private static int lineOf(JsonProcessingException problem, List<String> lines) {
        int reported = problem.getLocation() == null ? 0 : problem.getLocation().getLineNr();
        if (!(problem instanceof UnrecognizedPropertyException unknown)) {
            return reported;
        }
        for (int line = Math.min(reported, lines.size()); line > 0; line--) {
            if (lines.get(line - 1).contains(unknown.getPropertyName() + ":")) {
                return line;
            }
        }
        return reported;
    }
}
