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
    public Reading read(Node.Scalar scalar) {
        if (scalar.form() != Node.Form.FLAG) {
            return new Reading.WrongType();
        }
        return new Reading.Accepted(Boolean.valueOf(scalar.text().toLowerCase(Locale.ROOT)), 0);
    }
}
