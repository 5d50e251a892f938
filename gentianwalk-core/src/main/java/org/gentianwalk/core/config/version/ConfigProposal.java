package org.gentianwalk.core.config.version;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.ConfigCommit;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.ConfigFile;
import org.gentianwalk.proto.ConfigHead;
import org.jspecify.annotations.Nullable;

/**
 * State machine that commits a change with one conditional write of {@link #HEAD_KEY}. After a lost
 * response it reads the row again: the change was accepted if its nonce is among the recent
 * commits. It performs no I/O; the code that drives it executes each action and reports the result.
 */
public final class ConfigProposal {
    /** Key of the row that holds the accepted version. */
    public static final String HEAD_KEY = "config/head";

    /** Prefix of the keys of the objects that hold snapshots of the whole folder. */
    public static final String OBJECT_PREFIX = "config/";

    /** Maximum distance of two snapshots, versions; bounds the reads from the store at startup. */
    static final int SNAPSHOT_VERSIONS = 32;

    /** Maximum size of the delta in the row, bytes; above it, a snapshot is stored instead. */
    static final int MAX_DELTA_BYTES = 64 * 1024;

    /** Number of commits kept in the row to resolve lost responses. */
    static final int RECENT_COMMITS = 64;

    private static final int MAX_FAILURES = 5;

    private final ConfigFolder mFolder;
    private final long mBaseVersion;
    private final String mAuthor;
    private final long mNonce;
    private final long mEpochMs;

    private @Nullable ConfigHead mNextHead;
    private @Nullable String mReplacedSnapshot;
    private long mRowVersion = Row.ABSENT;
    private boolean mMayHaveWritten;
    private boolean mSnapshotStored;
    private int mFailures;

    /**
     * Creates a proposal.
     *
     * @param folder the proposed files, which have passed the checks
     * @param base version on which the change is based
     * @param author name of the author, stored with the version
     * @param nonce random number that identifies this proposal
     * @param epochMs wall-clock time stored with the version, milliseconds since the epoch
     */
    public ConfigProposal(ConfigFolder folder, long base, String author, long nonce, long epochMs) {
        mFolder = folder;
        mBaseVersion = base;
        mAuthor = author;
        mNonce = nonce;
        mEpochMs = epochMs;
    }

    /** The next action to execute. */
    public sealed interface Action {
        /**
         * Read the head row, update the state to its version, and report the result.
         *
         * @param failures failures so far; determines the backoff before the read
         */
        record ReadHead(int failures) implements Action {}

        /**
         * Store an object.
         *
         * @param key its key
         * @param content its content
         */
        record StoreObject(String key, byte[] content) implements Action {}

        /**
         * Write the head row.
         *
         * @param expected version that the row must have
         * @param value the new value
         */
        record WriteHead(long expected, byte[] value) implements Action {}

        /**
         * End the proposal.
         *
         * @param result the result
         * @param unusedObject key of an object to delete because nothing refers to it, or null
         */
        record Finish(ApplyResult result, @Nullable String unusedObject) implements Action {}
    }

    /**
     * Starts the proposal.
     *
     * @return the first action
     */
    public Action start() {
        return new Action.ReadHead(mFailures);
    }

    /**
     * Reports the result of reading the head row.
     *
     * @param read the result
     * @param state the local state; at least as new as the row if the row was found
     * @return the next action
     */
    public Action onHead(ReadResult read, ConfigState state) {
        return switch (read) {
            case ReadResult.Unavailable unavailable -> retryOrFail(unavailable.cause());
            case ReadResult.Missing ignored -> onMissing(state);
            case ReadResult.Found found -> onFound(found.row(), state);
        };
    }

    /**
     * Reports the result of storing an object.
     *
     * @param cause null if the object was stored, otherwise the cause of the failure
     * @return the next action
     */
    public Action onStored(@Nullable String cause) {
        if (cause != null) {
            return retryOrFail(cause);
        }
        mSnapshotStored = true;
        return writeHead();
    }

    /**
     * Reports the result of writing the head row.
     *
     * @param result the result
     * @return the next action
     */
    public Action onWrite(WriteResult result) {
        return switch (result) {
            case WriteResult.Written ignored -> finishAccepted(mBaseVersion + 1);
            case WriteResult.Conflict ignored -> new Action.ReadHead(mFailures);
            case WriteResult.Unknown unknown -> {
                mMayHaveWritten = true;
                yield retryOrFail(unknown.cause());
            }
            case WriteResult.NotSent notSent -> retryOrFail(notSent.cause());
        };
    }

    private Action onMissing(ConfigState state) {
        if (mBaseVersion != 0 || state.version() != 0) {
            return finish(new ApplyResult.Conflict(state.version(), "", changedFiles(state)));
        }
        mRowVersion = Row.ABSENT;
        return propose(null, state);
    }

