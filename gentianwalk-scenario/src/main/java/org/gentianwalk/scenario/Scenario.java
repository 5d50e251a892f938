package org.gentianwalk.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Rank;
import org.jspecify.annotations.Nullable;

/**
 * A scripted run. Values that a file leaves out have the defaults that the constructors set.
 *
 * @param name what happens, in one sentence
 * @param guarantees identifiers of the guarantees under test
 * @param failures names of the failures that the run causes
 * @param seed seed of all random choices
 * @param topology what is started
 * @param workload requests that are sent
 * @param faults timed faults, in any order
 * @param expect conditions beside the checks of the history
 */
public record Scenario(
        @JsonProperty(required = true) String name,
        @JsonProperty(required = true) List<String> guarantees,
        @JsonProperty(required = true) List<String> failures,
        @JsonProperty(required = true) long seed,
        @JsonProperty(required = true) Topology topology,
        @JsonProperty(required = true) Workload workload,
        List<Fault> faults,
        Expectations expect) {
    public Scenario {
        guarantees = List.copyOf(guarantees);
        failures = List.copyOf(failures);
        faults = faults == null ? List.of() : List.copyOf(faults);
        expect = expect == null ? Expectations.NONE : expect;
    }

    /**
     * What is started on loopback.
     *
     * @param instances number of instances in each availability zone
     * @param engines number of engines in each availability zone
     * @param regions region of each availability zone; zones left out are in {@code region-1}
     * @param resume whether engines resume from given tokens
     * @param tokenDelay time between tokens of a generation at an engine
     */
    public record Topology(
            @JsonProperty(required = true) Map<String, Integer> instances,
            @JsonProperty(required = true) Map<String, Integer> engines,
            Map<String, String> regions,
            Boolean resume,
            Duration tokenDelay) {
        private static final Duration DEFAULT_TOKEN_DELAY = Duration.ofMillis(10);

        public Topology {
            instances = Map.copyOf(instances);
            engines = Map.copyOf(engines);
            regions = regions == null ? Map.of() : Map.copyOf(regions);
            resume = resume == null || resume;
            tokenDelay = tokenDelay == null ? DEFAULT_TOKEN_DELAY : tokenDelay;
        }
    }

    /**
     * Requests that callers send.
     *
     * @param generations streamed generations
     * @param calls calls that may not be repeated, each sent again until its outcome is known
     * @param tokens output tokens of a generation
     * @param rank service class of the generations
     * @param over time over which the requests are spread evenly
     */
    public record Workload(
            int generations,
            int calls,
            int tokens,
            Rank rank,
            @JsonProperty(required = true) Duration over) {
        private static final int DEFAULT_TOKENS = 40;

        public Workload {
            tokens = tokens == 0 ? DEFAULT_TOKENS : tokens;
            rank = rank == null ? Rank.URGENT : rank;
        }
    }

    /**
     * Conditions beside the checks of the history.
     *
     * @param completed least part of the generations that complete, from 0 to 1
     * @param answeredCalls least part of the calls that end with an answer, from 0 to 1
     * @param resumed least number of engine losses that must have happened during output
     */
    public record Expectations(
            @Nullable Double completed, @Nullable Double answeredCalls, int resumed) {
        /** No further conditions. */
        public static final Expectations NONE = new Expectations(null, null, 0);
    }
}
