package org.gentianwalk.core.platform;

import org.jspecify.annotations.Nullable;

/** Result of a conditional write. */
public sealed interface WriteResult {
    /** The write took effect. */
    record Written(long version) implements WriteResult {}

    /** The row did not have the expected version; nothing was changed. */
    record Conflict(@Nullable Row current) implements WriteResult {}

    /** The response was lost; the write may have taken effect or may still do so. */
    record Unknown(String cause) implements WriteResult {}

    /** The request was not sent; nothing was changed. */
    record NotSent(String cause) implements WriteResult {}
}
