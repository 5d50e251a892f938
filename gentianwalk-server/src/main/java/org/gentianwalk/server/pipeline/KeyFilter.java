package org.gentianwalk.server.pipeline;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;
import org.jspecify.annotations.Nullable;

/** Determines the request key and the position from which the caller continues. */
public final class KeyFilter implements CallFilter {
    /** Header of the request key, in requests and answers. */
    public static final String KEY = "Idempotency-Key";

    private static final String LAST_EVENT = "Last-Event-ID";
    private static final int GENERATED_BYTES = 16;

    private final SecureRandom mRandom = new SecureRandom();

    @Override
    public @Nullable ServeError apply(CallContext call) {
        String supplied = call.header(KEY);
        if (supplied != null && !isValid(supplied)) {
            return ServeError.invalidParameter(
                    KEY,
                    "Header "
                            + KEY
                            + " must have 1 to "
                            + RequestKey.MAX_KEY_LENGTH
                            + " printable ASCII characters without blanks.");
        }
        String last = call.header(LAST_EVENT);
        if (last != null) {
            Optional<EventId> event = EventId.parse(last.strip());
            if (event.isEmpty()) {
                return ServeError.invalidParameter(
                        LAST_EVENT,
                        "Header " + LAST_EVENT + " must be the id of an event of this answer.");
            }
            call.lastEvent(event.get());
        }
        String key = supplied == null ? generate() : supplied;
        call.key(new RequestKey(call.team(), key), supplied != null);
        call.exchange().getResponseHeaders().set(KEY, key);
        return null;
    }

    static boolean isValid(String key) {
        return !key.isEmpty()
                && key.length() <= RequestKey.MAX_KEY_LENGTH
                && key.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private String generate() {
        byte[] bytes = new byte[GENERATED_BYTES];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
