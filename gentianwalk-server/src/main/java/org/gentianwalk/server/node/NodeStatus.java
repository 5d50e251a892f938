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

/** Describes an instance and its view of the other instances and the upstreams, for operators. */
final class NodeStatus {
    private final InstanceFile mFile;
    private final Sources mSources;
    private final AtomicBoolean mProbing = new AtomicBoolean();
    private volatile boolean mStoreReachable;

    /** Sources of the status. */
    record Sources(
            Instance instance,
            MembershipDriver members,
            ConfigService config,
            FleetTasks fleet,
            MeshReplicaService replicas,
            PlatformClients platform) {}

    NodeStatus(InstanceFile file, Sources sources) {
        mFile = file;
        mSources = sources;
    }

    Map<String, Object> describe() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("instance", mFile.id());
        status.put("zone", mFile.location().availabilityZone());
        status.put("region", mFile.location().region());
        status.put("ready", mSources.instance().isReady());
        status.put("configVersion", mSources.config().version());
        status.put("queued", mSources.fleet().work().queued());
        status.put("running", mSources.fleet().work().running());
        status.put("leases", mSources.fleet().leases().held());
        status.put("copiesHeld", heldRecords());
        status.put("storeReachable", isStoreReachable());
        status.put("instances", instances());
        status.put("upstreams", upstreams());
        return status;
    }

    private List<Map<String, Object>> instances() {
        String self = mFile.id();
        List<Member> members = new ArrayList<>(mSources.members().view().members());
        members.sort(Comparator.comparing(Member::id));
        List<Map<String, Object>> instances = new ArrayList<>();
        for (Member member : members) {
            boolean own = member.id().equals(self);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("instance", member.id());
            entry.put("zone", member.location().availabilityZone());
            entry.put("health", member.health().name());
            entry.put("leaving", member.leaving());
            // Members don't announce their readiness; one counts as ready when it has a
            // configuration, is alive and is not leaving.
            entry.put(
                    "ready",
                    own
                            ? mSources.instance().isReady()
                            : member.isUsable()
                                    && member.health() == Member.Health.ALIVE
                                    && member.configVersion() > 0);
            entry.put("configVersion", member.configVersion());
            instances.add(entry);
        }
        return instances;
    }

    private List<Map<String, Object>> upstreams() {
        Map<String, Availability> availability = mSources.instance().dispatcher().availabilities();
        List<Map<String, Object>> upstreams = new ArrayList<>();
        for (UpstreamInfo upstream : mSources.fleet().upstreams().upstreams().values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("upstream", upstream.id());
            entry.put("zone", upstream.location().availabilityZone());
            entry.put("state", mSources.fleet().upstreams().state(upstream.id(), availability));
            upstreams.add(entry);
        }
        return upstreams;
    }

    private int heldRecords() {
        try {
            return mSources.replicas().heldRecords();
        } catch (CompletionException e) {
            return 0;
        }
    }

    /**
     * Probes the store, one request at a time; while a probe is pending, returns the last result.
     */
    private boolean isStoreReachable() {
        if (mProbing.compareAndSet(false, true)) {
            try {
                mStoreReachable =
                        !(mSources.platform()
                                        .table()
                                        .read(LeaseHolder.PREFIX + LeasedTasks.PLACEMENT)
                                instanceof ReadResult.Unavailable);
            } finally {
                mProbing.set(false);
            }
        }
        return mStoreReachable;
    }
}
