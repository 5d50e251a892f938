package org.gentianwalk.core.config.schema;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Specification of the values allowed under a key. */
public sealed interface Spec {
    /**
     * A single value.
     *
     * @param type its type
     * @param minimum smallest accepted value as written in a file, or null for no bound
     * @param maximum largest accepted value as written in a file, or null for no bound
     * @param defaultValue default as written in a file, or null for none
     */
    record Value(
            ValueType type,
            @Nullable String minimum,
            @Nullable String maximum,
            @Nullable String defaultValue)
            implements Spec {}

    /**
     * A list of single values.
     *
     * @param type type of the items
     */
    record ValueList(ValueType type) implements Spec {}

    /**
     * A section: a mapping with a fixed set of keys.
     *
     * @param keys the keys by name, in the order of the reference
     */
    record Section(Map<String, Key> keys) implements Spec {
        public Section {
            keys = Collections.unmodifiableMap(new LinkedHashMap<>(keys));
        }
    }

    /**
     * A mapping from names that the operator chooses to sections.
     *
     * @param section specification of each section
     */
    record SectionMap(Section section) implements Spec {}

    /**
     * A list of sections.
     *
     * @param section specification of each section
     */
    record SectionList(Section section) implements Spec {}

    /**
     * A key of a section.
     *
     * @param name the key
     * @param spec specification of its values
     * @param required whether the key must be set
     * @param meaning description for the reference
     */
    record Key(String name, Spec spec, boolean required, String meaning) {}
}
