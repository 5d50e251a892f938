package org.gentianwalk.core.dispatch;

import java.util.List;

/** Selects the upstream with the lowest cost. */
final class LowestCostPlacement implements PlacementPolicy {
    @Override
    public int select(List<Candidate> candidates, double meanMillis) {
        int best = 0;
        for (int i = 1; i < candidates.size(); i++) {
            if (candidates.get(i).cost() < candidates.get(best).cost()) {
                best = i;
            }
        }
        return best;
    }
}
