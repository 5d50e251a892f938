package org.gentianwalk.core.config;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.UpstreamInfo;
import org.jspecify.annotations.Nullable;

/** The configuration in force, as read by the serving path. Implementations are immutable. */
public interface ServingRules {
    /**
     * Returns the version.
     *
     * @return the accepted version, 0 for settings that have not been committed
     */
    long version();

    /**
     * Finds the team to which an API key belongs.
     *
     * @param keySha256 lower-case hexadecimal SHA-256 of the key
     * @return the team, or empty for an unknown key
     */
    Optional<String> teamOfKey(String keySha256);

    /**
     * Returns the rule for a team and a kind of work.
     *
     * @param team the team
     * @param kind the kind, or null for the team's default
     * @return the rule, or empty when the team may not use the kind
     */
    Optional<WorkRule> workRule(String team, @Nullable String kind);

    /**
     * Returns all model engines.
     *
     * @return the engines
     */
    Collection<UpstreamInfo> engines();

    /**
     * Finds a plain service.
     *
     * @param name name of the service in the request path
     * @return the rule, or empty when there is no such service
     */
    Optional<ServiceRule> service(String name);

    /**
     * Returns the limits that apply to callers' requests.
     *
     * @return the limits
     */
    Limits limits();

    /**
     * Returns the policy for overload, retries and suspected engines.
     *
     * @return the policy
     */
    default PolicyRules policy() {
        return PolicyRules.DEFAULT;
    }

    /**
     * Returns how running generations are replicated.
     *
     * @return the settings
     */
    default ReplicationRules replication() {
        return ReplicationRules.DEFAULT;
    }

    /**
     * Returns the teams.
     *
     * @return their names
     */
    default Collection<String> teams() {
        return List.of();
    }

    /**
     * Returns the branch of a team.
     *
     * @param team the team
     * @return the branch, or empty for an unknown team
     */
    default Optional<String> branchOf(String team) {
        return Optional.empty();
    }

    /**
     * Returns the context length of each model that callers may request.
     *
     * @return maximum length of prompt and output together in tokens, by model
     */
    default Map<String, Integer> contextTokens() {
        return Map.of();
    }

    /**
     * The settings of a team for one kind of work.
     *
     * @param kind name of the kind
     * @param rank its service class
     * @param weight weight of the team's share relative to other teams
     * @param models models that the team may use; empty for all
     * @param maxTokens maximum output tokens of a generation
     * @param deadline default deadline, or null for none
     * @param tokensPerSecondCap limit of the team's token rate, tokens per second, or null for none
     */
    record WorkRule(
            String kind,
            Rank rank,
            double weight,
            Set<String> models,
            int maxTokens,
            @Nullable Duration deadline,
            @Nullable Double tokensPerSecondCap) {
        public WorkRule {
            if (weight <= 0) {
                throw new IllegalArgumentException("weight of " + kind + " must be positive");
            }
            models = Set.copyOf(models);
        }
    }

    /**
     * A plain service.
     *
     * @param name name in the request path
     * @param upstreams upstreams that provide the service
     * @param operations operations that callers may call; the first match applies
     * @param lookupPath path that returns the outcome of a call by its key, or null
     */
    record ServiceRule(
            String name,
            List<UpstreamInfo> upstreams,
            List<Operation> operations,
            @Nullable String lookupPath) {
        public ServiceRule {
            upstreams = List.copyOf(upstreams);
            operations = List.copyOf(operations);
        }
    }

    /**
     * An operation of a plain service.
     *
     * @param method HTTP method
     * @param pathPrefix prefix of the path within the service
     * @param repeatable whether executing the operation twice does no harm
     * @param timeout timeout of one attempt
     */
    record Operation(String method, String pathPrefix, boolean repeatable, Duration timeout) {}

    /**
     * Limits that apply to callers' requests.
     *
     * @param maxBodyBytes maximum size of a request body, bytes
     * @param bodyTimeout maximum time to receive a request body
     * @param queueTimeout maximum time in the queue, after which a request is refused
     * @param reconnectGrace how long a generation with a caller-supplied key continues without a
     *     connection
     * @param writeTimeout maximum time without write progress when a caller does not read
     */
    record Limits(
            int maxBodyBytes,
            Duration bodyTimeout,
            Duration queueTimeout,
            Duration reconnectGrace,
            Duration writeTimeout) {
        /** The default limits; equal the defaults of the schema. */
        public static final Limits DEFAULT =
                new Limits(
                        4 << 20,
                        Duration.ofSeconds(10),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(10));
    }
}
