package org.gentianwalk.server.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.lease.LeaseHolder;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.policy.Scheduler.Availability;
import org.gentianwalk.server.Instance;
import org.gentianwalk.server.config.ConfigService;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.replica.MeshReplicaService;

/** Describes an instance and what it knows of the others, for operators. */
final class NodeStatus {
    private final InstanceFile mFile;
    private final Parts mParts;
    private final AtomicBoolean mChecking = new AtomicBoolean();
    private volatile boolean mStoreReachable;

    /** What is described. */
    record Parts(
            Instance instance,
            MembershipDriver members,
            ConfigService config,
            FleetWork fleet,
            MeshReplicaService replicas,
            PlatformClients platform) {}

    NodeStatus(InstanceFile file, Parts parts) {
        mFile = file;
        mParts = parts;
    }

    Map<String, Object> describe() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("instance", mFile.id());
        status.put("zone", mFile.location().availabilityZone());
        status.put("region", mFile.location().region());
        status.put("ready", mParts.instance().isReady());
        status.put("configVersion", mParts.config().version());
        status.put("queued", mParts.fleet().work().queued());
        status.put("running", mParts.fleet().work().running());
        status.put("leases", mParts.fleet().leases().held());
        status.put("copiesHeld", copies());
        status.put("storeReachable", isStoreReachable());
        status.put("instances", instances());
        status.put("upstreams", upstreams());
        return status;
    }

    private List<Map<String, Object>> instances() {
        String self = mFile.id();
        List<Member> members = new ArrayList<>(mParts.members().view().members());
        members.sort(Comparator.comparing(Member::id));
        List<Map<String, Object>> instances = new ArrayList<>();
        for (Member member : members) {
            boolean own = member.id().equals(self);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("instance", member.id());
            entry.put("zone", member.location().availabilityZone());
            entry.put("health", member.health().name());
            entry.put("leaving", member.leaving());
            // Others announce no readiness of their own; one with a configuration that neither
            // leaves nor is suspected takes work.
            entry.put(
                    "ready",
                    own
                            ? mParts.instance().isReady()
                            : member.isUsable()
                                    && member.health() == Member.Health.ALIVE
                                    && member.configVersion() > 0);
            entry.put("configVersion", member.configVersion());
            instances.add(entry);
        }
        return instances;
    }

    private List<Map<String, Object>> upstreams() {
        Map<String, Availability> availability = mParts.instance().dispatcher().availabilities();
        List<Map<String, Object>> upstreams = new ArrayList<>();
        for (UpstreamInfo upstream : mParts.fleet().upstreams().upstreams().values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("upstream", upstream.id());
            entry.put("zone", upstream.location().availabilityZone());
            entry.put("state", mParts.fleet().upstreams().state(upstream.id(), availability));
            upstreams.add(entry);
        }
        return upstreams;
    }

    private int copies() {
        try {
            return mParts.replicas().held();
        } catch (CompletionException e) {
            return 0;
        }
    }

    /** Asks the store, one request at a time; while it does not answer, the last result counts. */
    private boolean isStoreReachable() {
        if (mChecking.compareAndSet(false, true)) {
            try {
                mStoreReachable =
                        !(mParts.platform().table().read(LeaseHolder.PREFIX + LeasedTasks.PLACEMENT)
                                instanceof ReadResult.Unavailable);
            } finally {
                mChecking.set(false);
            }
        }
        return mStoreReachable;
    }
}
