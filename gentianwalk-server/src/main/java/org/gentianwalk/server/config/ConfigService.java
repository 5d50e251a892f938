package org.gentianwalk.server.config;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.ConfigLoader;
import org.gentianwalk.core.config.LoadResult;
import org.gentianwalk.core.config.MergedConfig;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigProposal;
import org.gentianwalk.core.config.version.ConfigProposal.Action;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.core.config.version.ConfigState.UpdateResult;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.TableService;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.ConfigHead;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration of an instance and keeps it up to date. {@link #currentRules} and {@link
 * #onPeerVersion} never block; the other methods block on the store or a peer and run on traffic
 * threads. Safe for any thread.
 */
public final class ConfigService implements ConfigAccess {
    /** Initial backoff after a failure of the store; doubled after each further failure. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    private final TableService mTable;
    private final ObjectStore mObjects;
    private final ConfigPeers mPeers;
    private final ConfigListener mListener;
    private final Timing mTiming;
    private final Executor mExecutor;
    private final ReentrantLock mAdoptLock = new ReentrantLock();
    private final ReentrantLock mCheckLock = new ReentrantLock();
    private final ConfigLoader mLoader = new ConfigLoader();
    private final ConfigLoader mChecker = new ConfigLoader();
    private final AtomicBoolean mPulling = new AtomicBoolean();

    private volatile ConfigState mState = ConfigState.NONE;
    private volatile MergedConfig mRules = MergedConfig.builder().build();

    /**
     * Sources of time and randomness, passed in so that tests can control them.
     *
     * @param epochMs wall clock, milliseconds
     * @param nonces random numbers that identify proposals
     * @param pause blocks the thread for a duration
     */
    public record Timing(LongSupplier epochMs, LongSupplier nonces, Pause pause) {}

    /** Blocks the calling thread for a duration. */
    @FunctionalInterface
    public interface Pause {
        /**
         * Blocks the calling thread.
         *
         * @param time the duration
         */
        void await(Duration time);
    }

    /**
     * Creates the service without any configuration.
     *
     * @param table the table service
     * @param objects the object store
     * @param peers access to other instances
     * @param listener receives the decisions
     * @param timing sources of time and randomness
     * @param executor runs pulls and announcements; must not use the control thread
     */
    public ConfigService(
            TableService table,
            ObjectStore objects,
            ConfigPeers peers,
            ConfigListener listener,
            Timing timing,
            Executor executor) {
        mTable = table;
        mObjects = objects;
        mPeers = peers;
        mListener = listener;
        mTiming = timing;
        mExecutor = executor;
    }

    /**
     * Returns the rules in force.
     *
     * @return an immutable snapshot; without teams and upstreams before the first version
     */
    public MergedConfig currentRules() {
        return mRules;
    }

    /**
     * Returns the version to announce to peers.
     *
     * @return the newest version, 0 before the first
     */
    public long version() {
        return mState.version();
    }

    @Override
    public ConfigState state() {
        return mState;
    }

    /**
     * Answers a peer's pull.
     *
     * @param version version that the peer has, 0 for none
     * @return the changed files, or all
     */
    public ConfigContent contentSince(long version) {
        return mState.contentSince(version);
    }

    /**
     * Handles a version that a peer announced. Returns immediately; the executor pulls newer
     * content, one pull at a time. A failed pull is retried at the next announcement.
     *
     * @param peer the peer
     * @param version the announced version
     */
    public void onPeerVersion(String peer, long version) {
        if (version <= mState.version() || !mPulling.compareAndSet(false, true)) {
            return;
        }
        try {
            mExecutor.execute(
                    () -> {
                        try {
                            pull(peer);
                        } finally {
                            mPulling.set(false);
                        }
                    });
        } catch (RuntimeException e) {
            mPulling.set(false);
            throw e;
        }
    }

    /**
     * Reads the store once. Called every second while this instance is one of the pollers, and at
     * startup.
     *
     * @return whether the store answered
     */
    public boolean poll() {
        ReadResult result = readHead();
        if (result instanceof ReadResult.Unavailable unavailable) {
            mListener.pollFailed(unavailable.cause());
            return false;
        }
        return true;
    }

    /** Checks and commits a folder. On return, an accepted folder is in force at this instance. */
    @Override
    public ApplyResult apply(ConfigFolder folder, long base, String author) {
        mCheckLock.lock();
        try {
            if (mChecker.load(folder, 0) instanceof LoadResult.Refused refused) {
                return new ApplyResult.Refused(refused.problems());
            }
        } finally {
            mCheckLock.unlock();
        }
        long nonce = mTiming.nonces().getAsLong();
        ConfigProposal proposal =
                new ConfigProposal(folder, base, author, nonce, mTiming.epochMs().getAsLong());
        Action action = proposal.start();
        while (!(action instanceof Action.Finish)) {
            action = perform(proposal, action);
        }
        Action.Finish finish = (Action.Finish) action;
        if (finish.unusedObject() != null) {
            deleteUnusedObject(finish.unusedObject());
        }
        if (finish.result() instanceof ApplyResult.Accepted accepted) {
            adopt(ConfigState.fullContent(accepted.version(), folder), "operator");
        }
        return finish.result();
    }

    private Action perform(ConfigProposal proposal, Action action) {
        return switch (action) {
            case Action.ReadHead read -> {
                if (read.failures() > 0) {
                    mTiming.pause()
                            .await(INITIAL_BACKOFF.multipliedBy(1L << (read.failures() - 1)));
                }
                ReadResult head = readHead();
                yield proposal.onHead(head, mState);
            }
            case Action.StoreObject store -> {
                @Nullable String cause = null;
                try {
                    mObjects.put(store.key(), store.content());
                } catch (PlatformException e) {
                    cause = String.valueOf(e.getMessage());
                }
                yield proposal.onStored(cause);
            }
            case Action.WriteHead write ->
                    proposal.onWrite(
                            mTable.write(ConfigProposal.HEAD_KEY, write.expected(), write.value()));
            case Action.Finish finish -> finish;
        };
    }

    /** Reads the head row and adopts newer content. */
    private ReadResult readHead() {
        ReadResult result = mTable.read(ConfigProposal.HEAD_KEY);
        if (!(result instanceof ReadResult.Found found)) {
            return result;
        }
        try {
            ConfigHead head = ConfigHead.parseFrom(found.row().value());
            if (head.getVersion() <= mState.version()) {
                return result;
            }
            if (adopt(head.getDelta(), "store") instanceof UpdateResult.Gap) {
                Optional<byte[]> object = mObjects.read(head.getObject());
                if (object.isEmpty()) {
                    // A later commit has replaced the object; the next read finds the new one.
                    return new ReadResult.Unavailable(head.getObject() + " does not exist");
                }
                adopt(ConfigContent.parseFrom(object.get()), "store");
                adopt(head.getDelta(), "store");
            }
        } catch (PlatformException | InvalidProtocolBufferException e) {
            return new ReadResult.Unavailable(String.valueOf(e.getMessage()));
        }
        return result;
    }

    private void pull(String peer) {
        Optional<ConfigContent> content = mPeers.pull(peer, mState.version());
        if (content.isEmpty()) {
            return;
        }
        UpdateResult offer = adopt(content.get(), "peer " + peer);
        if (offer instanceof UpdateResult.Gap || offer instanceof UpdateResult.Corrupt) {
            mPeers.pull(peer, 0).ifPresent(whole -> adopt(whole, "peer " + peer));
        }
    }

    private UpdateResult adopt(ConfigContent content, String source) {
        mAdoptLock.lock();
        try {
            UpdateResult offer = mState.update(content);
            if (offer instanceof UpdateResult.Corrupt corrupt) {
                mListener.corrupt(source, corrupt.reason());
            } else if (offer instanceof UpdateResult.Updated taken) {
                long before = mState.version();
                ConfigState state = taken.state();
                switch (mLoader.loadAccepted(state.folder(), state.version())) {
                    case LoadResult.Loaded loaded -> {
                        mRules = loaded.config();
                        mState = state;
                        mListener.adopted(before, state.version(), source);
                    }
                    case LoadResult.Refused refused -> {
                        mState = state;
                        mListener.unusable(state.version(), refused.problems());
                    }
                }
                mExecutor.execute(() -> mPeers.announce(state.version()));
            }
            return offer;
        } finally {
            mAdoptLock.unlock();
        }
    }

    private void deleteUnusedObject(String object) {
        try {
            mObjects.delete(object);
        } catch (PlatformException ignored) {
            // A leftover object only takes space.
        }
    }
}
