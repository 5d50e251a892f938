package org.gentianwalk.scenario;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import java.io.IOException;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads durations with a unit, for example {@code 300ms}, {@code 2s} or {@code 10min}. */
final class DurationReader extends StdDeserializer<Duration> {
    private static final long serialVersionUID = 1;
    private static final Pattern FORMAT = Pattern.compile("(\\d+)(ms|s|min)");

    DurationReader() {
        super(Duration.class);
    }

    @Override
    public Duration deserialize(JsonParser parser, DeserializationContext context)
            throws IOException {
        String text = parser.getText();
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw InvalidFormatException.from(
                    parser,
                    "'" + text + "' is no duration; write for example 300ms or 2s",
                    text,
                    Duration.class);
        }
        long amount = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            default -> Duration.ofMinutes(amount);
        };
    }
}
