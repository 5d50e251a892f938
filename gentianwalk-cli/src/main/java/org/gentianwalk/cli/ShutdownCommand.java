package org.gentianwalk.cli;

import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code gentianwalk shutdown}: stops an instance without cutting off a request. */
@Command(
        name = "shutdown",
        description =
                "Starts a graceful shutdown: no new work, and an end when what runs is finished.")
public final class ShutdownCommand extends BaseCommand {
    @Mixin private InstanceOptions mInstance = new InstanceOptions();

    @Override
    public Integer call() throws IOException, CliException {
        mInstance.client().require("POST", "/admin/shutdown");
        out().println("the instance stops when what runs is finished");
        return DONE;
    }
}
