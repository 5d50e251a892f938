package org.gentianwalk.server.pipeline;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/** Looks up the team of the caller's API key. The configuration contains only hashes of keys. */
public final class AuthenticateFilter implements CallFilter {
    private static final String SCHEME = "Bearer ";

    @Override
    public @Nullable ServeError apply(CallContext call) {
        String header = call.header("Authorization");
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return ServeError.rejected(ErrorKind.UNAUTHORIZED);
        }
        byte[] key = header.substring(SCHEME.length()).strip().getBytes(StandardCharsets.UTF_8);
        Optional<String> team = call.rules().teamOfKey(Digests.hex(Digests.sha256(key)));
        if (team.isEmpty()) {
            return ServeError.rejected(ErrorKind.UNAUTHORIZED);
        }
        call.team(team.get());
        return null;
    }
}
