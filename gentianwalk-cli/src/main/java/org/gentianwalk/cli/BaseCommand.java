package org.gentianwalk.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base of the commands: help option, exit codes and streams. */
@Command(
        mixinStandardHelpOptions = true,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused or failed; the reason is on stderr",
            "2:wrong use of the command"
        })
abstract class BaseCommand implements Callable<Integer> {
    /** Exit code of a command that did what it was asked for. */
    static final int DONE = 0;

    /** Exit code of a command that was refused or failed. */
    static final int FAILED = 1;

    @Spec private @Nullable CommandSpec mSpec;

    /** Returns the stream for results. */
    protected final PrintWriter out() {
        return spec().commandLine().getOut();
    }

    /** Returns the stream for errors. */
    protected final PrintWriter err() {
        return spec().commandLine().getErr();
    }

    private CommandSpec spec() {
        CommandSpec spec = mSpec;
        if (spec == null) {
            throw new IllegalStateException("picocli did not set the command");
        }
        return spec;
    }
}
