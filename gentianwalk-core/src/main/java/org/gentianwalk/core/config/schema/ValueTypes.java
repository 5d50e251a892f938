package org.gentianwalk.core.config.schema;

import java.util.LinkedHashMap;
import java.util.Map;

/** The types of the settings' values. */
public final class ValueTypes {
    /** Duration; base unit seconds. */
    public static final ValueType DURATION =
            new QuantityType(
                    "duration", "250ms", units("ms", 1e-3, "s", 1, "m", 60, "h", 3600, "d", 86400));

    /** Size; base unit bytes. */
    public static final ValueType SIZE =
            new QuantityType(
                    "size", "4MiB", units("B", 1, "KiB", 1 << 10, "MiB", 1 << 20, "GiB", 1 << 30));

    /** Bandwidth of a link; base unit bits per second. */
    public static final ValueType BIT_RATE =
            new QuantityType(
                    "bit rate",
                    "20Mbit/s",
                    units("bit/s", 1, "kbit/s", 1e3, "Mbit/s", 1e6, "Gbit/s", 1e9));

    /** Token rate; base unit tokens per second. */
    public static final ValueType TOKEN_RATE =
            new QuantityType("token rate", "900tokens/s", units("tokens/s", 1, "ktokens/s", 1e3));

    /** Number of tokens; base unit tokens. */
    public static final ValueType TOKENS =
            new QuantityType("token count", "4096tokens", units("tokens", 1, "ktokens", 1e3));

    /** Percentage; the base unit is the whole, so that 10% is 0.1. */
    public static final ValueType PERCENT = new QuantityType("percentage", "10%", units("%", 0.01));

    /** Whole number. */
    public static final ValueType WHOLE = new NumberType("whole number", "2", true);

    /** Decimal number. */
    public static final ValueType DECIMAL = new NumberType("number", "1.5", false);

    /** True or false. */
    public static final ValueType FLAG = new FlagType();

    /** Name of an object in the settings. */
    public static final ValueType NAME =
            new PatternType(
                    "name (letters, digits, '.', '_' or '-', at most 64)",
                    "order-desk",
                    "[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /** SHA-256 hash in hexadecimal. */
    public static final ValueType SHA256 =
            new PatternType(
                    "SHA-256 of 64 lower-case hexadecimal digits",
                    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
                    "[0-9a-f]{64}");

    /** Secret in hexadecimal, at least 128 bits. */
    public static final ValueType SECRET =
            new PatternType(
                    "secret of at least 32 hexadecimal digits, quoted",
                    "\"00112233445566778899aabbccddeeff\"",
                    "([0-9a-f]{2}){16,64}");

    /** Absolute path of a URL, without query and fragment. */
    public static final ValueType PATH =
            new PatternType("path that starts with '/'", "/stock", "/[^\\s?#]*");

    /** Base address of a platform service. */
    public static final ValueType HTTP_URI =
            new PatternType(
                    "http address with an IP address and port, without a path",
                    "http://10.0.0.2:8500",
                    "https?://([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}");

    /** IP address and port. */
    public static final ValueType ENDPOINT = new AddressType(true);

    /** IP address. */
    public static final ValueType IP_ADDRESS = new AddressType(false);

    private ValueTypes() {}

    /**
     * Returns a type that accepts one of several words.
     *
     * @param words the accepted words
     * @return the type; its values are strings
     */
    public static ValueType choice(String... words) {
        return new PatternType(
                "one of " + String.join(", ", words), words[0], String.join("|", words));
    }

    private static Map<String, Double> units(Object... namesAndFactors) {
        Map<String, Double> units = new LinkedHashMap<>();
        for (int i = 0; i < namesAndFactors.length; i += 2) {
            Number factor = (Number) namesAndFactors[i + 1];
            units.put((String) namesAndFactors[i], factor.doubleValue());
        }
        return units;
    }
}
