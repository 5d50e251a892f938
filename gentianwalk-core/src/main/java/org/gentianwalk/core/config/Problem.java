package org.gentianwalk.core.config;

import java.util.Comparator;
import org.gentianwalk.core.config.tree.Source;

/**
 * A problem found in the settings.
 *
 * @param source file and line
 * @param key path of the key concerned, empty for a problem of the whole file
 * @param message what is wrong and how to correct it
 */
public record Problem(Source source, String key, String message) implements Comparable<Problem> {
    private static final Comparator<Problem> ORDER =
            Comparator.comparing((Problem problem) -> problem.source().file())
                    .thenComparing(problem -> problem.source().line())
                    .thenComparing(Problem::key)
                    .thenComparing(Problem::message);

    @Override
    public int compareTo(Problem other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return source + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
