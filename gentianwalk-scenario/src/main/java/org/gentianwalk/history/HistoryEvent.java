package org.gentianwalk.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;

/**
 * An invocation, a response or an effect that was observed during a run. Times are nanoseconds on
 * the one clock of the run's observer.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(HistoryEvent.Invoked.class),
    @JsonSubTypes.Type(HistoryEvent.TokenDelivered.class),
    @JsonSubTypes.Type(HistoryEvent.Completed.class),
    @JsonSubTypes.Type(HistoryEvent.Failed.class),
    @JsonSubTypes.Type(HistoryEvent.ConnectionCut.class),
    @JsonSubTypes.Type(HistoryEvent.WorkStarted.class),
    @JsonSubTypes.Type(HistoryEvent.CallExecuted.class),
    @JsonSubTypes.Type(HistoryEvent.UpstreamLeaving.class),
    @JsonSubTypes.Type(HistoryEvent.UpstreamReturned.class),
    @JsonSubTypes.Type(HistoryEvent.StopRequested.class),
    @JsonSubTypes.Type(HistoryEvent.ConfigAccepted.class),
    @JsonSubTypes.Type(HistoryEvent.ConfigInForce.class),
    @JsonSubTypes.Type(HistoryEvent.InstanceReachable.class),
    @JsonSubTypes.Type(HistoryEvent.InstanceUnreachable.class),
    @JsonSubTypes.Type(HistoryEvent.OrderTookEffect.class),
    @JsonSubTypes.Type(HistoryEvent.EngineLost.class)
})
public sealed interface HistoryEvent {
    /**
     * Returns the time of the observation.
     *
     * @return nanoseconds on the observer's clock
     */
    long timeNanos();

    /**
     * A caller sent a request.
     *
     * @param invocation unique number of this sending; a request sent again gets a new one
     */
    record Invoked(long timeNanos, long invocation, String caller, RequestKey key, Rank rank)
            implements HistoryEvent {}

    /**
     * A caller received an output token.
     *
     * @param position 0-based position of the token
     */
    record TokenDelivered(
            long timeNanos, long invocation, RequestKey key, int attempt, int position, int tokenId)
            implements HistoryEvent {}

    /** A caller received the end of its answer. */
    record Completed(long timeNanos, long invocation, RequestKey key, String finishReason)
            implements HistoryEvent {}

    /** A caller received an error. */
    record Failed(long timeNanos, long invocation, RequestKey key, String code, Outcome outcome)
            implements HistoryEvent {}

    /** A caller's connection ended without an answer's end or an error. */
    record ConnectionCut(long timeNanos, long invocation, RequestKey key, String instance)
            implements HistoryEvent {}

    /** An upstream received work. */
    record WorkStarted(long timeNanos, String upstream, RequestKey key) implements HistoryEvent {}

    /** A plain service executed a call that may not be repeated. */
    record CallExecuted(long timeNanos, String service, RequestKey key) implements HistoryEvent {}

    /** The instance list or the upstream itself said that the upstream is leaving. */
    record UpstreamLeaving(long timeNanos, String upstream) implements HistoryEvent {}

    /** The upstream was put back into service. */
    record UpstreamReturned(long timeNanos, String upstream) implements HistoryEvent {}

    /** An instance was asked to shut down. */
    record StopRequested(long timeNanos, String instance) implements HistoryEvent {}

    /** An operator was told that a configuration is accepted. */
    record ConfigAccepted(long timeNanos, long version, String digest) implements HistoryEvent {}

    /** An instance was seen to use a configuration. */
    record ConfigInForce(long timeNanos, String instance, long version, String digest)
            implements HistoryEvent {}

    /** An instance is running and connected to at least one other instance or to the store. */
    record InstanceReachable(long timeNanos, String instance) implements HistoryEvent {}

    /** An instance was stopped, paused or cut off from all others and from the store. */
    record InstanceUnreachable(long timeNanos, String instance) implements HistoryEvent {}

    /** An engine carried out an order. */
    record OrderTookEffect(long timeNanos, String engine, long fencing, String holder)
            implements HistoryEvent {}

    /** An engine died, stalled or was cut off while it ran a request. */
    record EngineLost(long timeNanos, String engine, RequestKey key) implements HistoryEvent {}
}
