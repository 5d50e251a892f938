package org.gentianwalk.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk config fetch}: writes the folder in force, to change it and apply it. */
@Command(
        name = "fetch",
        description = "Writes the settings in force into an empty folder and prints their version.")
public final class ConfigFetchCommand extends BaseCommand {
    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    @Parameters(paramLabel = "DIR", description = "Folder to write; must be empty or missing.")
    private Path mFolder = Path.of(".");

    @Mixin private InstanceOptions mInstance = new InstanceOptions();

    @Override
    public Integer call() throws IOException, CliException {
        Files.createDirectories(mFolder);
        try (Stream<Path> entries = Files.list(mFolder)) {
            if (entries.findAny().isPresent()) {
                throw new CliException(mFolder + " is not empty. Name a new folder.");
            }
        }
        JsonNode config = mInstance.client().require("GET", "/admin/config");
        for (Map.Entry<String, JsonNode> file : config.path("files").properties()) {
            if (!FILE_NAME.matcher(file.getKey()).matches()) {
                throw new CliException("the instance sent the file name " + file.getKey() + ".");
            }
            Files.writeString(mFolder.resolve(file.getKey()), file.getValue().asText());
        }
        out().println("version " + config.path("version").asLong());
        return DONE;
    }
}
