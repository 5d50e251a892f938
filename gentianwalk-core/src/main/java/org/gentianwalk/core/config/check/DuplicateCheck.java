package org.gentianwalk.core.config.check;

import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.config.tree.Source;
import org.jspecify.annotations.Nullable;

/** Base class of the checks that a value is used only once. */
abstract class DuplicateCheck extends Check {
    private final String mMessageKey;

    /** Creates a check that reports the message with the given key. */
    DuplicateCheck(String messageKey) {
        mMessageKey = messageKey;
    }

    /** Passes each value to the collector. */
    protected abstract void collect(SectionView view, Collector collector);

    /** Receives the values to compare. */
    @FunctionalInterface
    interface Collector {
        /** Adds a value with its path and source. */
        void add(String value, String path, Source source);
    }

    @Override
    public final void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        Map<String, String> pathByValue = new HashMap<>();
        collect(
                view(schema, root),
                (value, path, source) -> {
                    @Nullable String first = pathByValue.putIfAbsent(value, path);
                    if (first != null) {
                        run.report(source, path, mMessageKey, value, first);
                    }
                });
    }
}
