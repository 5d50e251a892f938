package org.gentianwalk.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gentianwalk.core.hash.Rendezvous;

/**
 * An immutable snapshot of the membership, for traffic threads.
 *
 * <p>Options: none. Example: {@code view.rendezvous().top(pool, 1)} gives the home of a pool.
 */
public final class MemberView {
    private final long mNumber;
    private final Member mSelf;
    private final Map<String, Member> mMembers;
    private final List<Member> mUsable;
    private final Rendezvous<Member> mRendezvous;

    /**
     * Makes a snapshot.
     *
     * @param number rises with each snapshot of an instance
     * @param self the instance itself
     * @param others the other members; dead ones are left out
     */
    public MemberView(long number, Member self, Collection<Member> others) {
        mNumber = number;
        mSelf = self;
        Map<String, Member> members = new TreeMap<>();
        members.put(self.id(), self);
        List<Member> usable = new ArrayList<>();
        if (self.isUsable()) {
            usable.add(self);
        }
        for (Member other : others) {
            if (other.health() == Member.Health.DEAD || other.id().equals(self.id())) {
                continue;
            }
            members.put(other.id(), other);
            if (other.isUsable()) {
                usable.add(other);
            }
        }
        mMembers = Map.copyOf(members);
        mUsable = List.copyOf(usable);
        mRendezvous = new Rendezvous<>(mUsable, Member::id, Member::location);
    }

    /**
     * Returns the number of the snapshot.
     *
     * @return rises with each change of the membership
     */
    public long number() {
        return mNumber;
    }

    /**
     * Returns the instance itself.
     *
     * @return this instance as a member
     */
    public Member self() {
        return mSelf;
    }

    /**
     * Finds a member that is not dead.
     *
     * @param id its identifier
     * @return the member, or empty when it is unknown or dead
     */
    public Optional<Member> find(String id) {
        return Optional.ofNullable(mMembers.get(id));
    }

    /**
     * Returns all members that are not dead, this instance and leaving ones included.
     *
     * @return the members, in no particular order
     */
    public Collection<Member> members() {
        return mMembers.values();
    }

    /**
     * Returns the members that may get new work, this instance included unless it is leaving.
     *
     * @return members that are neither dead nor leaving
     */
    public List<Member> usable() {
        return mUsable;
    }

    /**
     * Returns the hashing table over the usable members.
     *
     * @return the table
     */
    public Rendezvous<Member> rendezvous() {
        return mRendezvous;
    }
}
