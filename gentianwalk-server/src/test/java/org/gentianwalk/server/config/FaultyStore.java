package org.gentianwalk.server.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.TableService;
import org.gentianwalk.core.platform.WriteResult;

/** In-memory table and object store with outages, lost responses and late writes. */
final class FaultyStore {
    final List<byte[]> mHeadHistory = new ArrayList<>();
    final Map<String, byte[]> mObjects = new HashMap<>();
    boolean mDown;
    double mFaultRate;
    int mLostResponses;

    /** Runs before a write, to simulate a concurrent change by another operator. */
    Runnable mBeforeWrite = () -> {};

    private final Random mRandom;
    private final Map<String, Row> mRows = new HashMap<>();
    private final List<Runnable> mDelayedWrites = new ArrayList<>();

    FaultyStore(long seed) {
        mRandom = new Random(seed);
    }

    /** Applies the delayed writes. */
    void deliverLateWrites() {
        List<Runnable> late = List.copyOf(mDelayedWrites);
        mDelayedWrites.clear();
        late.forEach(Runnable::run);
    }

    private boolean nextFails() {
        return mRandom.nextDouble() < mFaultRate;
    }

    private WriteResult write(String key, long expected, byte[] value) {
        Row row = mRows.get(key);
        long current = row == null ? Row.ABSENT : row.version();
        if (current != expected) {
            return new WriteResult.Conflict(row);
        }
        mRows.put(key, new Row(key, current + 1, value));
        mHeadHistory.add(value);
        return new WriteResult.Written(current + 1);
    }

    private WriteResult faultyWrite(String key, long expected, byte[] value) {
        mBeforeWrite.run();
        if (!nextFails()) {
            return write(key, expected, value);
        }
        mLostResponses++;
        switch (mRandom.nextInt(4)) {
            case 0 -> {
                mLostResponses--;
                return new WriteResult.NotSent("connect");
            }
            case 1 -> write(key, expected, value);
            case 2 -> mDelayedWrites.add(() -> write(key, expected, value));
            default -> {}
        }
        return new WriteResult.Unknown("response lost");
    }

    /** Access of one instance to the store, which can be disconnected. */
    final class Access {
        boolean mDisconnected;

        private boolean isUnreachable() {
            return mDown || mDisconnected;
        }

        TableService table() {
            return new TableService() {
                @Override
                public ReadResult read(String key) {
                    if (isUnreachable() || nextFails()) {
                        return new ReadResult.Unavailable("no answer");
                    }
                    Row row = mRows.get(key);
                    return row == null ? new ReadResult.Missing() : new ReadResult.Found(row);
                }

                @Override
                public WriteResult write(String key, long expected, byte[] value) {
                    return isUnreachable()
                            ? new WriteResult.NotSent("connect")
                            : faultyWrite(key, expected, value);
                }

                @Override
                public WriteResult delete(String key, long expected) {
                    throw new UnsupportedOperationException();
                }

                @Override
                public List<Row> list(String prefix, String after, int limit) {
                    throw new UnsupportedOperationException();
                }
            };
        }

        ObjectStore objects() {
            return new ObjectStore() {
                @Override
                public void put(String key, byte[] content) throws PlatformException {
                    requireReachable();
                    mObjects.put(key, content);
                    requireReachable();
                }

                @Override
                public Optional<byte[]> read(String key) throws PlatformException {
                    requireReachable();
                    return Optional.ofNullable(mObjects.get(key));
                }

                @Override
                public void delete(String key) throws PlatformException {
                    requireReachable();
                    mObjects.remove(key);
                }

                private void requireReachable() throws PlatformException {
                    if (isUnreachable() || nextFails()) {
                        throw new PlatformException("no answer");
                    }
                }
            };
        }
    }
}
