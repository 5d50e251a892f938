package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.ConfigLoader;
import org.gentianwalk.core.config.LoadResult;
import org.gentianwalk.core.config.MergedConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk config check}: prints all problems of a folder. */
@Command(
        name = "check",
        description = "Checks a settings folder and prints all problems with file and line.")
public final class ConfigCheckCommand extends BaseCommand {
    @Parameters(paramLabel = "DIR", description = "Folder with .yaml files.")
    private Path mFolder = Path.of(".");

    @Override
    public Integer call() throws IOException {
        ConfigFolder folder = ConfigFolder.read(mFolder);
        return switch (new ConfigLoader().load(folder, 0)) {
            case LoadResult.Loaded loaded -> {
                MergedConfig config = loaded.config();
                out().printf(
                                "%s: %d files, %d teams, %d engines, %d services: no problems%n",
                                mFolder,
                                folder.files().size(),
                                config.teams().size(),
                                config.engines().size(),
                                config.services().size());
                yield DONE;
            }
            case LoadResult.Refused refused -> {
                refused.problems().forEach(problem -> err().println(problem));
                err().printf("%s: %d problems%n", mFolder, refused.problems().size());
                yield FAILED;
            }
        };
    }
}
