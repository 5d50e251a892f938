package org.gentianwalk.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import org.gentianwalk.server.admin.AdminToken;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk config hash-key}: prints the hash of an API key or admin token. */
@Command(
        name = "hash-key",
        description =
                "Reads an API key or admin token from standard input and prints its hash for the"
                        + " settings. With --generate it makes a new one and prints both.")
public final class ConfigHashKeyCommand extends BaseCommand {
    /** Bytes of a new key; 256 bits can't be guessed. */
    private static final int KEY_BYTES = 32;

    @Option(names = "--generate", description = "Makes a new key.")
    private boolean mGenerate;

    @Override
    public Integer call() throws IOException, CliException {
        if (mGenerate) {
            byte[] random = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(random);
            String key = "gw-" + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
            out().println("key:    " + key);
            out().println("sha256: " + AdminToken.hash(key));
            return DONE;
        }
        BufferedReader input =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        @Nullable String line = input.readLine();
        if (line == null || line.isBlank()) {
            throw new CliException("standard input holds no key. Write the key as one line.");
        }
        out().println(AdminToken.hash(line.strip()));
        return DONE;
    }
}
