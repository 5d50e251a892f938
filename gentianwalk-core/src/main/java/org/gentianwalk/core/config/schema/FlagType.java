package org.gentianwalk.core.config.schema;

import java.util.Locale;
import org.gentianwalk.core.config.tree.Node;

/** True or false. Values are {@link Boolean}s. */
public final class FlagType extends ValueType {
    /** Creates the type. */
    FlagType() {
        super("true or false", "-", "true");
    }

    @Override
    public ParseResult parse(Node.Scalar scalar) {
        if (scalar.type() != Node.ScalarType.FLAG) {
            return new ParseResult.WrongType();
        }
        return new ParseResult.Accepted(Boolean.valueOf(scalar.text().toLowerCase(Locale.ROOT)), 0);
    }
}
