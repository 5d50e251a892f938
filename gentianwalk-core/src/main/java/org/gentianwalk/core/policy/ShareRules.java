package org.gentianwalk.core.policy;

import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;

/** Weights and caps of teams. Example: {@code ShareRules.of(() -> currentRules)}. */
public interface ShareRules {
    /** Equal weights and no caps. */
    ShareRules EQUAL = (team, kind) -> new Share(1, Double.POSITIVE_INFINITY);

    /**
     * Returns the weight and cap of a team's work of a kind.
     *
     * @param team the team
     * @param kind the kind of work
     * @return weight and cap
     */
    Share share(String team, String kind);

    /**
     * Creates rules that read shares from the active configuration.
     *
     * @param rules supplies the current rules
     * @return the shares
     */
    static ShareRules of(Supplier<ServingRules> rules) {
        return (team, kind) ->
                rules.get()
                        .workRule(team, kind)
                        .map(rule -> new Share(rule.weight(), capOf(rule)))
                        .orElse(new Share(1, Double.POSITIVE_INFINITY));
    }

    private static double capOf(ServingRules.WorkRule rule) {
        Double cap = rule.tokensPerSecondCap();
        return cap == null ? Double.POSITIVE_INFINITY : cap;
    }

    /**
     * A team's share.
     *
     * @param weight share relative to other teams
     * @param cap maximum tokens per second over all instances, or infinity
     */
    record Share(double weight, double cap) {
        public Share {
            if (!(weight > 0) || !(cap > 0)) {
                throw new IllegalArgumentException("weight and cap must be positive");
            }
        }
    }
}
