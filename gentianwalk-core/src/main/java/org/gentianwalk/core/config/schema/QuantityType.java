package org.gentianwalk.core.config.schema;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gentianwalk.core.config.tree.Node;
import org.jspecify.annotations.Nullable;

/** A number with a required unit. Values are {@link Double}s in the base unit. */
public final class QuantityType extends ValueType {
    private static final Pattern QUANTITY = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?([^0-9 ].*)");
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]+(\\.[0-9]+)?");

    private final Map<String, Double> mUnits;

    /**
     * Creates a type.
     *
     * @param name name for messages
     * @param example an accepted value
     * @param units accepted units and their factors to the base unit
     */
    QuantityType(String name, String example, Map<String, Double> units) {
        super(name, String.join(", ", units.keySet()), example);
        mUnits = new LinkedHashMap<>(units);
    }

    @Override
    public ParseResult parse(Node.Scalar scalar) {
        if (NUMBER.matcher(scalar.text()).matches()) {
            return new ParseResult.MissingUnit();
        }
        Matcher matcher = QUANTITY.matcher(scalar.text());
        if (!matcher.matches()) {
            return new ParseResult.WrongType();
        }
        @Nullable Double factor = mUnits.get(matcher.group(2));
        if (factor == null) {
            return new ParseResult.WrongType();
        }
        double value = Double.parseDouble(matcher.group(1)) * factor;
        return new ParseResult.Accepted(value, value);
    }
}
