package org.gentianwalk.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.config.ServingRules.ServiceRule;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.model.UpstreamInfo;
import org.jspecify.annotations.Nullable;

/**
 * Builds {@link MergedConfig}. Example: {@code MergedConfig.builder().engine(info).team("t",
 * "branch", List.of(sha), rule).build()}.
 */
public final class MergedConfigBuilder {
    /** Values that {@link MergedConfig} copies. */
    long mVersion;

    final Map<String, String> mTeamByKey = new HashMap<>();
    final Map<String, TeamRules> mTeams = new HashMap<>();
    final List<UpstreamInfo> mEngines = new ArrayList<>();
    final Map<String, ServiceRule> mServices = new HashMap<>();
    final Map<String, Integer> mContextTokens = new HashMap<>();
    Limits mLimits = Limits.DEFAULT;
    PolicyRules mPolicy = PolicyRules.DEFAULT;
    ReplicationRules mReplication = ReplicationRules.DEFAULT;
    Node.@Nullable Mapping mRoot;

    /** Creates a builder without teams and upstreams. */
    MergedConfigBuilder() {}

    /**
     * Sets the version.
     *
     * @param version the accepted version
     * @return this
     */
    public MergedConfigBuilder version(long version) {
        mVersion = version;
        return this;
    }

    /**
     * Adds a team. The kind of the first rule is the team's default kind.
     *
     * @param name its name
     * @param branch its branch
     * @param keySha256s lower-case hexadecimal SHA-256 hashes of its API keys
     * @param rules its rules, at least one
     * @return this
     */
    public MergedConfigBuilder team(
            String name, String branch, List<String> keySha256s, WorkRule... rules) {
        Map<String, WorkRule> byKind = new HashMap<>();
        for (WorkRule rule : rules) {
            byKind.put(rule.kind(), rule);
        }
        return team(name, keySha256s, new TeamRules(branch, rules[0].kind(), byKind));
    }

    /** Adds a team with its rules. */
    MergedConfigBuilder team(String name, List<String> keySha256s, TeamRules rules) {
        mTeams.put(name, rules);
        keySha256s.forEach(key -> mTeamByKey.put(key, name));
        return this;
    }

    /**
     * Adds an engine and its models.
     *
     * @param engine the engine
     * @return this
     */
    public MergedConfigBuilder engine(UpstreamInfo engine) {
        mEngines.add(engine);
        engine.models().forEach(model -> mContextTokens.putIfAbsent(model, 32768));
        return this;
    }

    /**
     * Sets the context length of a model.
     *
     * @param model the model
     * @param contextTokens maximum length of prompt and output together, tokens
     * @return this
     */
    public MergedConfigBuilder model(String model, int contextTokens) {
        mContextTokens.put(model, contextTokens);
        return this;
    }

    /**
     * Adds a plain service.
     *
     * @param service the service
     * @return this
     */
    public MergedConfigBuilder service(ServiceRule service) {
        mServices.put(service.name(), service);
        return this;
    }

    /**
     * Sets the limits.
     *
     * @param limits the limits
     * @return this
     */
    public MergedConfigBuilder limits(Limits limits) {
        mLimits = limits;
        return this;
    }

    /**
     * Sets the policy for overload, retries and suspected engines.
     *
     * @param policy the policy
     * @return this
     */
    public MergedConfigBuilder policy(PolicyRules policy) {
        mPolicy = policy;
        return this;
    }

    /**
     * Sets how running generations are replicated.
     *
     * @param replication the settings
     * @return this
     */
    public MergedConfigBuilder replication(ReplicationRules replication) {
        mReplication = replication;
        return this;
    }

    /** Sets the tree that the settings were read from. */
    MergedConfigBuilder root(Node.Mapping root) {
        mRoot = root;
        return this;
    }

    /**
     * Creates the settings.
     *
     * @return the settings
     */
    public MergedConfig build() {
        return new MergedConfig(this);
    }
}
