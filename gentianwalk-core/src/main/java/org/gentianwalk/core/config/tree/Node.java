package org.gentianwalk.core.config.tree;

import java.util.List;
import java.util.Map;

/** A value in a settings file. The source of a value under a key is the line of the key. */
public sealed interface Node {
    /**
     * Returns where the value was set.
     *
     * @return file and line
     */
    Source source();

    /** Type that the YAML parser assigned to a scalar. */
    enum ScalarType {
        STRING,
        NUMBER,
        FLAG,
        EMPTY
    }

    /**
     * A single value.
     *
     * @param source where it was set
     * @param text the text as written, without quotes
     * @param type type that the parser assigned
     */
    record Scalar(Source source, String text, ScalarType type) implements Node {}

    /**
     * A mapping from keys to values, in the order of the file.
     *
     * @param source where the mapping starts
     * @param entries the values by key
     */
    record Mapping(Source source, Map<String, Node> entries) implements Node {
        public Mapping {
            entries = SmallMap.copyOf(entries);
        }
    }

    /**
     * A list of values.
     *
     * @param source where the list starts
     * @param items the values
     */
    record Sequence(Source source, List<Node> items) implements Node {
        public Sequence {
            items = List.copyOf(items);
        }
    }
}
