package org.gentianwalk.core.config;

import java.util.Map;
import org.gentianwalk.core.config.ServingRules.WorkRule;

/**
 * The rules of a team.
 *
 * @param branch branch to which the team belongs
 * @param defaultKind kind of work of requests that name none
 * @param rules rules of the kinds of work that the team may use, by kind
 */
record TeamRules(String branch, String defaultKind, Map<String, WorkRule> rules) {
    TeamRules {
        rules = Map.copyOf(rules);
    }
}
