package org.gentianwalk.core.config.version;

import java.util.List;
import org.gentianwalk.core.config.Problem;

/** Result of applying a folder. */
public sealed interface ApplyResult {
    /**
     * The folder was committed; all instances will adopt it.
     *
     * @param version version of the folder
     */
    record Accepted(long version) implements ApplyResult {}

    /**
     * Another change was accepted first; nothing of this one was accepted.
     *
     * @param version the accepted version
     * @param author author of the last accepted change
     * @param changedFiles files that differ from the base version, or from the proposed folder when
     *     the base version is no longer in the history
     */
    record Conflict(long version, String author, List<String> changedFiles) implements ApplyResult {
        public Conflict {
            changedFiles = List.copyOf(changedFiles);
        }
    }

    /**
     * The folder has problems; nothing was written to the store.
     *
     * @param problems all problems
     */
    record Refused(List<Problem> problems) implements ApplyResult {
        public Refused {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The store did not respond; the change was not accepted and will not be accepted later.
     *
     * @param cause what failed
     */
    record Unavailable(String cause) implements ApplyResult {}

    /**
     * The store did not confirm whether the change was accepted; it may still be accepted.
     *
     * @param cause what failed
     */
    record Unknown(String cause) implements ApplyResult {}
}
