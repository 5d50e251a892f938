package org.gentianwalk.core.config.schema;

import org.gentianwalk.core.config.tree.Node;

/** The type of a single value. Subclasses define which texts are accepted. */
public abstract class ValueType {
    private final String mName;
    private final String mUnit;
    private final String mExample;

    /**
     * Creates a type.
     *
     * @param name name for messages and the reference
     * @param unit accepted units, or "-" for none
     * @param example an accepted value
     */
    protected ValueType(String name, String unit, String example) {
        mName = name;
        mUnit = unit;
        mExample = example;
    }

    /** Result of parsing a value. */
    public sealed interface ParseResult {
        /**
         * An accepted value.
         *
         * @param value the value in the type's base unit
         * @param magnitude number to compare with a range, 0 when the type has no ranges
         */
        record Accepted(Object value, double magnitude) implements ParseResult {}

        /** The value has the wrong type. */
        record WrongType() implements ParseResult {}

        /** The value is a number without the required unit. */
        record MissingUnit() implements ParseResult {}
    }

    /**
     * Parses a value.
     *
     * @param scalar the value as written
     * @return the value, or why it was rejected
     */
    public abstract ParseResult parse(Node.Scalar scalar);

    /**
     * Returns the name.
     *
     * @return name for messages and the reference
     */
    public final String name() {
        return mName;
    }

    /**
     * Returns the accepted units.
     *
     * @return the units, or "-" for none
     */
    public final String unit() {
        return mUnit;
    }

    /**
     * Returns an example.
     *
     * @return an accepted value
     */
    public final String example() {
        return mExample;
    }
}
