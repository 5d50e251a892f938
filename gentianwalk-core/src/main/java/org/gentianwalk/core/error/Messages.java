package org.gentianwalk.core.error;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** Formats the caller-facing messages of {@code messages.properties}. */
public final class Messages {
    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.gentianwalk.core.error.messages", Locale.ROOT);

    private Messages() {}

    /**
     * Formats a message.
     *
     * @param key the key in the bundle
     * @param arguments values for the placeholders
     * @return the formatted message
     * @throws java.util.MissingResourceException if the bundle has no such key
     */
    public static String format(String key, Object... arguments) {
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(arguments);
    }
}
