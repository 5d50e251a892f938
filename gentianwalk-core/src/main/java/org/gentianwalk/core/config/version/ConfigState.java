package org.gentianwalk.core.config.version;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.ConfigFile;

/**
 * The configuration of an instance: the folder, its version and a history of the files changed by
 * recent versions. Instances are immutable; {@link #update} returns the next state. The version
 * never decreases, whatever the source of the content.
 */
public final class ConfigState {
    /** Versions kept in the history, so that a peer is sent only the files that changed. */
    public static final int HISTORY_VERSIONS = 64;

    /** State before the first accepted version. */
    public static final ConfigState NONE = new ConfigState(0, ConfigFolder.EMPTY, List.of());

    private final long mVersion;
    private final ConfigFolder mFolder;
    private final List<HistoryEntry> mHistory;

    /** Files that changed between two versions. */
    private record HistoryEntry(long base, long version, Set<String> names) {}

    private ConfigState(long version, ConfigFolder folder, List<HistoryEntry> history) {
        mVersion = version;
        mFolder = folder;
        mHistory = history;
    }

    /** Result of an update. */
    public sealed interface UpdateResult {
        /**
         * The content is newer and was applied.
         *
         * @param state the next state
         */
        record Updated(ConfigState state) implements UpdateResult {}

        /** The content is not newer; the state is unchanged. */
        record NotNewer() implements UpdateResult {}

        /** The content is based on a version that is newer than this state; request all files. */
        record Gap() implements UpdateResult {}

        /**
         * The content can't be parsed or does not match its digest; the state is unchanged.
         *
         * @param reason the reason
         */
        record Corrupt(String reason) implements UpdateResult {}
    }

    /**
     * Returns the version.
     *
     * @return the version, 0 before the first accepted version
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the folder.
     *
     * @return all files of this version
     */
    public ConfigFolder folder() {
        return mFolder;
    }

    /**
     * Applies newer content.
     *
     * @param content all files, or the files changed since a version
     * @return the next state, or why the content was not applied
     */
    public UpdateResult update(ConfigContent content) {
        byte[] digest = content.getDigest().toByteArray();
        if (content.getVersion() <= mVersion) {
            boolean sameVersion = content.getVersion() == mVersion && mVersion > 0;
            if (sameVersion && !MessageDigest.isEqual(digest, mFolder.digest())) {
                return new UpdateResult.Corrupt("version " + mVersion + " has a different digest");
            }
            return new UpdateResult.NotNewer();
        }
        if (content.getBaseVersion() > mVersion) {
            return new UpdateResult.Gap();
        }
        List<ConfigFile> files;
        try {
            files = ContentCodec.decompressFiles(content);
        } catch (InvalidProtocolBufferException e) {
            return new UpdateResult.Corrupt(
                    "version " + content.getVersion() + " can't be parsed: " + e.getMessage());
        }
        Map<String, byte[]> changed = new HashMap<>();
        List<String> removed = new ArrayList<>();
        for (ConfigFile file : files) {
            if (file.getRemoved()) {
                removed.add(file.getName());
            } else {
                changed.put(file.getName(), file.getContent().toByteArray());
            }
        }
        boolean whole = content.getBaseVersion() == 0;
        // Changes since an earlier version also apply to a later one, since each file is sent with
        // its final content.
        ConfigFolder folder = whole ? new ConfigFolder(changed) : mFolder.with(changed, removed);
        if (!MessageDigest.isEqual(digest, folder.digest())) {
            return new UpdateResult.Corrupt(
                    "the files of version " + content.getVersion() + " do not match its digest");
        }
        return new UpdateResult.Updated(next(content.getVersion(), folder));
    }

    private ConfigState next(long version, ConfigFolder folder) {
        List<HistoryEntry> history = new ArrayList<>();
        for (HistoryEntry entry : mHistory) {
            if (entry.version() > version - HISTORY_VERSIONS) {
                history.add(entry);
            }
        }
        if (mVersion > 0) {
            history.add(new HistoryEntry(mVersion, version, folder.changedFiles(mFolder)));
        }
        return new ConfigState(version, folder, List.copyOf(history));
    }

    /**
     * Returns the names of the files that changed since a version.
     *
     * @param version the earlier version
     * @return the names, or empty when the version is not in the history
     */
    public Optional<SortedSet<String>> changedSince(long version) {
        if (version == mVersion) {
            return Optional.of(new TreeSet<>());
        }
        if (version > mVersion || mHistory.isEmpty() || version < mHistory.getFirst().base()) {
            return Optional.empty();
        }
        SortedSet<String> names = new TreeSet<>();
        for (HistoryEntry entry : mHistory) {
            if (entry.version() > version) {
                names.addAll(entry.names());
            }
        }
        return Optional.of(names);
    }

    /**
     * Returns the content that updates a peer to this version.
     *
     * @param version version of the peer
     * @return the changed files when the version is in the history, otherwise all files
     */
    public ConfigContent contentSince(long version) {
        Optional<SortedSet<String>> names = version == 0 ? Optional.empty() : changedSince(version);
        if (names.isEmpty()) {
            return fullContent(mVersion, mFolder);
        }
        return ContentCodec.compressIfLarge(contentOf(mVersion, mFolder, version, names.get()));
    }

    /**
     * Returns content with all files of a folder.
     *
     * @param version version of the folder
     * @param folder the folder
     * @return the content, compressed when it is large
     */
    public static ConfigContent fullContent(long version, ConfigFolder folder) {
        return ContentCodec.compressIfLarge(contentOf(version, folder, 0, folder.files().keySet()));
    }

    /** Returns uncompressed content with the given files of a folder. */
    static ConfigContent contentOf(
            long version, ConfigFolder folder, long base, Iterable<String> names) {
        ConfigContent.Builder builder =
                ConfigContent.newBuilder()
                        .setVersion(version)
                        .setBaseVersion(base)
                        .setDigest(ByteString.copyFrom(folder.digest()));
        for (String name : names) {
            byte[] bytes = folder.files().get(name);
            ConfigFile.Builder file = ConfigFile.newBuilder().setName(name);
            if (bytes == null) {
                file.setRemoved(true);
            } else {
                file.setContent(ByteString.copyFrom(bytes));
            }
            builder.addFiles(file);
        }
        return builder.build();
    }
}
