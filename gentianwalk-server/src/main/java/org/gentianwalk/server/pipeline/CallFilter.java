package org.gentianwalk.server.pipeline;

import java.io.IOException;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/** One step in the processing of a call before its work starts. */
public interface CallFilter {
    /**
     * Checks a call and adds the results to its context.
     *
     * @param call the call
     * @return the error that ends the call, or null to continue
     * @throws IOException if the caller has disconnected
     */
    @Nullable ServeError apply(CallContext call) throws IOException;
}
