package org.gentianwalk.server.node;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.gentianwalk.core.config.PolicyRules;
import org.gentianwalk.core.config.ReplicationRules;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.model.UpstreamInfo;
import org.jspecify.annotations.Nullable;

/**
 * The configuration without the upstreams of plain services that get no new work. Engines stay in
 * it, since the scheduler tracks their state and their running work continues.
 *
 * @param rules the configuration
 * @param usable returns whether an upstream may get new work
 */
record UsableRules(ServingRules rules, Predicate<String> usable) implements ServingRules {
    @Override
    public Optional<ServiceRule> service(String name) {
        return rules.service(name).map(this::withUsableUpstreams);
    }

    private ServiceRule withUsableUpstreams(ServiceRule service) {
        List<UpstreamInfo> usableUpstreams =
                service.upstreams().stream().filter(one -> usable.test(one.id())).toList();
        return new ServiceRule(
                service.name(), usableUpstreams, service.operations(), service.lookupPath());
    }

    @Override
    public long version() {
        return rules.version();
    }

    @Override
    public Optional<String> teamOfKey(String keySha256) {
        return rules.teamOfKey(keySha256);
    }

    @Override
    public Optional<WorkRule> workRule(String team, @Nullable String kind) {
        return rules.workRule(team, kind);
    }

    @Override
    public Collection<UpstreamInfo> engines() {
        return rules.engines();
    }

    @Override
    public Limits limits() {
        return rules.limits();
    }

    @Override
    public PolicyRules policy() {
        return rules.policy();
    }

    @Override
    public ReplicationRules replication() {
        return rules.replication();
    }

    @Override
    public Collection<String> teams() {
        return rules.teams();
    }

    @Override
    public Optional<String> branchOf(String team) {
        return rules.branchOf(team);
    }

    @Override
    public Map<String, Integer> contextTokens() {
        return rules.contextTokens();
    }
}
