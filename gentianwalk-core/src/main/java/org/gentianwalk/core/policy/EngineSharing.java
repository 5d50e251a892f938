package org.gentianwalk.core.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.policy.routing.EngineState;
import org.gentianwalk.core.policy.routing.Rendezvous;

/**
 * Computes how many instances share an engine, and on which engines this instance places suspect
 * requests.
 */
final class EngineSharing {
    private final String mInstance;
    private final EngineTable mEngines;

    EngineSharing(String instance, EngineTable engines) {
        mInstance = instance;
        mEngines = engines;
    }

    /**
     * Divides the engines of the region between its instances. Each instance places suspects only
     * on its own engines, so that suspects of two instances never run on the same engine.
     */
    void divide(Collection<Pool> pools, List<String> members) {
        for (Pool pool : pools) {
            List<String> regionEngines = new ArrayList<>();
            for (EngineState engine : pool.mEngines) {
                if (engine.distance() != Distance.OTHER_REGION) {
                    regionEngines.add(engine.id());
                }
            }
            Set<String> own = new HashSet<>();
            List<String> ordered = Rendezvous.order("suspects", regionEngines);
            // Instances that use a subset of the pool don't divide it: with many engines and few
            // suspects, collisions are rare.
            boolean usesWholePool = regionEngines.size() == mEngines.engineCount(pool.mKey.model());
            for (int i = 0; i < ordered.size() && usesWholePool; i++) {
                if (members.get(i % members.size()).equals(mInstance)) {
                    own.add(ordered.get(i));
                }
            }
            pool.mSuspectEngines = own;
            // Each of m instances uses s of the n engines, so on average m * s/n instances share an
            // engine.
            double usedFraction =
                    pool.regionEngineCount() / Math.max(1, mEngines.engineCount(pool.mKey.model()));
            pool.mSharers = (int) Math.max(1, Math.round(members.size() * usedFraction));
        }
    }
}
