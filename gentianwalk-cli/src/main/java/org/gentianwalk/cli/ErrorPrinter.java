package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;

/** Prints errors as one line on stderr, without stack traces. */
final class ErrorPrinter implements CommandLine.IExecutionExceptionHandler {
    /** Creates the printer. */
    ErrorPrinter() {}

    @Override
    public int handleExecutionException(
            Exception error, CommandLine command, CommandLine.@Nullable ParseResult result) {
        command.getErr().println("gentianwalk: " + text(error));
        command.getErr().flush();
        return CommandLine.ExitCode.SOFTWARE;
    }

    private static String text(Exception error) {
        return switch (error) {
            case CliException known -> Objects.requireNonNullElse(known.getMessage(), "failed");
            case NoSuchFileException missing ->
                    missing.getFile() + " does not exist. Check the path.";
            case NotDirectoryException file -> file.getFile() + " is not a folder. Name a folder.";
            case AccessDeniedException denied ->
                    denied.getFile() + " may not be read. Check its permissions.";
            case IOException io -> "input or output failed: " + io.getMessage();
            default -> "internal error: " + error + ". Report it with the command that you ran.";
        };
    }
}
