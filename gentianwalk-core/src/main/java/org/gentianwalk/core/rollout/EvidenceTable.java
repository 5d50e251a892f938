package org.gentianwalk.core.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Observations by route and version. */
final class EvidenceTable {
    private final Map<String, VersionEvidence> mOld = new TreeMap<>();
    private final Map<String, VersionEvidence> mCurrent = new TreeMap<>();

    /** Returns the sums of a version on a route, which the caller may change. */
    VersionEvidence at(String route, boolean newVersion) {
        return (newVersion ? mCurrent : mOld).computeIfAbsent(route, key -> new VersionEvidence());
    }

    /** Returns the counters of a version on a route; all 0 when nothing was observed. */
    VersionCounters counters(String route, boolean newVersion) {
        VersionEvidence evidence = (newVersion ? mCurrent : mOld).get(route);
        return (evidence == null ? new VersionEvidence() : evidence).counters(route, newVersion);
    }

    /** Returns the routes with observations of either version. */
    Collection<String> routes() {
        var routes = new TreeSet<>(mOld.keySet());
        routes.addAll(mCurrent.keySet());
        return routes;
    }

    /** Returns the counters of all routes and versions. */
    List<VersionCounters> counters() {
        var counters = new ArrayList<VersionCounters>();
        mOld.forEach((route, evidence) -> counters.add(evidence.counters(route, false)));
        mCurrent.forEach((route, evidence) -> counters.add(evidence.counters(route, true)));
        return counters;
    }

    /** Adds or subtracts counters. */
    void add(Iterable<VersionCounters> counters, int sign) {
        for (VersionCounters each : counters) {
            at(each.route(), each.newVersion()).add(each, sign);
        }
    }

    /** Returns the sum of the counters of one version over all routes. */
    VersionCounters sum(boolean newVersion) {
        var sum = new VersionEvidence();
        var versions = newVersion ? mCurrent : mOld;
        versions.forEach((route, evidence) -> sum.add(evidence.counters(route, newVersion), 1));
        return sum.counters("*", newVersion);
    }
}
