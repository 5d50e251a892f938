package org.gentianwalk.core.response;

import org.jspecify.annotations.Nullable;

/**
 * Head of a received HTTP response, as far as it decides whether the response is valid (RFC 9110,
 * section 15). Both programs check all their responses by it, since HTTP libraries accept statuses
 * that no response may have.
 *
 * @param status the status code
 * @param length stated length of the body, or negative without one
 * @param chunked true when the body comes in chunks
 * @param rangeRequested true when the request asks for a range of the content
 */
public record ReceivedHead(int status, long length, boolean chunked, boolean rangeRequested) {
    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;
    private static final int STATUS_DIGITS = 3;

    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int NO_CONTENT = 204;
    private static final int RESET_CONTENT = 205;
    private static final int PARTIAL_CONTENT = 206;
    private static final int NOT_MODIFIED = 304;

    /**
     * Returns whether a text is a status code by its form; number parsers also accept signs and
     * further digits.
     *
     * @param text the second word of a status line
     * @return true for three digits
     */
    public static boolean isStatusText(String text) {
        if (text.length() != STATUS_DIGITS) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns why this is not the head of a valid response.
     *
     * @return the reason for the log, or null when the head is valid
     */
    public @Nullable String fault() {
        if (status < FIRST_STATUS || status > LAST_STATUS) {
            return "status " + status + " is outside 100 to 599";
        }
        return switch (status) {
            // No request asks for it, and what follows is not HTTP.
            case SWITCHING_PROTOCOLS -> "the upstream switches protocols";
            // The stated body would be lost, or read as the next response.
            case NO_CONTENT ->
                    length > 0 || chunked ? "status 204 with a body, which it can't have" : null;
            case RESET_CONTENT -> length > 0 ? "status 205 with a body, which it can't have" : null;
            // The caller would take the part for the whole.
            case PARTIAL_CONTENT -> rangeRequested ? null : "status 206 without a range request";
            default -> null;
        };
    }

    /**
     * Returns whether a response with this status has no body, whatever its head states.
     *
     * @return true when a byte of a body is an error
     */
    public boolean forbidsBody() {
        return status == NO_CONTENT || status == RESET_CONTENT || status == NOT_MODIFIED;
    }

    /**
     * Returns whether the head states a body that the status rules out. It may follow even so.
     *
     * @return true when the connection can't be used again
     */
    public boolean hasDoubtfulEnd() {
        return (status == NO_CONTENT || status == NOT_MODIFIED) && (length > 0 || chunked);
    }
}
