package org.gentianwalk.server.pipeline;

import org.gentianwalk.core.error.ServeError;

/** End of a generation as its readers see it. */
sealed interface GenerationEnd {
    /** All of its output was released. */
    record Finished(String reason) implements GenerationEnd {}

    /** It ended with an error. */
    record Failed(ServeError error) implements GenerationEnd {}

    /** Another instance has taken it over. */
    record TakenOver() implements GenerationEnd {}
}
