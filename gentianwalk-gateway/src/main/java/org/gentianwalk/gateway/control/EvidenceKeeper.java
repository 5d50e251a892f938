package org.gentianwalk.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.gentianwalk.core.dispatch.EvidenceAware;
import org.gentianwalk.core.dispatch.WorkScheduler;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.suspect.SuspectEntry;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowStore;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.proto.KeptEvidence;
import org.gentianwalk.proto.ServiceEvidence;
import org.gentianwalk.server.control.SuspectCodec;
import org.gentianwalk.server.guard.FailureGuard;
import org.jspecify.annotations.Nullable;

/**
 * Keeps evidence on requests that crash upstreams in the shared store, and restores it at the start
 * of the instance. Confined to the control thread.
 *
 * <p>Each instance writes one row, which holds what it has observed itself. Writers thus do not
 * compete, and a loss that several instances know is written once. Entries expire by their age, so
 * a row that is not written again has no effect after that.
 */
final class EvidenceKeeper {
    /** Table with one row for each instance that has kept evidence. */
    static final String TABLE = "gentianwalk-evidence";

    /** Interval at which the schedulers are asked for changes. */
    private static final long CHECK_NANOS = Duration.ofMillis(500).toNanos();

    /** Minimum interval between two writes; the store bills each of them. */
    private static final long WRITE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Longest random delay of a further write, so that instances do not write together. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(1);

    /** Maximum size of the entries of a row; the store accepts rows of 64 KiB. */
    private static final int MAX_ROW_BYTES = 48 << 10;

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration READ_RETRY = Duration.ofSeconds(1);

    /** Longest time for which the instance does not serve since the evidence is being read. */
    private static final Duration MAX_WAIT = Duration.ofMillis(4_500);

    /** Maximum number of rows that are read; the fleet is designed for 350 instances. */
    static final int MAX_ROWS = 4_096;

    /** Maximum size of the rows that are read, bytes; 350 rows of the maximum size are smaller. */
    static final int MAX_BYTES = 24 << 20;

    /** Age above which evidence is not restored; it is longer than any evidence is valid. */
    private static final long MAX_AGE_MILLIS = Duration.ofHours(2).toMillis();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String mInstance;
    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final LongSupplier mUnixMillis;
    private final Map<String, WorkScheduler> mSchedulers;
    private final GatewayLog mLog;
    private final FailureGuard mGuard;
    private final List<Kept> mRestored = new ArrayList<>();
    private final Map<String, Kept> mLatest = new HashMap<>();
    private Set<Mark> mWritten = Set.of();
    private boolean mAsked;
    private boolean mRead;
    private boolean mWriting;

    /** Whether the store may lack what was written, or hold what was removed. */
    private boolean mOutdated;

    private long mCheckedAt;
    private @Nullable Long mWrittenAt;

    /**
     * Creates a keeper that has not read the store.
     *
     * @param instance name of this instance, which is the same after a restart
     * @param store the shared store
     * @param control the control thread
     * @param ticker monotonic clock
     * @param unixMillis time of day, Unix milliseconds; ages across a restart are relative to it
     * @param schedulers the schedulers by service, as they are created
     * @param log logs what is restored
     * @param guard runs the parts that may fail by themselves
     */
    EvidenceKeeper(
            String instance,
            RowStore store,
            ScheduledExecutorService control,
            Ticker ticker,
            LongSupplier unixMillis,
            Map<String, WorkScheduler> schedulers,
            GatewayLog log,
            FailureGuard guard) {
        mInstance = instance;
        mStore = store;
        mControl = control;
        mTicker = ticker;
        mUnixMillis = unixMillis;
        mSchedulers = schedulers;
        mLog = log;
        mGuard = guard;
    }

    /**
     * Evidence read from the store.
     *
     * @param service the service
     * @param entries the entries, as of the time at which they were read
     * @param own whether this instance had kept them
     * @param readNanos time at which they were read
     */
    private record Kept(String service, List<SuspectEntry> entries, boolean own, long readNanos) {}

    /** What makes a row out of date; ages do not. */
    private record Mark(String service, Fingerprint fingerprint, Set<Long> losses) {}

