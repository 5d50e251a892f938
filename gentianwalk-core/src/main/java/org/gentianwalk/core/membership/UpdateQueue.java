package org.gentianwalk.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.proto.MemberUpdate;

/**
 * Updates to piggyback on probes, those sent least often first. Each is sent a number of times that
 * grows with the logarithm of the fleet's size and is then removed, so that the traffic does not
 * grow with the fleet.
 */
final class UpdateQueue {
    /**
     * Multiple of log10 of the fleet's size; 4 reaches all members with a margin for lost messages.
     */
    private static final int RETRANSMIT_FACTOR = 4;

    private final Map<String, Item> mItems = new LinkedHashMap<>();

    void add(MemberUpdate update) {
        mItems.put(update.getInstance(), new Item(update));
    }

    List<MemberUpdate> take(int count, int fleet) {
        int limit = RETRANSMIT_FACTOR * (int) Math.ceil(Math.log10(fleet + 1.0) + 0.001);
        List<Item> items = new ArrayList<>(mItems.values());
        items.sort(Comparator.comparingInt(item -> item.mSent));
        List<MemberUpdate> taken = new ArrayList<>(Math.min(count, items.size()));
        for (Item item : items.subList(0, Math.min(count, items.size()))) {
            taken.add(item.mUpdate);
            item.mSent++;
            if (item.mSent >= limit) {
                mItems.remove(item.mUpdate.getInstance());
            }
        }
        return taken;
    }

    private static final class Item {
        final MemberUpdate mUpdate;
        int mSent;

        Item(MemberUpdate update) {
            mUpdate = update;
        }
    }
}
