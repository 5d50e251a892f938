package org.gentianwalk.core.config;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.config.tree.Source;

/**
 * The rule in effect for a team and a kind of work, with the source of each value.
 *
 * @param team the team
 * @param branch the team's branch
 * @param rule the rule as the serving path uses it
 * @param settings text and source of each setting, by key
 */
public record EffectiveRule(
        String team, String branch, WorkRule rule, Map<String, Setting> settings) {
    public EffectiveRule {
        settings = Collections.unmodifiableMap(new LinkedHashMap<>(settings));
    }

    /**
     * The value of a setting and where it was set.
     *
     * @param value text as written in the file, or the default
     * @param source file and line, or {@link Source#DEFAULT}
     */
    public record Setting(String value, Source source) {}
}
