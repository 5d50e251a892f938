package org.gentianwalk.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.history.HistoryFile;
import org.gentianwalk.history.check.Violation;
import org.gentianwalk.scenario.ScenarioException;
import org.gentianwalk.scenario.ScenarioFile;
import org.gentianwalk.scenario.ScenarioResult;
import org.gentianwalk.scenario.ScenarioRunner;
import org.gentianwalk.server.log.Logging;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk scenario}: runs scenario files and checks their histories. */
@Command(
        name = "scenario",
        description =
                "Runs scenario files with real instances on loopback and checks what happens.")
public final class ScenarioCommand extends BaseCommand {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Scenario files (YAML).")
    private List<Path> mFiles = new ArrayList<>();

    @Option(
            names = "--history",
            paramLabel = "DIR",
            description = "Folder for the history of each run, as JSON lines.")
    private @Nullable Path mHistory;

    @Option(
            names = "--log-level",
            description = "Level of the log on stderr (default: ${DEFAULT-VALUE}).",
            defaultValue = "error")
    private String mLogLevel = "error";

    @Override
    public Integer call() throws Exception {
        boolean success = true;
        try (Logging _ = Logging.start("scenario", mLogLevel, System.err)) {
            for (Path file : mFiles) {
                success &= run(file);
            }
        }
        return success ? DONE : FAILED;
    }

    private boolean run(Path file) throws Exception {
        ScenarioResult result;
        try {
            result = ScenarioRunner.run(ScenarioFile.read(file));
        } catch (ScenarioException e) {
            err().println(e.getMessage());
            return false;
        }
        Path folder = mHistory;
        if (folder != null) {
            HistoryFile.write(result.history(), folder.resolve(file.getFileName() + ".jsonl"));
        }
        out().printf(
                        "%s: %s %s%n",
                        file.getFileName(),
                        result.isSuccess() ? "passed" : "FAILED",
                        result.figures());
        for (Violation violation : result.violations()) {
            out().printf("  %s: %s%n", violation.guarantee(), violation.description());
        }
        result.unmet().forEach(unmet -> out().println("  " + unmet));
        return result.isSuccess();
    }
}
