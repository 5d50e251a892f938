package org.gentianwalk.core.policy.fairness;

import org.gentianwalk.core.model.Rank;

/**
 * Demand and served rate of a team at one instance.
 *
 * @param team the team
 * @param rank the service class
 * @param demand requested rate, tokens per second
 * @param served served rate, tokens per second
 * @param weight the team's weight
 */
public record TeamDemand(String team, Rank rank, double demand, double served, double weight) {}
