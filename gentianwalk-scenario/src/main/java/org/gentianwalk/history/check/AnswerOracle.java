package org.gentianwalk.history.check;

import java.util.List;
import org.gentianwalk.core.model.RequestKey;

/** Knows which token sequences are answers of a single generation. */
@FunctionalInterface
public interface AnswerOracle {
    /**
     * Finds the first token that can't follow the tokens before it.
     *
     * @param key the request
     * @param tokenIds the tokens from position 0
     * @param complete true when the answer ended here
     * @return its position; the length of the list when the end is missing; -1 when all is well
     */
    int firstError(RequestKey key, List<Integer> tokenIds, boolean complete);
}
