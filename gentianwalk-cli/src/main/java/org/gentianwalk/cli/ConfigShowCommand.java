package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.ConfigLoader;
import org.gentianwalk.core.config.EffectiveRule;
import org.gentianwalk.core.config.LoadResult;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk config show}: prints the effective rule of a team and a kind of work. */
@Command(
        name = "show",
        description =
                "Prints the rule that applies to a team and a kind of work, and the file and line"
                        + " that set each value.")
public final class ConfigShowCommand extends BaseCommand {
    @Parameters(paramLabel = "DIR", description = "Folder with .yaml files.")
    private Path mFolder = Path.of(".");

    @Option(names = "--team", paramLabel = "TEAM", required = true, description = "The team.")
    private String mTeam = "";

    @Option(
            names = "--kind",
            paramLabel = "KIND",
            description = "The kind of work (default: the team's default kind).")
    private @Nullable String mKind;

    @Override
    public Integer call() throws IOException, CliException {
        LoadResult result = new ConfigLoader().load(ConfigFolder.read(mFolder), 0);
        if (!(result instanceof LoadResult.Loaded loaded)) {
            throw new CliException(
                    mFolder + " has problems. Run \"gentianwalk config check " + mFolder + "\".");
        }
        Optional<EffectiveRule> found = loaded.config().effectiveRule(mTeam, mKind);
        if (found.isEmpty()) {
            throw new CliException(
                    loaded.config().teams().contains(mTeam)
                            ? "team "
                                    + mTeam
                                    + " may not use kind "
                                    + mKind
                                    + ". Add it to the team's kinds."
                            : "there is no team " + mTeam + ". Check the name.");
        }
        EffectiveRule rule = found.get();
        out().printf(
                        "team %s (branch %s), kind %s%n",
                        rule.team(), rule.branch(), rule.rule().kind());
        rule.settings()
                .forEach(
                        (key, setting) ->
                                out().printf(
                                                "%-18s %-24s %s%n",
                                                key, setting.value(), setting.source()));
        return DONE;
    }
}
