package org.gentianwalk.standin.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TransactionalTable;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.core.time.Ticker;

/**
 * The table service in memory with faults, for tests on a virtual clock. Late writes take effect as
 * soon as the clock has reached their time and the table is used again. A slow operation beyond the
 * client's timeout takes effect, but its answer is lost.
 */
public final class FaultyTable implements TransactionalTable {
    private static final String CAUSE = "no answer from the table service";

    private record LateWrite(long atNanos, long sequence, Runnable effect) {}

    private final TransactionalTable mTable;
    private final FaultHook mFaults;
    private final Ticker mTicker;
    private final Duration mTimeout;
    private final PriorityQueue<LateWrite> mLate =
            new PriorityQueue<>(
                    Comparator.comparingLong(LateWrite::atNanos)
                            .thenComparingLong(LateWrite::sequence));
    private long mSequence;
    private long mReads;
    private long mWrites;

    /**
     * Wraps a table.
     *
     * @param table the table that takes the writes
     * @param faults chooses the fault of each operation
     * @param ticker the virtual clock
     * @param timeout the client's timeout
     */
    public FaultyTable(
            TransactionalTable table, FaultHook faults, Ticker ticker, Duration timeout) {
        mTable = table;
        mFaults = faults;
        mTicker = ticker;
        mTimeout = timeout;
    }

    /**
     * Returns the number of reads and lists asked for.
     *
     * @return reads since the start
     */
    public synchronized long reads() {
        return mReads;
    }

    /**
     * Returns the number of writes, deletes and transactions asked for.
     *
     * @return writes since the start
     */
    public synchronized long writes() {
        return mWrites;
    }

    @Override
    public synchronized ReadResult read(String key) {
        mReads++;
        if (isAnswered(Operation.READ, key)) {
            return mTable.read(key);
        }
        return new ReadResult.Unavailable(CAUSE);
    }

    @Override
    public synchronized List<Row> list(String prefix, String after, int limit)
            throws PlatformException {
        mReads++;
        if (isAnswered(Operation.LIST, prefix)) {
            return new ArrayList<>(mTable.list(prefix, after, limit));
        }
        throw new PlatformException(CAUSE);
    }

    @Override
    public synchronized WriteResult write(String key, long expected, byte[] value) {
        return change(Operation.WRITE, key, () -> mTable.write(key, expected, value));
    }

    @Override
    public synchronized WriteResult delete(String key, long expected) {
        return change(Operation.DELETE, key, () -> mTable.delete(key, expected));
    }

    @Override
    public synchronized WriteResult transact(List<Condition> conditions, List<Change> changes) {
        String key = conditions.isEmpty() ? "" : conditions.getFirst().key();
        return change(Operation.TRANSACTION, key, () -> mTable.transact(conditions, changes));
    }

    /** Lets all late writes take effect whose time has come. */
    public synchronized void applyLateWrites() {
        while (!mLate.isEmpty() && mLate.element().atNanos() <= mTicker.nanos()) {
            mLate.remove().effect().run();
        }
    }

    private boolean isAnswered(Operation operation, String key) {
        applyLateWrites();
        return switch (mFaults.next(operation, key)) {
            case Fault.None none -> true;
            case Fault.Slow slow -> slow.delay().compareTo(mTimeout) <= 0;
            default -> false;
        };
    }

    private WriteResult change(Operation operation, String key, Supplier<WriteResult> effect) {
        mWrites++;
        applyLateWrites();
        switch (mFaults.next(operation, key)) {
            case Fault.None none -> {
                return effect.get();
            }
            case Fault.Refused refused -> {
                return new WriteResult.NotSent("connection refused");
            }
            case Fault.Slow slow -> {
                WriteResult result = effect.get();
                return slow.delay().compareTo(mTimeout) <= 0
                        ? result
                        : new WriteResult.Unknown(CAUSE);
            }
            case Fault.ResponseLost lost -> effect.get();
            case Fault.Late late -> {
                long at = mTicker.nanos() + late.delay().toNanos();
                mLate.add(new LateWrite(at, mSequence++, effect::get));
            }
            case Fault.Down down -> {}
        }
        return new WriteResult.Unknown(CAUSE);
    }
}
