package org.gentianwalk.core.policy.suspect;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.routing.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Tracks requests that were running on lost engines, to stop those that crash the engines. A loss
 * is pending for one second, in which a failure of the whole zone would show, and then counts. Two
 * counted losses convict a request, which is then not run again. The state of instances can be
 * merged in any order.
 */
public final class SuspectTable {
    /** Number of losses that convict a request. */
    public static final int CONVICTING_LOSSES = 2;

    /** Time within which two losses of the same engine are the same loss, nanoseconds. */
    private static final long SAME_LOSS_NANOS = 5_000_000_000L;

    private static final int ENGINE_SHIFT = 32;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PolicyOptions.Retry mOptions;
    private final ZoneLosses mZones = new ZoneLosses();
    private final Map<Integer, String> mZoneOfEngine = new LinkedHashMap<>();
    private final LinkedHashMap<Fingerprint, Suspect> mSuspects = new LinkedHashMap<>();
    private final LinkedHashMap<Fingerprint, Suspect> mChanged = new LinkedHashMap<>();
    private int mSequence;

    /**
     * Creates an empty table.
     *
     * @param options bounds and lifetimes
     */
    public SuspectTable(PolicyOptions.Retry options) {
        mOptions = options;
    }

    /**
     * Registers an engine's zone.
     *
     * @param engine the engine
     * @param zone its availability zone
     */
    public void registerEngine(String engine, String zone) {
        mZoneOfEngine.put(engineHash(engine), zone);
    }

    /**
     * Records the loss of an engine that was running a request.
     *
     * @param request the request
     * @param engine the engine
     * @param nowNanos time of the loss
     */
    public void recordLoss(Fingerprint request, String engine, long nowNanos) {
        int hash = engineHash(engine);
        long loss = ((long) hash << ENGINE_SHIFT) | (++mSequence & 0xffffffffL);
        addLoss(request, loss, nowNanos);
    }

    /**
     * Records the loss of an engine, whether or not it was running requests.
     *
     * @param engine the engine
     * @param nowNanos time of the loss
     */
    public void recordEngineLoss(String engine, long nowNanos) {
        int hash = engineHash(engine);
        mZones.recordLoss(mZoneOfEngine.getOrDefault(hash, ""), hash, nowNanos);
    }

    /**
     * Clears a request that finished, unless it is convicted.
     *
     * @param request the request
     * @param nowNanos current time
     */
    public void clear(Fingerprint request, long nowNanos) {
        Suspect suspect = mSuspects.get(request);
        if (suspect != null && !suspect.isConvicted()) {
            suspect.mLosses.clear();
            suspect.mCleared = true;
            recordChange(request, suspect, nowNanos);
        }
    }

    /**
     * Returns the verdict on a request.
     *
     * @param request the request
     * @param nowNanos current time
     * @return its verdict
     */
    public Verdict verdict(Fingerprint request, long nowNanos) {
        Suspect suspect = mSuspects.get(request);
        if (suspect == null || isExpired(suspect, nowNanos)) {
            return Verdict.UNKNOWN;
        }
        evaluate(request, suspect, nowNanos);
        if (suspect.isConvicted()) {
            return Verdict.CONVICTED;
        }
        if (suspect.mLosses.isEmpty()) {
            return Verdict.UNKNOWN;
        }
        return suspect.mLosses.size() >= CONVICTING_LOSSES ? Verdict.PENDING : Verdict.SUSPECT;
    }

    /**
     * Returns the time of the last change of a request's state.
     *
     * @param request the request
     * @return monotonic nanoseconds, or null when it is unknown
     */
    public @Nullable Long changedAt(Fingerprint request) {
        Suspect suspect = mSuspects.get(request);
        return suspect == null ? null : suspect.mChangedAt;
    }

    /**
     * Merges entries of another instance.
     *
     * @param entries its entries
     * @param nowNanos time of receipt
     */
    public void merge(List<SuspectEntry> entries, long nowNanos) {
        for (SuspectEntry entry : entries) {
            long at = nowNanos - entry.ageMs() * NANOS_PER_MILLI;
            Suspect known = mSuspects.get(entry.fingerprint());
            if (entry.cleared()) {
                if (known != null && !known.isConvicted() && known.mChangedAt < at) {
                    known.mLosses.clear();
                    known.mCleared = true;
                    recordChange(entry.fingerprint(), known, at);
                }
                continue;
            }
            if (known != null && known.mCleared && known.mChangedAt >= at) {
                continue;
            }
            for (long loss : entry.losses()) {
                addLoss(entry.fingerprint(), loss, at);
            }
        }
    }

