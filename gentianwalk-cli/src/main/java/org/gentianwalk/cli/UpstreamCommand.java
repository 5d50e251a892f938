package org.gentianwalk.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Base of the commands that mark an upstream at all instances. */
abstract class UpstreamCommand extends BaseCommand {
    @Parameters(
            paramLabel = "UPSTREAM",
            description = "Name of an engine or of a plain service's upstream in the settings.")
    private String mUpstream = "";

    @Mixin private InstanceOptions mInstance = new InstanceOptions();

    private final String mPath;
    private final String mResult;

    /** Creates a command that posts to a path and prints a result with the upstream's name. */
    UpstreamCommand(String path, String result) {
        mPath = path;
        mResult = result;
    }

    @Override
    public final Integer call() throws IOException, CliException {
        String name = URLEncoder.encode(mUpstream, StandardCharsets.UTF_8);
        mInstance.client().require("POST", mPath + "?upstream=" + name);
        out().println(mUpstream + " " + mResult);
        return DONE;
    }
}
