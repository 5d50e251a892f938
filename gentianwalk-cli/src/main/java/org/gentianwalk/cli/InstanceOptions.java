package org.gentianwalk.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options of the commands that talk to an instance. */
final class InstanceOptions {
    @Option(
            names = "--instance",
            paramLabel = "URL",
            defaultValue = "${env:GENTIANWALK_INSTANCE:-http://127.0.0.1:8080}",
            description =
                    "Address of any instance (default: $GENTIANWALK_INSTANCE or"
                            + " http://127.0.0.1:8080).")
    private URI mInstance = URI.create("http://127.0.0.1:8080");

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            required = true,
            defaultValue = "${env:GENTIANWALK_TOKEN_FILE}",
            description = "File with the admin token (default: $GENTIANWALK_TOKEN_FILE).")
    private Path mTokenFile = Path.of("token");

    /** Creates options that picocli fills. */
    InstanceOptions() {}

    /** Returns a client for the instance. */
    AdminClient client() throws IOException, CliException {
        String token = Files.readString(mTokenFile).strip();
        if (token.isEmpty() || token.lines().count() != 1) {
            throw new CliException(mTokenFile + " must hold the admin token in one line.");
        }
        if (mInstance.getHost() == null) {
            throw new CliException(
                    mInstance
                            + " is not the address of an instance. Write it like"
                            + " http://10.0.0.9:8080.");
        }
        return new AdminClient(mInstance, token);
    }
}
