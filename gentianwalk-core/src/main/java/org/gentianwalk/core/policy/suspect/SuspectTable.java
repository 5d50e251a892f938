package org.gentianwalk.core.policy.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.routing.Rendezvous;
import org.jspecify.annotations.Nullable;

/**
 * Tracks what was running on lost engines, to stop what crashes the engines: single requests, and
 * parts of prompts that many requests share. The state of instances can be merged in any order.
 *
 * <p>A loss is pending for one second, in which a failure of the whole zone or a success elsewhere
 * would show, and then counts. Two counted losses convict a request, which is then not run again.
 *
 * <p>A part is convicted by several separate losses under at least two requests without a success
 * of any request with the part in between. Requests with a crashing part usually share other parts
 * as well. A part all of whose losses are also losses of another part therefore only counts against
 * requests that have both.
 */
public final class SuspectTable {
    /** Number of losses that convict a request. */
    public static final int CONVICTING_LOSSES = 2;

    /** Number of separate losses that convict a part of a prompt. */
    static final int CONVICTING_PART_LOSSES = 3;

    /**
     * Number of separate losses that convict the content of plain calls. A call is short, so that
     * hardly ever another call than the crashing one loses two upstreams.
     */
    public static final int CONVICTING_CONTENT_LOSSES = 2;

    /** Number of requests whose losses convict a part. */
    static final int CONVICTING_REQUESTS = 2;

    /** Losses of a part within this time are one event, such as the failure of a zone. */
    static final long EVENT_NANOS = 500_000_000L;

    /**
     * Time for which a loss must not have been explained, by output of the request or a failure of
     * the zone, before it is worth keeping beyond the life of this instance. Most losses are
     * explained within the time of a prefill.
     */
    private static final long KEPT_AFTER_NANOS = 3_000_000_000L;

    /** Minimum interval between two reports of a success after a loss. */
    private static final long SUCCESS_REPORT_NANOS = 500_000_000L;

    /** Successes remembered, for losses that other instances report late. */
    private static final int MAX_SUCCESSES = 4_096;

    /** Engine processes whose zone is remembered. */
    private static final int MAX_ENGINES = 65_536;

    /** Time after which a loss that nothing has settled is no longer held against a request. */
    private static final long UNSETTLED_NANOS = 30_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int INT_BITS = 32;

    private final PolicyOptions.Retry mOptions;
    private final int mConvictingPartLosses;
    private final ZoneLosses mZones = new ZoneLosses();
    private final LinkedHashMap<Integer, String> mZoneOfEngine = new LinkedHashMap<>();
    private final LinkedHashMap<Fingerprint, Suspect> mSuspects = new LinkedHashMap<>();
    private final LinkedHashMap<Fingerprint, Suspect> mChanged = new LinkedHashMap<>();
    private final LinkedHashMap<Fingerprint, Long> mSuccesses = new LinkedHashMap<>();
    private final SignsOfLife mSigns = new SignsOfLife();
    private int mSequence;

    /**
     * Creates an empty table.
     *
     * @param options bounds and lifetimes
     */
    public SuspectTable(PolicyOptions.Retry options) {
        this(options, CONVICTING_PART_LOSSES);
    }

    /**
     * Creates an empty table.
     *
     * @param options bounds and lifetimes
     * @param convictingPartLosses number of separate losses that convict what requests share
     */
    public SuspectTable(PolicyOptions.Retry options, int convictingPartLosses) {
        mOptions = options;
        mConvictingPartLosses = convictingPartLosses;
    }

    /**
     * Registers an engine's zone.
     *
     * @param engine the engine
     * @param zone its availability zone
     */
    public void registerEngine(String engine, String zone) {
        mZoneOfEngine.put(engineHash(engine), zone);
        if (mZoneOfEngine.size() > MAX_ENGINES) {
            mZoneOfEngine.pollFirstEntry();
        }
    }

    /**
     * Records the loss of an engine that was running a request.
     *
     * @param request the request
     * @param engine the engine
     * @param nowNanos time of the loss
     */
    public void recordLoss(Fingerprint request, String engine, long nowNanos) {
        recordLoss(request, List.of(), engine, nowNanos, nowNanos);
    }

