package org.gentianwalk.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.platform.InstanceList;
import org.jspecify.annotations.Nullable;

/**
 * Instances of the platform's list, and dead members, that may be alive. The list lags behind, so
 * its entries are only probed.
 */
final class CandidateList {
    private Map<String, InstanceList.Entry> mEntries = new HashMap<>();
    private final Set<String> mPendingLeave = new HashSet<>();

    /**
     * Replaces the list.
     *
     * @return instances whose entry has become leaving since the previous list. A list that still
     *     has a restarted instance as leaving is out of date and does not mark it again.
     */
    List<String> update(List<InstanceList.Entry> entries) {
        Map<String, InstanceList.Entry> next = new HashMap<>();
        List<String> leaving = new ArrayList<>();
        for (InstanceList.Entry entry : entries) {
            if (entry.kind() != InstanceList.Kind.INSTANCE) {
                continue;
            }
            next.put(entry.id(), entry);
            InstanceList.Entry before = mEntries.get(entry.id());
            if (entry.state() == InstanceList.State.LEAVING
                    && (before == null || before.state() != InstanceList.State.LEAVING)) {
                leaving.add(entry.id());
                mPendingLeave.add(entry.id());
            }
        }
        mPendingLeave.retainAll(next.keySet());
        mEntries = next;
        return leaving;
    }

    /** Returns whether a member was listed as leaving but not marked so yet, and clears this. */
    boolean takePendingLeave(String id) {
        return mPendingLeave.remove(id);
    }

    /** Picks a random dead member or unknown listed instance, or null when there is none. */
    @Nullable Candidate pick(MemberTable table, String self, RandomGenerator random) {
        Map<String, Candidate> candidates = new TreeMap<>();
        for (InstanceList.Entry entry : mEntries.values()) {
            if (!entry.id().equals(self) && table.find(entry.id()) == null) {
                candidates.put(entry.id(), new Candidate(entry.id(), entry.address()));
            }
        }
        for (Member member : table.all()) {
            if (member.health() == Member.Health.DEAD) {
                candidates.put(member.id(), new Candidate(member.id(), member.address()));
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        List<Candidate> list = List.copyOf(candidates.values());
        return list.get(random.nextInt(list.size()));
    }

    /** An instance that may be alive. */
    record Candidate(String id, String address) {}
}
