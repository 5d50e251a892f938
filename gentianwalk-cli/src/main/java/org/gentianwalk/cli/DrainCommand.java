package org.gentianwalk.cli;

import picocli.CommandLine.Command;

/** {@code gentianwalk drain}: stops new work at an upstream. */
@Command(
        name = "drain",
        description =
                "Makes all instances give an upstream no new work, within 3 s; what runs there"
                        + " continues.")
public final class DrainCommand extends UpstreamCommand {
    /** Creates the command. */
    public DrainCommand() {
        super("/admin/drain", "gets no new work; what runs there continues");
    }
}
