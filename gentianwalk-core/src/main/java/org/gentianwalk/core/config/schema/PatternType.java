package org.gentianwalk.core.config.schema;

import java.util.regex.Pattern;
import org.gentianwalk.core.config.tree.Node;

/** A text that matches a regular expression. Values are {@link String}s. */
public final class PatternType extends ValueType {
    private final Pattern mPattern;

    /**
     * Creates a type.
     *
     * @param name name for messages; describes the accepted texts
     * @param example an accepted value
     * @param pattern regular expression that the whole text must match
     */
    PatternType(String name, String example, String pattern) {
        super(name, "-", example);
        mPattern = Pattern.compile(pattern);
    }

    @Override
    public ParseResult parse(Node.Scalar scalar) {
        // YAML parses a name that consists only of digits as a number; it is accepted, too.
        boolean text =
                scalar.type() == Node.ScalarType.STRING || scalar.type() == Node.ScalarType.NUMBER;
        if (!text || !mPattern.matcher(scalar.text()).matches()) {
            return new ParseResult.WrongType();
        }
        return new ParseResult.Accepted(scalar.text(), 0);
    }
}
