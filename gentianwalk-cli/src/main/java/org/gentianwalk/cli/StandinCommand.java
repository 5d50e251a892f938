package org.gentianwalk.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code gentianwalk standin}: stand-ins for outside systems, each as a process. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for an outside system.",
        subcommands = {
            StandinEngineCommand.class,
            StandinServiceCommand.class,
            StandinPlatformCommand.class
        })
public final class StandinCommand implements Callable<Integer> {
    @Spec private CommandSpec mSpec = CommandSpec.create();

    @Override
    public Integer call() {
        mSpec.commandLine().usage(System.out);
        return CommandLine.ExitCode.USAGE;
    }
}
