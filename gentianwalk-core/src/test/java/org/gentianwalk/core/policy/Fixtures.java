package org.gentianwalk.core.policy;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;

/** Test data for the policy tests. */
public final class Fixtures {
    public static final long MILLI = 1_000_000L;
    public static final long SECOND = 1_000 * MILLI;
    public static final Location HOME = new Location("r1", "r1-a");

    private Fixtures() {}

    public static UpstreamInfo engine(String id, Location location, int slots) {
        return new UpstreamInfo(
                id,
                URI.create("http://127.0.0.1:1"),
                location,
                Set.of("m"),
                slots,
                400,
                8000,
                Set.of(Capability.RESUME, Capability.PRIORITY));
    }

    public static List<UpstreamInfo> engines(int count, int slots) {
        List<UpstreamInfo> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("e" + i, HOME, slots));
        }
        return engines;
    }

    public static WorkItem item(String team, String key, Rank rank, long nowNanos) {
        return item(team, key, rank, List.of(), nowNanos, WorkItem.NO_DEADLINE);
    }

    public static WorkItem item(
            String team, String key, Rank rank, List<Long> prefix, long now, long deadline) {
        return new WorkItem(
                new RequestKey(team, key),
                "m",
                "kind",
                rank,
                1000,
                200,
                prefix,
                new Fingerprint(team.hashCode(), key.hashCode()),
                now,
                deadline);
    }

    public static FairScheduler scheduler(List<UpstreamInfo> engines) {
        FairScheduler scheduler =
                new FairScheduler(PolicyOptions.defaults(), ShareRules.EQUAL, "i1", HOME, 1);
        scheduler.replaceUpstreams(engines, 0);
        return scheduler;
    }
}