    /**
     * Reads the evidence, and goes on to try in the background if that fails.
     *
     * @param attempted called once, after the first attempt or {@link #MAX_WAIT}
     */
    void read(Runnable attempted) {
        Runnable endWait = endWait(attempted);
        mControl.schedule(
                mGuard.guarded("evidence", endWait), MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        List<Row> rows = new ArrayList<>();
        ReadListener listener =
                success -> {
                    // The configuration is held back until the call, whatever fails here.
                    if (success) {
                        mGuard.run("evidence", () -> restore(rows));
                    } else {
                        mControl.schedule(
                                mGuard.guarded("evidence", () -> read(() -> {})),
                                READ_RETRY.toMillis(),
                                TimeUnit.MILLISECONDS);
                    }
                    endWait.run();
                };
        readFrom("", rows, listener);
    }

    /** Returns a task that ends the wait for the first attempt; further runs have no effect. */
    private Runnable endWait(Runnable attempted) {
        boolean[] ended = {false};
        return () -> {
            if (!ended[0]) {
                ended[0] = true;
                mAsked = true;
                attempted.run();
            }
        };
    }

    /** Receives the result of a read. */
    private interface ReadListener {
        void completed(boolean success);
    }

    private void readFrom(String key, List<Row> rows, ReadListener listener) {
        if (!mGuard.run("evidence", () -> readPage(key, rows, listener))) {
            listener.completed(false);
        }
    }

    private void readPage(String key, List<Row> rows, ReadListener listener) {
        mStore.read(TABLE, key, STORE_TIMEOUT)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (failure != null || !(result instanceof Result.Rows page)) {
                                listener.completed(false);
                                return;
                            }
                            rows.addAll(page.rows());
                            if (!isWithinBounds(key, page.rows(), rows)) {
                                mLog.dependencyLost("table " + TABLE, "its pages have no end");
                                listener.completed(false);
                            } else if (page.more() && !page.rows().isEmpty()) {
                                readFrom(nextKey(page.rows()), rows, listener);
                            } else {
                                listener.completed(true);
                            }
                        },
                        mControl);
    }

    /** Returns the first key that may follow a page. */
    private static String nextKey(List<Row> page) {
        return page.getLast().key() + "\0";
    }

    /** Returns whether a page does not repeat the previous one, and all rows are within bounds. */
    private static boolean isWithinBounds(String fromKey, List<Row> page, List<Row> all) {
        long bytes = 0;
        for (Row row : all) {
            bytes += row.key().length() + row.value().length;
        }
        boolean repeated = !page.isEmpty() && nextKey(page).equals(fromKey);
        return !repeated && all.size() <= MAX_ROWS && bytes <= MAX_BYTES;
    }

    /**
     * Returns whether the store has been asked, with or without success. Before that, requests may
     * be placed that are known to crash upstreams.
     */
    boolean hasAsked() {
        return mAsked;
    }

    /** Restores the evidence of a service in a scheduler that was created after the read. */
    void restore(String service, WorkScheduler scheduler) {
        for (Kept kept : mRestored) {
            if (kept.service().equals(service)) {
                restore(kept, scheduler);
            }
        }
    }

    private void restore(List<Row> rows) {
        int[] suspects = {0};
        Set<Mark> written = new HashSet<>();
        for (Row row : rows) {
            // One row, which another instance has written, must not keep the others out.
            mGuard.run("row of evidence", () -> suspects[0] += restore(row, written));
        }
        mWritten = written;
        mRead = true;
        if (suspects[0] > 0) {
            mLog.evidenceRestored(rows.size(), suspects[0]);
        }
    }

    private int restore(Row row, Set<Mark> written) {
        boolean own = row.key().equals(mInstance);
        int suspects = 0;
        KeptEvidence evidence = parse(row);
        for (ServiceEvidence service : evidence.getServicesList()) {
            List<SuspectEntry> entries = aged(service, evidence.getWrittenAtMs());
            Kept kept = new Kept(service.getService(), entries, own, mTicker.nanos());
            mRestored.add(kept);
            WorkScheduler scheduler = mSchedulers.get(kept.service());
            if (scheduler != null) {
                restore(kept, scheduler);
            }
            if (own) {
                addMarks(kept.service(), entries, written);
            }
            suspects += entries.size();
        }
        return suspects;
    }

    private void restore(Kept kept, WorkScheduler scheduler) {
        long now = mTicker.nanos();
        int millis = (int) ((now - kept.readNanos()) / NANOS_PER_MILLI);
        if (scheduler instanceof EvidenceAware aware) {
            List<SuspectEntry> entries =
                    kept.entries().stream().map(entry -> entry.agedBy(millis)).toList();
            aware.restoreEvidence(entries, kept.own(), now);
        }
    }

    private KeptEvidence parse(Row row) {
        try {
            return KeptEvidence.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            mLog.rowIgnored(row.key(), String.valueOf(e.getMessage()));
            return KeptEvidence.getDefaultInstance();
        }
    }

    /** Returns the entries of a service as of now; the time of day may have been set back. */
    private List<SuspectEntry> aged(ServiceEvidence service, long writtenAtMillis) {
        long age = mUnixMillis.getAsLong() - writtenAtMillis;
        int bounded = (int) Math.max(0, Math.min(age, MAX_AGE_MILLIS));
        return service.getSuspectsList().stream()
                .map(SuspectCodec::decode)
                .filter(entry -> entry.ageMs() <= MAX_AGE_MILLIS)
                .map(entry -> entry.agedBy(bounded))
                .toList();
    }

    /**
     * Writes the evidence again after a random delay, since the store came back from a copy that
     * may lack it; removes it if there is none any more. An instance that never had a row writes
     * none.
     */
    void writeAgain() {
        if (mWrittenAt == null && mWritten.isEmpty()) {
            return;
        }
        long delay = ThreadLocalRandom.current().nextLong(MAX_DELAY.toNanos());
        mControl.schedule(
                mGuard.guarded("evidence", () -> mOutdated = true), delay, TimeUnit.NANOSECONDS);
    }

    /** Writes the evidence if it has changed. Must be called periodically. */
    void advance() {
        long now = mTicker.nanos();
        if (!mRead || mWriting || now - mCheckedAt < CHECK_NANOS) {
            return;
        }
        mCheckedAt = now;
        Map<String, List<SuspectEntry>> evidence = new HashMap<>();
        Set<Mark> marks = new HashSet<>();
        mSchedulers.forEach(
                (service, scheduler) -> {
                    if (scheduler instanceof EvidenceAware aware) {
                        mGuard.run("evidence", () -> observe(service, aware, now));
                        List<SuspectEntry> entries = latest(service, now);
                        evidence.put(service, entries);
                        addMarks(service, entries, marks);
                    }
                });
        boolean early = mWrittenAt != null && now - mWrittenAt < WRITE_NANOS;
        if (marks.equals(mWritten) && !mOutdated || early) {
            return;
        }
        mWrittenAt = now;
        byte[] row = marks.isEmpty() ? null : encode(evidence);
        boolean again = mOutdated;
        mOutdated = false;
        CompletionStage<Result> write = mStore.write(TABLE, mInstance, row, STORE_TIMEOUT);
        // Not before the call, since no evidence would be written any more after a failure of it.
        mWriting = true;
        write.whenCompleteAsync(
                (result, failure) -> {
                    mWriting = false;
                    if (failure == null && result instanceof Result.Rows) {
                        mWritten = marks;
                    } else {
                        mOutdated |= again;
                    }
                },
                mControl);
    }

    /** Asks a scheduler for its evidence; after a failure the previous one stays valid. */
    private void observe(String service, EvidenceAware scheduler, long now) {
        List<SuspectEntry> entries = scheduler.evidenceToKeep(now);
        mLatest.put(service, new Kept(service, entries, true, now));
    }

    private List<SuspectEntry> latest(String service, long now) {
        Kept kept = mLatest.get(service);
        if (kept == null) {
            return List.of();
        }
        int millis = (int) ((now - kept.readNanos()) / NANOS_PER_MILLI);
        return kept.entries().stream().map(entry -> entry.agedBy(millis)).toList();
    }

    private byte[] encode(Map<String, List<SuspectEntry>> evidence) {
        KeptEvidence.Builder row =
                KeptEvidence.newBuilder().setWrittenAtMs(mUnixMillis.getAsLong());
        int bytes = 0;
        for (Map.Entry<String, List<SuspectEntry>> service : evidence.entrySet()) {
            ServiceEvidence.Builder message =
                    ServiceEvidence.newBuilder().setService(service.getKey());
            for (SuspectEntry entry : service.getValue()) {
                var suspect = SuspectCodec.encode(entry);
                bytes += suspect.getSerializedSize();
                if (bytes <= MAX_ROW_BYTES) {
                    message.addSuspects(suspect);
                }
            }
            row.addServices(message);
        }
        return row.build().toByteArray();
    }

    private static void addMarks(String service, List<SuspectEntry> entries, Set<Mark> marks) {
        for (SuspectEntry entry : entries) {
            Set<Long> losses = new HashSet<>();
            entry.losses().forEach(loss -> losses.add(loss.id()));
            marks.add(new Mark(service, entry.fingerprint(), losses));
        }
    }
}
