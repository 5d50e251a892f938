package org.gentianwalk.core.dispatch;

import java.util.Set;

/**
 * The live instances of the fleet as this instance sees them.
 *
 * @param peers the other live instances with their incarnations
 * @param position position of this instance among all live ones, ordered by region, availability
 *     zone and identifier; from 0
 */
public record PeerView(Set<String> peers, int position) {
    /** The view of an instance that has not found any other one. */
    public static final PeerView ALONE = new PeerView(Set.of(), 0);

    public PeerView {
        peers = Set.copyOf(peers);
        if (position < 0 || position > peers.size()) {
            throw new IllegalArgumentException("position must be from 0 to the number of peers");
        }
    }

    /**
     * Returns the number of live instances.
     *
     * @return the number, this instance included
     */
    public int instances() {
        return peers.size() + 1;
    }
}
