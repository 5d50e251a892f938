package org.gentianwalk.core.config.schema;

import java.util.regex.Pattern;
import org.gentianwalk.core.config.tree.Node;

/** A number without a unit. Values are {@link Double}s. */
public final class NumberType extends ValueType {
    private static final Pattern WHOLE = Pattern.compile("-?[0-9]{1,15}");
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,15}(\\.[0-9]{1,15})?");

    private final Pattern mPattern;

    /**
     * Creates a type.
     *
     * @param name name for messages
     * @param example an accepted value
     * @param whole true when only whole numbers are accepted
     */
    NumberType(String name, String example, boolean whole) {
        super(name, "-", example);
        mPattern = whole ? WHOLE : DECIMAL;
    }

    @Override
    public ParseResult parse(Node.Scalar scalar) {
        if (scalar.type() != Node.ScalarType.NUMBER || !mPattern.matcher(scalar.text()).matches()) {
            return new ParseResult.WrongType();
        }
        double value = Double.parseDouble(scalar.text());
        return new ParseResult.Accepted(value, value);
    }
}
