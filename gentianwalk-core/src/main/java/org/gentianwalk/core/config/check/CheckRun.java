package org.gentianwalk.core.config.check;

import java.text.MessageFormat;
import java.util.Collection;
import java.util.Locale;
import java.util.ResourceBundle;
import java.util.TreeSet;
import org.gentianwalk.core.config.Problem;
import org.gentianwalk.core.config.tree.Source;

/** Collects the problems found by the checks. */
public final class CheckRun {
    private static final ResourceBundle MESSAGES =
            ResourceBundle.getBundle("org.gentianwalk.core.config.check.messages", Locale.ROOT);

    private final TreeSet<Problem> mProblems = new TreeSet<>();

    /**
     * Adds a problem.
     *
     * @param source file and line
     * @param key path of the key
     * @param messageKey key of the text in {@code messages.properties}
     * @param arguments values for the placeholders
     */
    public void report(Source source, String key, String messageKey, Object... arguments) {
        MessageFormat format = new MessageFormat(MESSAGES.getString(messageKey), Locale.ROOT);
        mProblems.add(new Problem(source, key, format.format(arguments)));
    }

    /**
     * Returns the problems found.
     *
     * @return the problems, sorted by file and line
     */
    public Collection<Problem> problems() {
        return mProblems;
    }
}
