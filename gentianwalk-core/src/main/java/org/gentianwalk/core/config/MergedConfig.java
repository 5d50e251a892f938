package org.gentianwalk.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gentianwalk.core.config.schema.FolderSchema;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.model.UpstreamInfo;
import org.jspecify.annotations.Nullable;

/** The settings merged from all files and checked. Instances are immutable. */
public final class MergedConfig implements ServingRules {
    private final long mVersion;
    private final Map<String, String> mTeamByKey;
    private final Map<String, TeamRules> mTeams;
    private final List<UpstreamInfo> mEngines;
    private final Map<String, ServiceRule> mServices;
    private final Map<String, Integer> mContextTokens;
    private final Limits mLimits;
    private final PolicyRules mPolicy;
    private final ReplicationRules mReplication;
    private final Node.@Nullable Mapping mRoot;

    /** Creates settings from a builder's values. */
    MergedConfig(MergedConfigBuilder builder) {
        mVersion = builder.mVersion;
        mTeamByKey = Collections.unmodifiableMap(new HashMap<>(builder.mTeamByKey));
        mTeams = Collections.unmodifiableMap(new HashMap<>(builder.mTeams));
        mEngines = List.copyOf(builder.mEngines);
        mServices = Collections.unmodifiableMap(new HashMap<>(builder.mServices));
        mContextTokens = Collections.unmodifiableMap(new HashMap<>(builder.mContextTokens));
        mLimits = builder.mLimits;
        mPolicy = builder.mPolicy;
        mReplication = builder.mReplication;
        mRoot = builder.mRoot;
    }

    /**
     * Creates a builder for settings that do not come from files, for tests and experiments.
     *
     * @return the builder
     */
    public static MergedConfigBuilder builder() {
        return new MergedConfigBuilder();
    }

    @Override
    public long version() {
        return mVersion;
    }

    @Override
    public Optional<String> teamOfKey(String keySha256) {
        return Optional.ofNullable(mTeamByKey.get(keySha256));
    }

    @Override
    public Optional<WorkRule> workRule(String team, @Nullable String kind) {
        TeamRules rules = mTeams.get(team);
        if (rules == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(rules.rules().get(kind == null ? rules.defaultKind() : kind));
    }

    @Override
    public Collection<UpstreamInfo> engines() {
        return mEngines;
    }

    @Override
    public Optional<ServiceRule> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    @Override
    public Limits limits() {
        return mLimits;
    }

    @Override
    public PolicyRules policy() {
        return mPolicy;
    }

    @Override
    public ReplicationRules replication() {
        return mReplication;
    }

    @Override
    public Collection<String> teams() {
        return mTeams.keySet();
    }

    @Override
    public Optional<String> branchOf(String team) {
        return Optional.ofNullable(mTeams.get(team)).map(TeamRules::branch);
    }

    @Override
    public Map<String, Integer> contextTokens() {
        return mContextTokens;
    }

    /**
     * Returns the plain services.
     *
     * @return their rules by name
     */
    public Map<String, ServiceRule> services() {
        return mServices;
    }

    /**
     * Finds the rule in effect, with the source of each value.
     *
     * @param team the team
     * @param kind the kind of work, or null for the team's default
     * @return the rule, or empty when the team may not use the kind or the settings do not come
     *     from files
     */
    public Optional<EffectiveRule> effectiveRule(String team, @Nullable String kind) {
        if (mRoot == null) {
            return Optional.empty();
        }
        return new RuleResolver(new SectionView(FolderSchema.ROOT, mRoot))
                .effectiveRule(team, kind);
    }
}
