package org.gentianwalk.core.config.schema;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Builds a {@link Spec.Section}. */
final class SectionBuilder {
    private final Map<String, Spec.Key> mKeys = new LinkedHashMap<>();

    /** Adds an optional value. */
    SectionBuilder optional(String name, ValueType type, String meaning) {
        return add(name, new Spec.Value(type, null, null, null), false, meaning);
    }

    /** Adds an optional value with a range. */
    SectionBuilder optional(
            String name, ValueType type, String minimum, String maximum, String meaning) {
        return add(name, new Spec.Value(type, minimum, maximum, null), false, meaning);
    }

    /** Adds a value with a default. */
    SectionBuilder withDefault(
            String name,
            ValueType type,
            @Nullable String minimum,
            @Nullable String maximum,
            String defaultValue,
            String meaning) {
        return add(name, new Spec.Value(type, minimum, maximum, defaultValue), false, meaning);
    }

    /** Adds a required value. */
    SectionBuilder required(String name, ValueType type, String meaning) {
        return add(name, new Spec.Value(type, null, null, null), true, meaning);
    }

    /** Adds a required value with a range. */
    SectionBuilder required(
            String name, ValueType type, String minimum, String maximum, String meaning) {
        return add(name, new Spec.Value(type, minimum, maximum, null), true, meaning);
    }

    /** Adds a key with any specification. */
    SectionBuilder add(String name, Spec spec, boolean required, String meaning) {
        mKeys.put(name, new Spec.Key(name, spec, required, meaning));
        return this;
    }

    /** Returns the section. */
    Spec.Section build() {
        return new Spec.Section(mKeys);
    }
}
