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
    private final long mDirectNanos;
    private final long mProbeNanos;

    ProbeLog(MembershipOptions options) {
        mDirectNanos = options.directTimeout().toNanos();
        mProbeNanos = options.probeTimeout().toNanos();
    }

    void sent(long now, long nonce, String target) {
        mPending.put(nonce, new Pending(nonce, target, now, false, null, 0));
    }

    void helping(long now, long nonce, String target, String origin, long originNonce) {
        mPending.put(nonce, new Pending(nonce, target, now, true, origin, originNonce));
    }

    @Nullable Pending answered(long nonce) {
        return mPending.remove(nonce);
    }

    /** Returns the probes whose direct timeout has passed, each once. */
    List<Pending> dueForHelp(long now) {
        List<Pending> due = new ArrayList<>();
        for (Pending probe : mPending.values()) {
            if (!probe.helped() && now - probe.sentAt() >= mDirectNanos) {
                due.add(probe);
            }
        }
        for (Pending probe : due) {
            mPending.put(probe.nonce(), probe.asHelped());
        }
        return due;
    }

    /** Removes the probes whose timeout has passed and returns this instance's own. */
    List<Pending> expired(long now) {
        List<Pending> expired = new ArrayList<>();
        Iterator<Pending> probes = mPending.values().iterator();
        while (probes.hasNext()) {
            Pending probe = probes.next();
            if (now - probe.sentAt() < mProbeNanos) {
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
            boolean helped,
            @Nullable String origin,
            long originNonce) {
        Pending asHelped() {
            return new Pending(nonce, target, sentAt, true, origin, originNonce);
        }
    }
}
