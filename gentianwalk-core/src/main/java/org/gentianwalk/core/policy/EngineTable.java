package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.routing.EngineState;
import org.gentianwalk.core.policy.routing.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * The engines that one instance uses: all engines of a small pool, a subset of a large one in each
 * region.
 */
final class EngineTable {
    /** Maximum number of engines in a region up to which an instance uses the whole pool. */
    private static final int MAX_WHOLE_POOL = 32;

    private final PolicyOptions.Routing mOptions;
    private final String mInstance;
    private final Location mSelf;
    private final Map<String, EngineState> mEngines = new HashMap<>();
    private final Map<String, List<EngineState>> mByModel = new TreeMap<>();
    private final Map<String, Double> mCapacities = new HashMap<>();
    private final Map<String, Integer> mCounts = new HashMap<>();

    EngineTable(PolicyOptions.Routing options, String instance, Location self) {
        mOptions = options;
        mInstance = instance;
        mSelf = self;
    }

    void replace(Collection<UpstreamInfo> upstreams) {
        Map<String, List<UpstreamInfo>> groups = new TreeMap<>();
        mCapacities.clear();
        mCounts.clear();
        for (UpstreamInfo info : upstreams) {
            for (String model : info.models()) {
                groups.computeIfAbsent(
                                model + '\n' + info.location().region(), key -> new ArrayList<>())
                        .add(info);
            }
        }
        mByModel.clear();
        Set<String> used = new HashSet<>();
        groups.forEach(
                (key, group) -> {
                    int end = key.indexOf('\n');
                    String model = key.substring(0, end);
                    boolean own = key.substring(end + 1).equals(mSelf.region());
                    List<EngineState> engines =
                            mByModel.computeIfAbsent(model, name -> new ArrayList<>());
                    for (UpstreamInfo info : subset(group)) {
                        engines.add(state(info));
                        used.add(info.id());
                    }
                    if (own) {
                        mCounts.put(model, group.size());
                        mCapacities.put(
                                model,
                                group.stream().mapToDouble(UpstreamInfo::tokensPerSecond).sum());
                    }
                });
        mEngines.keySet().retainAll(used);
    }

    @Nullable EngineState get(String id) {
        return mEngines.get(id);
    }

    Collection<EngineState> all() {
        return mEngines.values();
    }

    Set<String> models() {
        return mByModel.keySet();
    }

    List<EngineState> ofModel(String model) {
        return mByModel.getOrDefault(model, List.of());
    }

    /** Returns the nominal capacity of a model in the own region, tokens per second. */
    double capacity(String model) {
        return mCapacities.getOrDefault(model, 0.0);
    }

    /**
     * Returns the number of engines of a model in the own region, including those outside of the
     * subset.
     */
    int engineCount(String model) {
        return mCounts.getOrDefault(model, 0);
    }

    /** Chooses a subset by rendezvous hashing, up to half of it from the own zone. */
    private List<UpstreamInfo> subset(List<UpstreamInfo> group) {
        if (group.size() <= MAX_WHOLE_POOL) {
            return group;
        }
        Map<String, UpstreamInfo> byId = new HashMap<>();
        group.forEach(info -> byId.put(info.id(), info));
        List<UpstreamInfo> chosen = new ArrayList<>();
        List<UpstreamInfo> rest = new ArrayList<>();
        for (String id : Rendezvous.order(mInstance, byId.keySet())) {
            UpstreamInfo info = byId.get(id);
            boolean sameZone =
                    info != null && mSelf.distanceTo(info.location()) == Distance.SAME_ZONE;
            if (info != null) {
                (sameZone && chosen.size() < mOptions.subset() / 2 ? chosen : rest).add(info);
            }
        }
        for (UpstreamInfo info : rest) {
            if (chosen.size() == mOptions.subset()) {
                break;
            }
            chosen.add(info);
        }
        return chosen;
    }

    private EngineState state(UpstreamInfo info) {
        EngineState state =
                mEngines.computeIfAbsent(
                        info.id(),
                        id ->
                                new EngineState(
                                        info,
                                        mSelf.distanceTo(info.location()),
                                        mOptions.reportLag().toNanos()));
        state.updateInfo(info);
        return state;
    }
}