    private Action onFound(Row row, ConfigState state) {
        ConfigHead head;
        try {
            head = ConfigHead.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            return retryOrFail("row " + HEAD_KEY + " can't be parsed: " + e.getMessage());
        }
        for (ConfigCommit commit : head.getRecentList()) {
            if (commit.getNonce() == mNonce) {
                return finishAccepted(commit.getVersion());
            }
        }
        if (MessageDigest.isEqual(head.getDigest().toByteArray(), mFolder.digest())) {
            // Applying the same folder again, for example after a lost response, changes nothing.
            return finish(new ApplyResult.Accepted(head.getVersion()));
        }
        if (head.getVersion() == mBaseVersion) {
            if (state.version() != mBaseVersion) {
                return retryOrFail(
                        "the store has version " + mBaseVersion + ", this instance a newer one");
            }
            mRowVersion = row.version();
            return mNextHead == null ? propose(head, state) : writeHead();
        }
        boolean inHistory = head.getVersion() - mBaseVersion <= RECENT_COMMITS;
        if (mMayHaveWritten && !inHistory) {
            return finish(
                    new ApplyResult.Unknown(
                            "too many other changes were accepted in the meantime"));
        }
        // The head is past the base version without this change, so a delayed write of this change
        // can no longer succeed.
        mMayHaveWritten = false;
        return finish(
                new ApplyResult.Conflict(head.getVersion(), head.getAuthor(), changedFiles(state)));
    }

    private List<String> changedFiles(ConfigState state) {
        SortedSet<String> differing = state.folder().changedFiles(mFolder);
        return List.copyOf(state.changedSince(mBaseVersion).orElse(differing));
    }

    private Action propose(@Nullable ConfigHead head, ConfigState state) {
        long version = mBaseVersion + 1;
        ConfigHead.Builder next =
                ConfigHead.newBuilder()
                        .setVersion(version)
                        .setDigest(ByteString.copyFrom(mFolder.digest()))
                        .setAuthor(mAuthor)
                        .setAcceptedEpochMs(mEpochMs);
        if (head != null) {
            int count = head.getRecentCount();
            int first = Math.max(0, count - RECENT_COMMITS + 1);
            next.addAllRecent(head.getRecentList().subList(first, count));
        }
        next.addRecent(ConfigCommit.newBuilder().setVersion(version).setNonce(mNonce));
        if (head != null && version - head.getDelta().getBaseVersion() < SNAPSHOT_VERSIONS) {
            SortedSet<String> names = new TreeSet<>(state.folder().changedFiles(mFolder));
            for (ConfigFile file : head.getDelta().getFilesList()) {
                names.add(file.getName());
            }
            long from = head.getDelta().getBaseVersion();
            ConfigContent delta = ConfigState.contentOf(version, mFolder, from, names);
            if (delta.getSerializedSize() <= MAX_DELTA_BYTES) {
                mNextHead = next.setObject(head.getObject()).setDelta(delta).build();
                return writeHead();
            }
        }
        String object = OBJECT_PREFIX + version + "-" + Long.toHexString(mNonce);
        mReplacedSnapshot = head == null ? null : head.getObject();
        mNextHead =
                next.setObject(object)
                        .setDelta(ConfigState.contentOf(version, mFolder, version, List.of()))
                        .build();
        return storeSnapshot();
    }

    private Action storeSnapshot() {
        long version = mBaseVersion + 1;
        ConfigContent content = ConfigState.fullContent(version, mFolder);
        return new Action.StoreObject(nextHead().getObject(), content.toByteArray());
    }

    private Action writeHead() {
        boolean needsSnapshot = nextHead().getDelta().getBaseVersion() == nextHead().getVersion();
        if (needsSnapshot && !mSnapshotStored) {
            return storeSnapshot();
        }
        return new Action.WriteHead(mRowVersion, nextHead().toByteArray());
    }

    private ConfigHead nextHead() {
        if (mNextHead == null) {
            throw new IllegalStateException("the head was not read");
        }
        return mNextHead;
    }

    private Action retryOrFail(String cause) {
        if (++mFailures < MAX_FAILURES) {
            return new Action.ReadHead(mFailures);
        }
        return finish(
                mMayHaveWritten
                        ? new ApplyResult.Unknown(cause)
                        : new ApplyResult.Unavailable(cause));
    }

    private Action finishAccepted(long version) {
        return new Action.Finish(new ApplyResult.Accepted(version), mReplacedSnapshot);
    }

    private Action finish(ApplyResult result) {
        boolean unused = mSnapshotStored && !(result instanceof ApplyResult.Unknown);
        return new Action.Finish(result, unused ? nextHead().getObject() : null);
    }
}
