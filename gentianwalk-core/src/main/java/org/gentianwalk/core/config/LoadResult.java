package org.gentianwalk.core.config;

import java.util.List;
import java.util.stream.Collectors;

/** Result of loading a folder. */
public sealed interface LoadResult {
    /**
     * The folder is valid.
     *
     * @param config the merged settings
     */
    record Loaded(MergedConfig config) implements LoadResult {}

    /**
     * The folder has problems.
     *
     * @param problems all problems, sorted by file and line
     */
    record Refused(List<Problem> problems) implements LoadResult {
        public Refused {
            problems = List.copyOf(problems);
        }

        @Override
        public String toString() {
            return problems.stream().map(Problem::toString).collect(Collectors.joining("\n"));
        }
    }
}
