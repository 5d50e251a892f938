package org.gentianwalk.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Probes that await an answer: this instance's own and those sent on behalf of others. */
final class ProbeLog {
    private final Map<Long, Pending> mPending = new HashMap<>();
    private final long mDirectTimeoutNanos;
    private final long mProbeTimeoutNanos;

    ProbeLog(MembershipOptions options) {
        mDirectTimeoutNanos = options.directTimeout().toNanos();
        mProbeTimeoutNanos = options.probeTimeout().toNanos();
    }

    void addOwn(long now, long nonce, String target) {
        mPending.put(nonce, new Pending(nonce, target, now, false, null, 0));
    }

    void addForOther(long now, long nonce, String target, String origin, long originNonce) {
        mPending.put(nonce, new Pending(nonce, target, now, true, origin, originNonce));
    }

    @Nullable Pending complete(long nonce) {
        return mPending.remove(nonce);
    }

    /** Returns the probes whose direct timeout has passed, each once. */
    List<Pending> dueForIndirectProbes(long now) {
        List<Pending> due = new ArrayList<>();
        for (Pending probe : mPending.values()) {
            if (!probe.indirectRequested() && now - probe.sentAt() >= mDirectTimeoutNanos) {
                due.add(probe);
            }
        }
        for (Pending probe : due) {
            mPending.put(probe.nonce(), probe.withIndirectRequested());
        }
        return due;
    }

    /** Removes the probes whose timeout has passed and returns this instance's own. */
    List<Pending> expired(long now) {
        List<Pending> expired = new ArrayList<>();
        Iterator<Pending> probes = mPending.values().iterator();
        while (probes.hasNext()) {
            Pending probe = probes.next();
            if (now - probe.sentAt() < mProbeTimeoutNanos) {
                continue;
            }
            probes.remove();
            if (probe.origin() == null) {
                expired.add(probe);
            }
        }
        return expired;
    }

    void clear() {
        mPending.clear();
    }

    /** A probe in flight; {@code origin} is set when it is sent on behalf of another instance. */
    record Pending(
            long nonce,
            String target,
            long sentAt,
            boolean indirectRequested,
            @Nullable String origin,
            long originNonce) {
        Pending withIndirectRequested() {
            return new Pending(nonce, target, sentAt, true, origin, originNonce);
        }
    }
}
