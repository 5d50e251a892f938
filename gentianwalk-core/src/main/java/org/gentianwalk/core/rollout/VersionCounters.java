package org.gentianwalk.core.rollout;

/**
 * Cumulative observations of one version on one route. Sums of counters of several instances are
 * the counters of all of them.
 *
 * @param route name of the route
 * @param newVersion true for the version of the order, false for all others
 * @param started attempts that were started
 * @param answered attempts that ended with an answer or a failure of the upstream
 * @param failed attempts that ended with a failure of the upstream
 * @param timed times to the first output that are part of the sums; running attempts count as soon
 *     as theirs is known
 * @param sumLogFirst sum of the natural logarithms of the times to the first output, milliseconds
 * @param sumSquaredLogFirst sum of the squares of these logarithms
 * @param sumLogTotal sum of the natural logarithms of the whole durations of the successes,
 *     milliseconds; their number is that of the answers less the failures
 * @param sumSquaredLogTotal sum of the squares of these logarithms
 */
public record VersionCounters(
        String route,
        boolean newVersion,
        long started,
        long answered,
        long failed,
        long timed,
        double sumLogFirst,
        double sumSquaredLogFirst,
        double sumLogTotal,
        double sumSquaredLogTotal) {
    public VersionCounters {
        if (started < 0 || answered < 0 || failed < 0 || timed < 0 || failed > answered) {
            throw new IllegalArgumentException("counters of route " + route + " are not valid");
        }
    }
}
