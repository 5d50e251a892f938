package org.gentianwalk.core.journal;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the date in an idempotency key: a leading ISO date, as in {@code 2026-12-04-order-17}, or
 * the time in a UUID of version 7.
 */
final class KeyDate {
    private static final Pattern DATE = Pattern.compile("(\\d{4}-\\d{2}-\\d{2})(?!\\d).*");
    private static final Pattern UUID_7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[0-9a-fA-F-]{17}");
    private static final int UUID_TIME_SHIFT = 16;

    private KeyDate() {}

    /** Returns the latest time that matches the key's date, in milliseconds since the epoch. */
    static OptionalLong epochMillis(String key) {
        if (UUID_7.matcher(key).matches()) {
            return OptionalLong.of(
                    UUID.fromString(key).getMostSignificantBits() >>> UUID_TIME_SHIFT);
        }
        Matcher matcher = DATE.matcher(key);
        if (!matcher.matches()) {
            return OptionalLong.empty();
        }
        try {
            LocalDate next = LocalDate.parse(matcher.group(1)).plusDays(1);
            return OptionalLong.of(next.atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli());
        } catch (DateTimeException e) {
            return OptionalLong.empty();
        }
    }

    /** Returns whether the key is so old that its row may have been removed. */
    static boolean isExpired(String key, long nowEpochMillis) {
        OptionalLong date = epochMillis(key);
        return date.isPresent()
                && nowEpochMillis - date.getAsLong() > CallRules.RETENTION.toMillis();
    }
}
