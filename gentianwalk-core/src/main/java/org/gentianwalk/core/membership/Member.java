package org.gentianwalk.core.membership;

import org.gentianwalk.core.model.Location;
import org.gentianwalk.proto.MemberState;
import org.gentianwalk.proto.MemberUpdate;

/**
 * State of one instance as seen by another or by itself.
 *
 * @param id its identifier
 * @param address IP number and port of its mesh listener
 * @param location where it runs
 * @param incarnation start time of its process, milliseconds since the epoch
 * @param refutation raised by the member to refute a suspicion
 * @param health whether it answers probes
 * @param leaving true when it is about to stop
 * @param configVersion the highest configuration version that it announced
 */
public record Member(
        String id,
        String address,
        Location location,
        long incarnation,
        int refutation,
        Health health,
        boolean leaving,
        long configVersion) {
    /** Liveness of a member, from its answers to probes. */
    public enum Health {
        ALIVE,
        SUSPECT,
        DEAD
    }

    /**
     * Returns whether the member may get new work.
     *
     * @return true when it is neither dead nor leaving
     */
    public boolean isUsable() {
        return health != Health.DEAD && !leaving;
    }

    Member withHealth(Health newHealth) {
        return new Member(
                id, address, location, incarnation, refutation, newHealth, leaving, configVersion);
    }

    Member asLeaving() {
        return new Member(
                id, address, location, incarnation, refutation, health, true, configVersion);
    }

    Member withConfigVersion(long version) {
        return new Member(id, address, location, incarnation, refutation, health, leaving, version);
    }

    Member withRefutation(int value) {
        return new Member(
                id, address, location, incarnation, value, health, leaving, configVersion);
    }

    /**
     * Suspicion and death take precedence over the leaving mark, which the member itself repeats.
     */
    MemberUpdate toUpdate() {
        MemberState state =
                switch (health) {
                    case DEAD -> MemberState.DEAD;
                    case SUSPECT -> MemberState.SUSPECT;
                    case ALIVE -> leaving ? MemberState.LEAVING : MemberState.ALIVE;
                };
        return MemberUpdate.newBuilder()
                .setInstance(id)
                .setAddress(address)
                .setAvailabilityZone(location.availabilityZone())
                .setRegion(location.region())
                .setIncarnation(incarnation)
                .setRefutation(refutation)
                .setState(state)
                .setConfigVersion(configVersion)
                .build();
    }

    static Member of(MemberUpdate update) {
        Health health =
                switch (update.getState()) {
                    case SUSPECT -> Health.SUSPECT;
                    case DEAD -> Health.DEAD;
                    default -> Health.ALIVE;
                };
        return new Member(
                update.getInstance(),
                update.getAddress(),
                new Location(update.getRegion(), update.getAvailabilityZone()),
                update.getIncarnation(),
                update.getRefutation(),
                health,
                update.getState() == MemberState.LEAVING,
                update.getConfigVersion());
    }

    /** Returns whether an update has all fields, and a state that this release knows. */
    static boolean isComplete(MemberUpdate update) {
        MemberState state = update.getState();
        return state != MemberState.MEMBER_STATE_UNSPECIFIED
                && state != MemberState.UNRECOGNIZED
                && !update.getInstance().isEmpty()
                && !update.getAddress().isEmpty()
                && !update.getRegion().isEmpty()
                && !update.getAvailabilityZone().isEmpty();
    }
}
