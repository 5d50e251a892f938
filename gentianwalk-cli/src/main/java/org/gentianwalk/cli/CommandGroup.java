package org.gentianwalk.cli;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that needs one of its subcommands. */
abstract class CommandGroup implements Runnable {
    @Spec private @Nullable CommandSpec mSpec;

    @Override
    public void run() {
        CommandSpec spec = mSpec;
        if (spec == null) {
            throw new IllegalStateException("picocli did not set the command");
        }
        throw new ParameterException(
                spec.commandLine(),
                "Name one of the commands: " + String.join(", ", spec.subcommands().keySet()));
    }
}
