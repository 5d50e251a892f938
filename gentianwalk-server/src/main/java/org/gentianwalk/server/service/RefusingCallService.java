package org.gentianwalk.server.service;

import java.time.Duration;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.journal.CallService;
import org.gentianwalk.core.model.RequestKey;

/**
 * Refuses every call with the outcome {@code NOT_RUN}, for instances without a table service to
 * record calls.
 *
 * <p>Options: none. Example: {@code CallService calls = new RefusingCallService();}
 */
public final class RefusingCallService implements CallService {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    @Override
    public CallOutcome execute(RequestKey key, byte[] bodyDigest, Sender sender) {
        return new CallOutcome.Failed(ServeError.refused(ErrorKind.STORE_UNAVAILABLE, RETRY_AFTER));
    }
}