    /**
     * Records the loss of an engine that was running a request whose prompt has parts.
     *
     * @param request the request
     * @param parts the parts of its prompt that other requests may share
     * @param engine the engine
     * @param atNanos time of the loss
     * @param nowNanos current time, from which on the loss is reported; a loss may be confirmed
     *     seconds after it occurred
     */
    public void recordLoss(
            Fingerprint request,
            Collection<Fingerprint> parts,
            String engine,
            long atNanos,
            long nowNanos) {
        int hash = engineHash(engine);
        long id = Suspect.lossId(hash, ++mSequence, false);
        Suspect.Loss loss = new Suspect.Loss(id, requestHash(request), atNanos);
        addLoss(request, false, loss).recordObservation(nowNanos);
        for (Fingerprint part : parts) {
            addLoss(part, true, loss).recordObservation(nowNanos);
        }
    }

    /**
     * Records that an engine may have been lost under a request. That is no evidence against the
     * request, but the engine does not show a failure of its zone to it either.
     *
     * @param request the request
     * @param engine the engine
     * @param atNanos time of the possible loss
     */
    public void recordPossibleLoss(Fingerprint request, String engine, long atNanos) {
        mSuspects
                .computeIfAbsent(request, key -> new Suspect(key, false, atNanos))
                .addPossiblyLost(engineHash(engine));
        enforceBound();
    }

    /**
     * Records the loss of an engine that was running a request, with what proves the loss.
     *
     * @param request the request
     * @param engine the engine
     * @param atNanos time of the loss
     * @param nowNanos current time, from which on the loss is reported
     * @param proof what proves the loss
     */
    public void recordLoss(
            Fingerprint request, String engine, long atNanos, long nowNanos, Proof proof) {
        int hash = engineHash(engine);
        long id = Suspect.lossId(hash, ++mSequence, proof == Proof.UNRESPONSIVE);
        Suspect.Loss loss = new Suspect.Loss(id, requestHash(request), atNanos);
        addLoss(request, false, loss).recordObservation(nowNanos);
    }

    /**
     * Records that a request has left an engine that may be lost or only silent. The loss is no
     * evidence before {@link #recordLoss(Fingerprint, String, long, long, Proof)} confirms it, but
     * until then a request with another loss waits, since a further attempt could end a third
     * engine.
     *
     * @param request the request
     * @param engine the engine
     * @param atNanos the time at which the request left it
     */
    public void recordUnsettledLoss(Fingerprint request, String engine, long atNanos) {
        long id = Suspect.lossId(engineHash(engine), ++mSequence, true);
        Suspect suspect =
                mSuspects.computeIfAbsent(request, key -> new Suspect(key, false, atNanos));
        suspect.addUnsettled(new Suspect.Loss(id, requestHash(request), atNanos));
        if (!suspect.losses().isEmpty() || suspect.unsettled().size() > 1) {
            mChanged.put(request, suspect);
        }
        enforceBound();
    }

    /**
     * Returns whether a request has a loss that nothing has refuted, confirmed or not.
     *
     * @param request the request
     * @param nowNanos current time
     * @return true when a further loss would be its second one
     */
    public boolean hasLoss(Fingerprint request, long nowNanos) {
        Suspect suspect = mSuspects.get(request);
        if (suspect == null || suspect.isPart() || isExpired(suspect, nowNanos)) {
            return false;
        }
        evaluate(suspect, nowNanos);
        return !suspect.losses().isEmpty() || !suspect.unsettled().isEmpty();
    }

