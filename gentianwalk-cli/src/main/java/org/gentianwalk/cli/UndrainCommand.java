package org.gentianwalk.cli;

import picocli.CommandLine.Command;

/** {@code gentianwalk undrain}: ends the drain of an upstream. */
@Command(name = "undrain", description = "Makes all instances give an upstream new work again.")
public final class UndrainCommand extends UpstreamCommand {
    /** Creates the command. */
    public UndrainCommand() {
        super("/admin/undrain", "gets new work again");
    }
}
