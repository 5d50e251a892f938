package org.gentianwalk.core.rollout;

/** A test of one way in which the new version may be worse than the old one. */
interface EvidenceTest {
    /**
     * Returns how much more likely the observations are when the new version is bad than when it is
     * good. The results of independent routes may be added.
     *
     * @param old counters of the old version on a route
     * @param current counters of the new version on the same route
     * @return natural logarithm of the ratio of the likelihoods; 0 without observations
     */
    double logRatio(VersionCounters old, VersionCounters current);

    /**
     * Returns the number of observations of the new version that could show that it is bad.
     *
     * @param current counters of the new version
     * @return failures, or times
     */
    long observations(VersionCounters current);
}
