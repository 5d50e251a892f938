package org.gentianwalk.server;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.UpstreamInfo;
import org.jspecify.annotations.Nullable;

/**
 * Rules with constant values, for demonstrations and tests. All teams have the same kinds.
 *
 * @param version the version
 * @param keyTeams team by lower-case hexadecimal SHA-256 of its key
 * @param kinds the kinds of work; the first is the default
 * @param engines the model engines
 * @param services plain services by name
 * @param limits limits of the callers' interface
 */
public record FixedRules(
        long version,
        Map<String, String> keyTeams,
        List<WorkRule> kinds,
        Collection<UpstreamInfo> engines,
        Map<String, ServiceRule> services,
        Limits limits)
        implements ServingRules {
    private static final int MAX_TOKENS = 8192;

    /** The default kind: 8,192 tokens, no deadline, no cap. */
    public static final WorkRule STANDARD =
            new WorkRule("standard", Rank.STANDARD, 1, Set.of(), MAX_TOKENS, null, null);

    /** A kind for urgent work with the same limits. */
    public static final WorkRule URGENT =
            new WorkRule("urgent", Rank.URGENT, 1, Set.of(), MAX_TOKENS, null, null);

    public FixedRules {
        keyTeams = Map.copyOf(keyTeams);
        kinds = List.copyOf(kinds);
        engines = List.copyOf(engines);
        services = Map.copyOf(services);
    }

    /**
     * Returns rules without plain services, with default limits and both kinds.
     *
     * @param keyTeams team by lower-case hexadecimal SHA-256 of its key
     * @param engines the model engines
     * @return the rules
     */
    public static FixedRules of(Map<String, String> keyTeams, Collection<UpstreamInfo> engines) {
        return new FixedRules(
                0, keyTeams, List.of(STANDARD, URGENT), engines, Map.of(), Limits.DEFAULT);
    }

    @Override
    public Optional<String> teamOfKey(String keySha256) {
        return Optional.ofNullable(keyTeams.get(keySha256));
    }

    @Override
    public Optional<WorkRule> workRule(String team, @Nullable String kind) {
        return kinds.stream().filter(rule -> kind == null || rule.kind().equals(kind)).findFirst();
    }

    @Override
    public Optional<ServiceRule> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
