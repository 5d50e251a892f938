package org.gentianwalk.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.ConfigLoader;
import org.gentianwalk.core.config.LoadResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk config apply}: commits a folder for all instances. */
@Command(
        name = "apply",
        description =
                "Checks a settings folder and commits it for all instances. When another operator"
                        + " was first, it prints what changed, and nothing is committed.")
public final class ConfigApplyCommand extends BaseCommand {
    @Parameters(paramLabel = "DIR", description = "Folder with .yaml files.")
    private Path mFolder = Path.of(".");

    @Option(
            names = "--base",
            paramLabel = "N",
            required = true,
            description = "Version that the folder started from, 0 for the first.")
    private long mBase;

    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "Name for the record (default: your user name).")
    private String mAuthor = "";

    @Mixin private InstanceOptions mInstance = new InstanceOptions();

    @Override
    public Integer call() throws IOException, CliException {
        ConfigFolder folder = ConfigFolder.read(mFolder);
        if (new ConfigLoader().load(folder, 0) instanceof LoadResult.Refused refused) {
            refused.problems().forEach(problem -> err().println(problem));
            return FAILED;
        }
        AdminClient.Answer answer = mInstance.client().send("POST", "/admin/config", body(folder));
        if (!answer.ok()) {
            for (JsonNode problem : answer.body().path("problems")) {
                err().println(problem.asText());
            }
            throw new CliException(answer.error());
        }
        out().println("accepted as version " + answer.body().path("version").asLong());
        return DONE;
    }

    private String body(ConfigFolder folder) throws JsonProcessingException {
        Map<String, String> files = new TreeMap<>();
        folder.files()
                .forEach(
                        (name, bytes) ->
                                files.put(name, new String(bytes, StandardCharsets.UTF_8)));
        return AdminClient.JSON.writeValueAsString(
                Map.of("base_version", mBase, "author", mAuthor, "files", files));
    }
}
