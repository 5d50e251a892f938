package org.gentianwalk.core.config.schema;

import java.util.regex.Pattern;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.config.tree.Source;

/** Converts defaults and bounds of the schema to values as if they were read from a file. */
public final class Literal {
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]+(\\.[0-9]+)?");

    private Literal() {}

    /**
     * Returns a text as a scalar.
     *
     * @param text the text as written in a file
     * @return the scalar
     */
    public static Node.Scalar of(String text) {
        Node.ScalarType type = Node.ScalarType.STRING;
        if (NUMBER.matcher(text).matches()) {
            type = Node.ScalarType.NUMBER;
        } else if (text.equals("true") || text.equals("false")) {
            type = Node.ScalarType.FLAG;
        }
        return new Node.Scalar(Source.DEFAULT, text, type);
    }

    /**
     * Returns the magnitude of a bound.
     *
     * @param type type of the value
     * @param text the bound as written in a file
     * @return the magnitude in the base unit of the type
     */
    public static double magnitude(ValueType type, String text) {
        if (type.parse(of(text)) instanceof ValueType.ParseResult.Accepted accepted) {
            return accepted.magnitude();
        }
        throw new IllegalArgumentException(text + " is not a valid " + type.name());
    }
}