    /**
     * Returns the entries that changed since the last call.
     *
     * @param nowNanos current time
     * @return entries to send to other instances
     */
    public List<SuspectEntry> drainChanges(long nowNanos) {
        List<SuspectEntry> changes = new ArrayList<>();
        mChanged.forEach(
                (request, suspect) -> {
                    List<Long> losses = new ArrayList<>();
                    suspect.mLosses.forEach(loss -> losses.add(loss.id()));
                    int age = (int) Math.max(0, (nowNanos - suspect.mChangedAt) / NANOS_PER_MILLI);
                    changes.add(new SuspectEntry(request, losses, suspect.mCleared, age));
                });
        mChanged.clear();
        return changes;
    }

    /**
     * Removes expired entries.
     *
     * @param nowNanos current time
     */
    public void expire(long nowNanos) {
        mSuspects.values().removeIf(suspect -> isExpired(suspect, nowNanos));
    }

    /**
     * Returns the number of entries.
     *
     * @return entries, at most the configured bound
     */
    public int size() {
        return mSuspects.size();
    }

    private void addLoss(Fingerprint request, long loss, long atNanos) {
        int engine = (int) (loss >> ENGINE_SHIFT);
        Suspect suspect = mSuspects.computeIfAbsent(request, key -> new Suspect());
        for (Loss known : suspect.mLosses) {
            boolean sameEngine = (int) (known.id() >> ENGINE_SHIFT) == engine;
            if (known.id() == loss
                    || sameEngine && Math.abs(known.atNanos() - atNanos) < SAME_LOSS_NANOS) {
                return;
            }
        }
        mZones.recordLoss(mZoneOfEngine.getOrDefault(engine, ""), engine, atNanos);
        if (suspect.isConvicted()) {
            return;
        }
        suspect.mCleared = false;
        suspect.mLosses.add(new Loss(loss, atNanos));
        recordChange(request, suspect, atNanos);
        enforceBound();
    }

    /**
     * Drops losses caused by the failure of a zone, and convicts the request when two losses are
     * older than one second.
     */
    private void evaluate(Fingerprint request, Suspect suspect, long nowNanos) {
        if (suspect.isConvicted()) {
            return;
        }
        suspect.mLosses.removeIf(loss -> mZones.isZoneFailure(zoneOf(loss.id()), loss.atNanos()));
        int counted = 0;
        for (Loss loss : suspect.mLosses) {
            if (nowNanos - loss.atNanos() >= ZoneLosses.WINDOW_NANOS) {
                counted++;
            }
        }
        if (counted >= CONVICTING_LOSSES) {
            suspect.mConvictedAt = nowNanos;
            recordChange(request, suspect, nowNanos);
        }
    }

    private String zoneOf(long loss) {
        return mZoneOfEngine.getOrDefault((int) (loss >> ENGINE_SHIFT), "");
    }

    private void recordChange(Fingerprint request, Suspect suspect, long atNanos) {
        suspect.mChangedAt = atNanos;
        mChanged.put(request, suspect);
    }

    private boolean isExpired(Suspect suspect, long nowNanos) {
        if (suspect.mConvictedAt != null) {
            return nowNanos - suspect.mConvictedAt > mOptions.convictionLifetime().toNanos();
        }
        return nowNanos - suspect.mChangedAt > mOptions.suspectLifetime().toNanos();
    }

    private void enforceBound() {
        Iterator<Suspect> oldest = mSuspects.values().iterator();
        while (mSuspects.size() > mOptions.suspectEntries() && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    private static int engineHash(String engine) {
        return (int) Rendezvous.hash(engine);
    }

    /** Verdict on a request. */
    public enum Verdict {
        /** No losses are known. */
        UNKNOWN,
        /** One loss; it must not share an engine with another suspect. */
        SUSPECT,
        /** Two losses, one of them still pending; it waits. */
        PENDING,
        /** It is not run again. */
        CONVICTED
    }

    private record Loss(long id, long atNanos) {}

    /** State of one request. */
    private static final class Suspect {
        final List<Loss> mLosses = new ArrayList<>(CONVICTING_LOSSES);
        boolean mCleared;
        long mChangedAt;
        @Nullable Long mConvictedAt;

        boolean isConvicted() {
            return mConvictedAt != null;
        }
    }
}
