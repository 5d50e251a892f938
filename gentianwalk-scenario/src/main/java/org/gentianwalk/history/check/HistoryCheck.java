package org.gentianwalk.history.check;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.history.History;

/**
 * Base of the checkers. A checker reads a whole history and reports every event that breaks its
 * guarantee.
 */
public abstract class HistoryCheck {
    private final String mGuarantee;
    private final List<Violation> mViolations = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param guarantee identifier of the guarantee, as on the design page
     */
    protected HistoryCheck(String guarantee) {
        mGuarantee = guarantee;
    }

    /**
     * Checks a history.
     *
     * @param history the history
     * @return the violations, empty when the guarantee holds
     */
    public final List<Violation> check(History history) {
        mViolations.clear();
        inspect(history);
        return List.copyOf(mViolations);
    }

    /**
     * Returns the guarantee that is checked.
     *
     * @return its identifier
     */
    public final String guarantee() {
        return mGuarantee;
    }

    /**
     * Reads the history and reports violations.
     *
     * @param history the history
     */
    protected abstract void inspect(History history);

    /**
     * Reports a violation.
     *
     * @param timeNanos time of the event that shows it
     * @param format text with placeholders of {@link String#format}
     * @param arguments values of the placeholders
     */
    protected final void report(long timeNanos, String format, Object... arguments) {
        mViolations.add(new Violation(mGuarantee, timeNanos, String.format(format, arguments)));
    }
}
