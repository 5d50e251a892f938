package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.time.Duration;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.model.RequestKey;
import org.jspecify.annotations.Nullable;

/** State of a call, filled in by the filters. Confined to one thread at a time. */
public final class CallContext {
    private final HttpExchange mExchange;
    private final ServingRules mRules;
    private final long mArrivedNanos;

    private String mTeam = "";
    private byte[] mBody = new byte[0];
    private @Nullable ObjectNode mJson;
    private @Nullable WorkRule mRule;
    private @Nullable RequestKey mKey;
    private boolean mKeySupplied;
    private @Nullable EventId mLastEvent;
    private @Nullable Duration mDeadline;

    /**
     * Creates the context of a call.
     *
     * @param exchange the exchange
     * @param rules the configuration in force, the same for the whole call
     * @param arrivedNanos arrival on the monotonic clock, nanoseconds
     */
    public CallContext(HttpExchange exchange, ServingRules rules, long arrivedNanos) {
        mExchange = exchange;
        mRules = rules;
        mArrivedNanos = arrivedNanos;
    }

    /**
     * Returns the exchange.
     *
     * @return the exchange
     */
    public HttpExchange exchange() {
        return mExchange;
    }

    /**
     * Returns a header of the request.
     *
     * @param name the header's name
     * @return its first value, or null
     */
    public @Nullable String header(String name) {
        return mExchange.getRequestHeaders().getFirst(name);
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration that applies to the whole call
     */
    public ServingRules rules() {
        return mRules;
    }

    /**
     * Returns the team.
     *
     * @return the team, empty before authentication
     */
    public String team() {
        return mTeam;
    }

    /**
     * Returns the body.
     *
     * @return the body, empty before it was read
     */
    public byte[] body() {
        return mBody;
    }

    /**
     * Sets the body.
     *
     * @param body the body
     */
    public void body(byte[] body) {
        mBody = body;
    }

    /**
     * Returns the request key.
     *
     * @return the caller's key or a generated one
     */
    public RequestKey key() {
        return requireSet(mKey);
    }

    /**
     * Returns whether the caller supplied the request key.
     *
     * @return true for the caller's key, false for a generated one
     */
    public boolean keySupplied() {
        return mKeySupplied;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    void team(String team) {
        mTeam = team;
    }

    ObjectNode json() {
        return requireSet(mJson);
    }

    void json(ObjectNode json) {
        mJson = json;
    }

    WorkRule rule() {
        return requireSet(mRule);
    }

    void rule(WorkRule rule) {
        mRule = rule;
    }

    void key(RequestKey key, boolean supplied) {
        mKey = key;
        mKeySupplied = supplied;
    }

    @Nullable EventId lastEvent() {
        return mLastEvent;
    }

    void lastEvent(EventId event) {
        mLastEvent = event;
    }

    @Nullable Duration deadline() {
        return mDeadline;
    }

    void deadline(Duration deadline) {
        mDeadline = deadline;
    }

    private static <T> T requireSet(@Nullable T value) {
        if (value == null) {
            throw new IllegalStateException("an earlier filter must set this property");
        }
        return value;
    }
}
