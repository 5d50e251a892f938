package org.gentianwalk.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.time.Duration;

/**
 * A fault or an operator's action at a time after the start of the workload. In a file it is one
 * list entry named for the action, for example {@code - kill-engine: {at: 300ms, target:
 * engine-1}}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_OBJECT)
@JsonSubTypes({
    @JsonSubTypes.Type(value = Fault.KillEngine.class, name = "kill-engine"),
    @JsonSubTypes.Type(value = Fault.PauseEngine.class, name = "pause-engine"),
    @JsonSubTypes.Type(value = Fault.DrainEngine.class, name = "drain-engine"),
    @JsonSubTypes.Type(value = Fault.KillInstance.class, name = "kill-instance"),
    @JsonSubTypes.Type(value = Fault.StopInstance.class, name = "stop-instance"),
    @JsonSubTypes.Type(value = Fault.StartInstance.class, name = "start-instance"),
    @JsonSubTypes.Type(value = Fault.IsolateInstance.class, name = "isolate-instance"),
    @JsonSubTypes.Type(value = Fault.StoreDown.class, name = "store-down"),
    @JsonSubTypes.Type(value = Fault.StoreSlow.class, name = "store-slow"),
    @JsonSubTypes.Type(value = Fault.LoseWriteResponses.class, name = "lose-write-responses"),
    @JsonSubTypes.Type(value = Fault.ApplyConfig.class, name = "apply-config"),
    @JsonSubTypes.Type(value = Fault.Flood.class, name = "flood"),
    @JsonSubTypes.Type(value = Fault.CrashingRequest.class, name = "crashing-request")
})
public sealed interface Fault {
    /**
     * Returns when the fault happens.
     *
     * @return time after the start of the workload
     */
    Duration at();

    /** The engine's process ends; all its connections break. */
    record KillEngine(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target)
            implements Fault {}

    /** The engine stops producing for a while and goes on as if nothing had happened. */
    record PauseEngine(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target,
            @JsonProperty(required = true) Duration duration)
            implements Fault {}

    /** The instance list says that the engine is leaving. */
    record DrainEngine(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target)
            implements Fault {}

    /** The instance's process ends; all its connections break. */
    record KillInstance(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target)
            implements Fault {}

    /** The instance is asked to shut down. */
    record StopInstance(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target)
            implements Fault {}

    /** A stopped or killed instance starts again, with empty memory. */
    record StartInstance(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target)
            implements Fault {}

    /** The instance is cut off from the other instances and from the store for a while. */
    record IsolateInstance(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) String target,
            @JsonProperty(required = true) Duration duration)
            implements Fault {}

    /** The table service and the object store do not answer for a while. */
    record StoreDown(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) Duration duration)
            implements Fault {}

    /** Every answer of the store is delayed for a while. */
    record StoreSlow(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) Duration duration,
            @JsonProperty(required = true) Duration delay)
            implements Fault {}

    /** The next writes take effect, but their responses are lost. */
    record LoseWriteResponses(
            @JsonProperty(required = true) Duration at, @JsonProperty(required = true) int count)
            implements Fault {}

    /** Operators apply a changed folder at once, each from the same base version. */
    record ApplyConfig(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) int operators)
            implements Fault {}

    /** Further generations of a rank arrive at once. */
    record Flood(
            @JsonProperty(required = true) Duration at,
            @JsonProperty(required = true) org.gentianwalk.core.model.Rank rank,
            @JsonProperty(required = true) int generations)
            implements Fault {}

    /** A request arrives that ends every engine that runs it, and is sent again after errors. */
    record CrashingRequest(
            @JsonProperty(required = true) Duration at, @JsonProperty(required = true) int sends)
            implements Fault {}
}
