package org.gentianwalk.cli;

import picocli.CommandLine.Command;

/** {@code gentianwalk version}: prints the release and the Java runtime. */
@Command(name = "version", description = "Prints the release and the Java runtime.")
public final class VersionCommand extends BaseCommand {
    /** Release of this build. */
    static final String RELEASE = "0.1.0";

    @Override
    public Integer call() {
        out().println("gentianwalk " + RELEASE);
        out().println("java " + Runtime.version());
        return DONE;
    }
}
