package org.gentianwalk.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of {@code bin/gentianwalk}. */
@Command(
        name = "gentianwalk",
        mixinStandardHelpOptions = true,
        version = "gentianwalk 0.1.0",
        description = "Serves long model generations on engines that fail.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused or failed; the reason is on stderr",
            "2:wrong use of the command"
        },
        subcommands = {
            DemoCommand.class,
            ServeCommand.class,
            StandinCommand.class,
            ConfigCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            ShutdownCommand.class,
            ScenarioCommand.class,
            BenchCommand.class,
            VersionCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main implements Callable<Integer> {
    /**
     * Runs the command line.
     *
     * @param arguments the arguments as given
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /**
     * Returns the command line with all commands.
     *
     * @return a command line that prints errors without stack traces
     */
    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExecutionExceptionHandler(new ErrorPrinter());
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.out);
        return CommandLine.ExitCode.USAGE;
    }
}
