package org.gentianwalk.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.gentianwalk.proto.MemberState;
import org.gentianwalk.proto.MemberUpdate;
import org.jspecify.annotations.Nullable;

/**
 * The members as one instance sees them, and the rules by which one update replaces another.
 *
 * <p>A higher incarnation replaces a lower one. Within an incarnation, a higher refutation replaces
 * a lower one; within a refutation, dead replaces suspect and suspect replaces alive. A leaving
 * mark lasts as long as its incarnation.
 */
final class MemberTable {
    private final Map<String, Member> mMembers = new HashMap<>();
    private final Map<String, Long> mSuspicionDeadlines = new HashMap<>();
    private final Map<String, Long> mDiedAt = new HashMap<>();
    private final UpdateQueue mQueue;
    private final long mSuspicionNanos;
    private long mChangeCount;

    MemberTable(UpdateQueue queue, long suspicionNanos) {
        mQueue = queue;
        mSuspicionNanos = suspicionNanos;
    }

    @Nullable Member find(String id) {
        return mMembers.get(id);
    }

    Collection<Member> all() {
        return mMembers.values();
    }

    int countNotDead() {
        return mMembers.size() - mDiedAt.size();
    }

    /** Returns a count that rises with each change that requires a new snapshot. */
    long changeCount() {
        return mChangeCount;
    }

    /**
     * Merges an update.
     *
     * @return true when it changed more than the configuration version
     */
    boolean merge(long now, MemberUpdate update) {
        Member known = mMembers.get(update.getInstance());
        Member received = Member.of(update);
        if (known == null) {
            if (received.health() == Member.Health.DEAD) {
                return false;
            }
            put(now, received);
            return true;
        }
        if (received.incarnation() != known.incarnation()) {
            if (received.incarnation() < known.incarnation()) {
                return false;
            }
            put(now, received);
            return true;
        }
        Member merged = known;
        boolean changed = false;
        boolean newer = received.refutation() > known.refutation();
        boolean worse =
                received.refutation() == known.refutation()
                        && received.health().compareTo(known.health()) > 0;
        if (newer || worse) {
            merged = merged.withRefutation(received.refutation()).withHealth(received.health());
            changed = true;
        }
        if (update.getState() == MemberState.LEAVING && !merged.leaving()) {
            merged = merged.asLeaving();
            changed = true;
        }
        if (received.configVersion() > merged.configVersion()) {
            merged = merged.withConfigVersion(received.configVersion());
            mMembers.put(merged.id(), merged);
            mChangeCount++;
        }
        if (changed) {
            put(now, merged);
        }
        return changed;
    }

    void suspect(long now, String id) {
        Member known = mMembers.get(id);
        if (known != null && known.health() == Member.Health.ALIVE) {
            put(now, known.withHealth(Member.Health.SUSPECT));
        }
    }

    void markLeaving(long now, String id) {
        Member known = mMembers.get(id);
        if (known != null && !known.leaving()) {
            put(now, known.asLeaving());
        }
    }

    /**
     * Declares members dead whose suspicion timeout has passed, and removes members whose retention
     * after death has passed.
     */
    void expire(long now, long deadRetentionNanos) {
        List<String> due = new ArrayList<>();
        mSuspicionDeadlines.forEach(
                (id, deadline) -> {
                    if (now - deadline >= 0) {
                        due.add(id);
                    }
                });
        for (String id : due) {
            Member member = mMembers.get(id);
            if (member != null) {
                put(now, member.withHealth(Member.Health.DEAD));
            }
        }
        Iterator<Map.Entry<String, Long>> died = mDiedAt.entrySet().iterator();
        while (died.hasNext()) {
            Map.Entry<String, Long> entry = died.next();
            if (now - entry.getValue() > deadRetentionNanos) {
                mMembers.remove(entry.getKey());
                died.remove();
            }
        }
    }

    /** Returns the suspected members whose timeouts end first. */
    List<Member> suspects(int count) {
        List<Map.Entry<String, Long>> byDeadline = new ArrayList<>(mSuspicionDeadlines.entrySet());
        byDeadline.sort(Map.Entry.<String, Long>comparingByValue());
        List<Member> suspects = new ArrayList<>();
        for (Map.Entry<String, Long> entry : byDeadline) {
            Member member = mMembers.get(entry.getKey());
            if (member != null && suspects.size() < count) {
                suspects.add(member);
            }
        }
        return suspects;
    }

    /** Extends the timeouts of all suspected members, after a pause of this instance. */
    void extendTimeouts(long nanos) {
        mSuspicionDeadlines.replaceAll((id, deadline) -> deadline + nanos);
    }

    private void put(long now, Member member) {
        mMembers.put(member.id(), member);
        mChangeCount++;
        if (member.health() == Member.Health.SUSPECT) {
            mSuspicionDeadlines.put(member.id(), now + mSuspicionNanos);
        } else {
            mSuspicionDeadlines.remove(member.id());
        }
        if (member.health() == Member.Health.DEAD) {
            mDiedAt.put(member.id(), now);
        } else {
            mDiedAt.remove(member.id());
        }
        mQueue.add(member.toUpdate());
    }
}
