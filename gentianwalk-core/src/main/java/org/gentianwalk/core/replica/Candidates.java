package org.gentianwalk.core.replica;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.hash.Rendezvous;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.GenerationKey;

/**
 * Selects the instances that may hold a copy of a generation. An owner chooses its holder among
 * them and a takeover claims all of them, so a replaced owner is refused by every holder that it
 * may choose.
 */
final class Candidates {
    /** Largest number of zones of a region with candidates; section 5.2 of the design. */
    private static final int MAX_ZONES = 4;

    private static final int CANDIDATES_PER_ZONE = 2;

    /**
     * In a single zone, an owner that is itself one of two candidates would have only one holder.
     */
    private static final int CANDIDATES_IN_SINGLE_ZONE = 3;

    private Candidates() {}

    /** Returns a region's candidates in order of preference, possibly with this instance. */
    static List<Member> ofRegion(MemberView view, String region, GenerationKey key) {
        String text = rendezvousKey(key);
        Rendezvous<Member> table = view.rendezvous();
        List<String> zones = table.zones(region, text);
        zones = zones.subList(0, Math.min(MAX_ZONES, zones.size()));
        int perZone = zones.size() == 1 ? CANDIDATES_IN_SINGLE_ZONE : CANDIDATES_PER_ZONE;
        List<List<Member>> byZone = new ArrayList<>();
        for (String zone : zones) {
            byZone.add(table.topOfZone(zone, text, perZone));
        }
        List<Member> candidates = new ArrayList<>();
        for (int rank = 0; rank < perZone; rank++) {
            for (List<Member> members : byZone) {
                if (rank < members.size()) {
                    candidates.add(members.get(rank));
                }
            }
        }
        return candidates;
    }

    /** Returns an owner's possible holders: other zones first, then its own, then other regions. */
    static List<Member> forOwner(MemberView view, GenerationKey key, boolean acrossRegions) {
        Member self = view.self();
        List<Member> sameZone = new ArrayList<>();
        List<Member> candidates = new ArrayList<>();
        for (Member member : ofRegion(view, self.location().region(), key)) {
            if (member.id().equals(self.id())) {
                continue;
            }
            boolean inOwnZone =
                    member.location().availabilityZone().equals(self.location().availabilityZone());
            (inOwnZone ? sameZone : candidates).add(member);
        }
        candidates.addAll(sameZone);
        if (acrossRegions) {
            candidates.addAll(ofOtherRegions(view, key));
        }
        return candidates;
    }

    /** Returns the candidates of all regions except this instance's own. */
    static List<Member> ofOtherRegions(MemberView view, GenerationKey key) {
        List<Member> candidates = new ArrayList<>();
        for (String region : view.rendezvous().regions()) {
            if (!region.equals(view.self().location().region())) {
                candidates.addAll(ofRegion(view, region, key));
            }
        }
        return candidates;
    }

    /** Returns all members of a zone in order of preference. */
    static List<Member> ofZone(MemberView view, String zone, GenerationKey key) {
        return view.rendezvous().topOfZone(zone, rendezvousKey(key), Integer.MAX_VALUE);
    }

    /** Returns leaving members: they get no new copies but may still hold earlier ones. */
    static List<Member> leavingMembers(MemberView view, boolean ownRegion) {
        String region = view.self().location().region();
        List<Member> leaving = new ArrayList<>();
        for (Member member : view.members()) {
            boolean inOwnRegion = member.location().region().equals(region);
            if (member.leaving()
                    && inOwnRegion == ownRegion
                    && !member.id().equals(view.self().id())) {
                leaving.add(member);
            }
        }
        return leaving;
    }

    private static String rendezvousKey(GenerationKey key) {
        return key.getTeam() + "/" + key.getKey();
    }
}
