package org.gentianwalk.server.pipeline;

import java.io.IOException;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.server.http.BodyReader;
import org.jspecify.annotations.Nullable;

/** Reads the request body within the configured limits of size and time. */
public final class BodyFilter implements CallFilter {
    @Override
    public @Nullable ServeError apply(CallContext call) throws IOException {
        switch (BodyReader.read(call.exchange(), call.rules().limits())) {
            case Result.Ok<byte[], ServeError> ok -> {
                call.body(ok.value());
                return null;
            }
            case Result.Err<byte[], ServeError> err -> {
                return err.error();
            }
        }
    }
}
