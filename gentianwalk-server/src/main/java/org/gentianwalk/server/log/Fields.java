package org.gentianwalk.server.log;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Additional fields of a log line. Passed as the parameter of a log call; {@link JsonLineFormatter}
 * writes each as a field of the JSON object.
 */
public final class Fields {
    private final Map<String, Object> mValues = new LinkedHashMap<>();

    /**
     * Adds a field.
     *
     * @param name its name
     * @param value a string, a number, or a map of them; null omits the field
     * @return this
     */
    public Fields with(String name, @Nullable Object value) {
        if (value != null) {
            mValues.put(name, value);
        }
        return this;
    }

    /** Returns the fields in insertion order. */
    Map<String, Object> values() {
        return mValues;
    }

    @Override
    public String toString() {
        return mValues.toString();
    }
}