    /**
     * Records a sign of life of an engine. It refutes the engine's earlier losses that only its
     * silence proved, also those that other instances report later.
     *
     * @param engine the engine
     * @param atNanos time of the sign
     */
    public void recordSignOfLife(String engine, long atNanos) {
        mSigns.record(engineHash(engine), atNanos);
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
     * Clears a request that succeeded, unless it is convicted, or a part of its prompt.
     *
     * @param fingerprint the request or the part
     * @param nowNanos current time
     * @return whether losses were dropped
     */
    public boolean clear(Fingerprint fingerprint, long nowNanos) {
        mSuccesses.remove(fingerprint);
        mSuccesses.put(fingerprint, nowNanos);
        if (mSuccesses.size() > MAX_SUCCESSES) {
            mSuccesses.pollFirstEntry();
        }
        Suspect suspect = mSuspects.get(fingerprint);
        if (suspect == null || suspect.losses().isEmpty() && suspect.unsettled().isEmpty()) {
            return false;
        }
        clear(suspect, nowNanos);
        suspect.recordObservation(nowNanos);
        return true;
    }

    private void clear(Suspect suspect, long atNanos) {
        boolean revocable = suspect.isPart() || !suspect.isConvicted();
        if (revocable && suspect.clear(atNanos)) {
            mChanged.put(suspect.fingerprint(), suspect);
        }
    }

    /**
     * Returns the verdict on a request without prompt parts.
     *
     * @param request the request
     * @param nowNanos current time
     * @return its verdict
     */
    public Verdict verdict(Fingerprint request, long nowNanos) {
        return verdict(request, List.of(), nowNanos);
    }

    /**
     * Returns the verdict on a request.
     *
     * @param request the request
     * @param parts the parts of its prompt that other requests may share
     * @param nowNanos current time
     * @return the most severe verdict on the request itself and on its parts
     */
    public Verdict verdict(Fingerprint request, Collection<Fingerprint> parts, long nowNanos) {
        if (mSuspects.isEmpty()) {
            return Verdict.UNKNOWN;
        }
        Verdict verdict = requestVerdict(request, nowNanos);
        for (Fingerprint part : parts) {
            Verdict partVerdict = partVerdict(part, parts, nowNanos);
            if (partVerdict.compareTo(verdict) > 0) {
                verdict = partVerdict;
            }
        }
        return verdict;
    }

    private Verdict requestVerdict(Fingerprint request, long nowNanos) {
        Suspect suspect = mSuspects.get(request);
        if (suspect == null || suspect.isPart() || isExpired(suspect, nowNanos)) {
            return Verdict.UNKNOWN;
        }
        evaluate(suspect, nowNanos);
        if (suspect.isConvicted()) {
            return Verdict.CONVICTED;
        }
        if (suspect.mustWait(CONVICTING_LOSSES, nowNanos)) {
            return Verdict.PENDING;
        }
        return suspect.losses().isEmpty() ? Verdict.UNKNOWN : Verdict.SUSPECT;
    }

    private Verdict partVerdict(Fingerprint part, Collection<Fingerprint> parts, long nowNanos) {
        Suspect suspect = mSuspects.get(part);
        if (suspect == null
                || !suspect.isPart()
                || suspect.countRequests() < CONVICTING_REQUESTS
                || isExpired(suspect, nowNanos)
                || isExplainedByAbsentPart(suspect, parts)) {
            return Verdict.UNKNOWN;
        }
        if (suspect.countEvents(EVENT_NANOS, nowNanos) < mConvictingPartLosses) {
            return Verdict.SUSPECT;
        }
        long settled = nowNanos - ZoneLosses.WINDOW_NANOS;
        if (!suspect.isConvicted()
                && suspect.countEvents(EVENT_NANOS, settled) < mConvictingPartLosses) {
            return Verdict.PENDING;
        }
        if (!suspect.isConvicted()) {
            suspect.convict();
            mChanged.put(part, suspect);
        }
        return Verdict.CONVICTED;
    }

    /** Returns whether a part that a request does not have was present at all losses of a part. */
    private boolean isExplainedByAbsentPart(Suspect part, Collection<Fingerprint> present) {
        for (Suspect other : mSuspects.values()) {
            if (other.isPart()
                    && !present.contains(other.fingerprint())
                    && part.isExplainedBy(other)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the time of the last change of a request's state.
     *
     * @param request the request
     * @return monotonic nanoseconds, or null when it is unknown
     */
    public @Nullable Long changedAt(Fingerprint request) {
        Suspect suspect = mSuspects.get(request);
        return suspect == null ? null : suspect.changedAt();
    }

    /**
     * Merges entries of another instance.
     *
     * @param entries its entries
     * @param nowNanos time of receipt
     * @return whether other instances should learn what this one knows about the entries
     */
    public boolean merge(List<SuspectEntry> entries, long nowNanos) {
        boolean known = false;
        for (SuspectEntry entry : entries) {
            known |= reportSuccess(entry, nowNanos);
            merge(entry, nowNanos);
        }
        return known;
    }

    /**
     * Reports a success of this instance after losses that others report as if there was none.
     *
     * @return whether the success has to be reported
     */
    private boolean reportSuccess(SuspectEntry entry, long nowNanos) {
        Long success = mSuccesses.get(entry.fingerprint());
        if (success == null || entry.losses().isEmpty()) {
            return false;
        }
        long age = (nowNanos - success) / NANOS_PER_MILLI;
        if (entry.losses().stream().noneMatch(loss -> loss.ageMs() >= age)) {
            return false;
        }
        Suspect suspect =
                mSuspects.computeIfAbsent(
                        entry.fingerprint(), key -> new Suspect(key, entry.part(), success));
        if (suspect.isObservedSince(nowNanos - SUCCESS_REPORT_NANOS)) {
            return false;
        }
        clear(suspect, success);
        suspect.recordObservation(nowNanos);
        enforceBound();
        return true;
    }

    private void merge(SuspectEntry entry, long nowNanos) {
        Suspect known = mSuspects.get(entry.fingerprint());
        if (entry.isCleared() && known != null) {
            clear(known, nowNanos - entry.clearedAgeMs() * NANOS_PER_MILLI);
        }
        for (SuspectEntry.LossEntry loss : entry.losses()) {
            long at = nowNanos - loss.ageMs() * NANOS_PER_MILLI;
            addLoss(
                    entry.fingerprint(),
                    entry.part(),
                    new Suspect.Loss(loss.id(), loss.request(), at));
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
        mChanged.values().forEach(suspect -> changes.add(suspect.toEntry(nowNanos)));
        mChanged.clear();
        return changes;
    }

    /**
     * Returns what this instance has observed lately, and the convictions, which another instance
     * may lack because it was started later.
     *
     * @param maxAgeNanos age up to which observations are included
     * @param maxEntries maximum number of entries; recent observations precede older convictions,
     *     and those with most losses precede others, the latest observation first
     * @param nowNanos current time
     * @return entries to send to other instances
     */
    public List<SuspectEntry> entries(long maxAgeNanos, int maxEntries, long nowNanos) {
        long since = nowNanos - maxAgeNanos;
        List<Suspect> selected = new ArrayList<>();
        for (Suspect suspect : mSuspects.values()) {
            if (suspect.isConvicted() || suspect.isObservedSince(since)) {
                selected.add(suspect);
            }
        }
        selected.sort(
                Comparator.<Suspect, Boolean>comparing(suspect -> !suspect.isObservedSince(since))
                        .thenComparing(suspect -> -suspect.losses().size())
                        .thenComparing(suspect -> nowNanos - suspect.reportedFrom()));
        return selected.stream()
                .limit(maxEntries)
                .map(suspect -> suspect.toEntry(nowNanos))
                .toList();
    }

    /**
     * Returns the evidence that should outlive the instances: what this instance has observed
     * itself, including what it had observed before its restart. The evidence of other instances is
     * theirs to keep. Losses that belong to the failure of a zone are dropped.
     *
     * @param maxEntries maximum number of entries, newest first
     * @param nowNanos current time
     * @return the entries; usually none
     */
    public List<SuspectEntry> entriesToKeep(int maxEntries, long nowNanos) {
        List<Suspect> selected = new ArrayList<>();
        for (Suspect suspect : mSuspects.values()) {
            boolean settled =
                    suspect.isConvicted() || nowNanos - suspect.changedAt() >= KEPT_AFTER_NANOS;
            if (!settled || !suspect.isObserved()) {
                continue;
            }
            if (!suspect.isConvicted()) {
                Set<Integer> engines = suspect.engines();
                suspect.losses().removeIf(loss -> isZoneFailure(loss, engines));
            }
            if (!suspect.losses().isEmpty()) {
                selected.add(suspect);
            }
        }
        selected.sort((a, b) -> Long.compare(b.changedAt() - a.changedAt(), 0));
        return selected.stream()
                .limit(maxEntries)
                .map(suspect -> suspect.toEntry(nowNanos))
                .toList();
    }

    /**
     * Restores evidence that was kept.
     *
     * @param entries the entries, as of now
     * @param own true for what this instance had observed before its restart
     * @param nowNanos current time
     */
    public void restore(List<SuspectEntry> entries, boolean own, long nowNanos) {
        merge(entries, nowNanos);
        for (SuspectEntry entry : entries) {
            Suspect suspect = mSuspects.get(entry.fingerprint());
            if (own && suspect != null) {
                suspect.recordObservation(nowNanos - entry.ageMs() * NANOS_PER_MILLI);
            }
        }
    }

    /**
     * Removes expired entries.
     *
     * @param nowNanos current time
     */
    public void expire(long nowNanos) {
        mSuspects.values().removeIf(suspect -> suspect.isEmpty() || isExpired(suspect, nowNanos));
    }

    /**
     * Returns the number of entries.
     *
     * @return entries, at most the configured bound
     */
    public int size() {
        return mSuspects.size();
    }

    private Suspect addLoss(Fingerprint fingerprint, boolean part, Suspect.Loss loss) {
        Suspect suspect =
                mSuspects.computeIfAbsent(
                        fingerprint, key -> new Suspect(key, part, loss.atNanos()));
        Long success = mSuccesses.get(fingerprint);
        if (success != null && loss.atNanos() - success <= 0) {
            // The reporting instance has not received the success yet.
            clear(suspect, success);
            return suspect;
        }
        if (!part && suspect.isConvicted() || mSigns.refutes(loss) || !suspect.addLoss(loss)) {
            return suspect;
        }
        mZones.recordLoss(
                mZoneOfEngine.getOrDefault(loss.engine(), ""), loss.engine(), loss.atNanos());
        mChanged.put(fingerprint, suspect);
        enforceBound();
        return suspect;
    }

    /**
     * Drops losses caused by the failure of a zone or refuted by a sign of life, and convicts the
     * request when two losses are final and older than one second.
     */
    private void evaluate(Suspect request, long nowNanos) {
        if (request.isConvicted()) {
            return;
        }
        Set<Integer> engines = request.engines();
        request.losses().removeIf(loss -> isZoneFailure(loss, engines) || mSigns.refutes(loss));
        request.unsettled()
                .removeIf(
                        loss ->
                                isZoneFailure(loss, engines)
                                        || mSigns.refutes(loss)
                                        || nowNanos - loss.atNanos() > UNSETTLED_NANOS);
        int counted = 0;
        for (Suspect.Loss loss : request.losses()) {
            if (!loss.isRevocable() && nowNanos - loss.atNanos() >= ZoneLosses.WINDOW_NANOS) {
                counted++;
            }
        }
        if (counted >= CONVICTING_LOSSES) {
            request.convict();
            mChanged.put(request.fingerprint(), request);
        }
    }

    private boolean isZoneFailure(Suspect.Loss loss, Set<Integer> requestEngines) {
        String zone = mZoneOfEngine.getOrDefault(loss.engine(), "");
        return mZones.isZoneFailure(zone, loss.atNanos(), requestEngines);
    }

    private boolean isExpired(Suspect suspect, long nowNanos) {
        boolean lasting =
                suspect.isConvicted()
                        || suspect.suffices(
                                suspect.isPart() ? mConvictingPartLosses : CONVICTING_LOSSES);
        return nowNanos - suspect.changedAt()
                > (lasting ? mOptions.convictionLifetime() : mOptions.suspectLifetime()).toNanos();
    }

    private void enforceBound() {
        Iterator<Suspect> oldest = mSuspects.values().iterator();
        while (mSuspects.size() > mOptions.suspectEntries() && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    private static int requestHash(Fingerprint request) {
        long hash = request.high() * 31 + request.low();
        return (int) (hash ^ (hash >>> INT_BITS));
    }

    private static int engineHash(String engine) {
        return (int) Rendezvous.hash(engine);
    }

    /** What proves the loss of an engine. */
    public enum Proof {
        /** Its process has ended. */
        PROCESS_ENDED,
        /** It did not respond to a check; a later sign of life refutes the loss. */
        UNRESPONSIVE
    }

    /** Verdict on a request, in the order of severity. */
    public enum Verdict {
        /** No losses are known. */
        UNKNOWN,
        /** Too few losses; it must not share an engine with another suspect. */
        SUSPECT,
        /** Enough losses, one of them still pending; it waits. */
        PENDING,
        /** It is not run again. */
        CONVICTED
    }
}
