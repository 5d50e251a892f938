package org.gentianwalk.core.error;

import java.util.Locale;

/** Error categories with the HTTP status and the error type that client libraries expect. */
public enum ErrorKind {
    INVALID_REQUEST(400, "invalid_request_error"),
    UNAUTHORIZED(401, "authentication_error"),
    FORBIDDEN(403, "permission_error"),
    MODEL_NOT_FOUND(404, "invalid_request_error"),
    NOT_FOUND(404, "invalid_request_error"),
    METHOD_NOT_ALLOWED(405, "invalid_request_error"),
    REQUEST_TIMEOUT(408, "invalid_request_error"),
    KEY_REUSED(409, "invalid_request_error"),
    GENERATION_DIVERGED(409, "conflict_error"),
    CONFIG_CONFLICT(409, "conflict_error"),
    CALL_IN_PROGRESS(409, "conflict_error"),
    GENERATION_LOST(410, "gone_error"),
    BODY_TOO_LARGE(413, "invalid_request_error"),
    CRASHING_REQUEST(422, "invalid_request_error"),
    OVERLOADED(429, "rate_limit_error"),
    TEAM_LIMIT(429, "rate_limit_error"),
    UPSTREAM_FAILED(502, "server_error"),
    OUTCOME_UNKNOWN(502, "server_error"),
    NO_UPSTREAM(503, "server_error"),
    STORE_UNAVAILABLE(503, "server_error"),
    NOT_READY(503, "server_error"),
    DEADLINE_EXCEEDED(504, "deadline_error"),
    INTERNAL(500, "server_error");

    private final int mStatus;
    private final String mType;

    ErrorKind(int status, String type) {
        mStatus = status;
        mType = type;
    }

    /**
     * Returns the HTTP status.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return mStatus;
    }

    /**
     * Returns the {@code type} of the error body.
     *
     * @return a type that OpenAI-compatible clients know, where one fits
     */
    public String type() {
        return mType;
    }

    /**
     * Returns the {@code code} of the error body.
     *
     * @return the category in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the key of the message in {@code messages.properties}.
     *
     * @return the key
     */
    public String messageKey() {
        return "error." + code();
    }
}
