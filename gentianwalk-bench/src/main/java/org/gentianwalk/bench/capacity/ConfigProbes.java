package org.gentianwalk.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.ConfigLoader;
import org.gentianwalk.core.config.LoadResult;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigProposal;
import org.gentianwalk.core.config.version.ConfigProposal.Action;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.MessageType;

/**
 * Measures the costs of the configuration by number of teams, number of engines and size of the
 * changed file.
 */
final class ConfigProbes {
    private static final String ROLE = "configuration";
    private static final int TEAMS = 9_500;
    private static final int ENGINES = 12_000;
    private static final int CHANGES_PER_DAY = 31_000;
    private static final int FEW_TEAMS = 100;
    private static final int FEW_ENGINES = 168;
    private static final int TEAMS_PER_FILE = 100;

    private final boolean mQuick;
    private final Meter mMeter;
    private int mChanges;

    ConfigProbes(boolean quick) {
        mQuick = quick;
        mMeter = new Meter(quick);
    }

    List<CapacityProbe> all() {
        int[] teams = mQuick ? new int[] {100, 200, 300} : new int[] {1_000, 2_500, 5_000, 9_500};
        int[] engines =
                mQuick ? new int[] {168, 336, 504} : new int[] {1_500, 3_000, 6_000, 12_000};
        // Folders below 256 KiB are not compressed, so they don't fit the linear model.
        int[] folderSizes = mQuick ? teams : new int[] {2_500, 5_000, 9_500};
        int[] teamsPerFile = {10, 50, 100, 200};
        return List.of(
                new Probe(
                        ROLE,
                        "processor time of taking a change, µs",
                        "teams",
                        teams,
                        TEAMS,
                        size -> measureChange(size, FEW_ENGINES, false)),
                new Probe(
                        ROLE,
                        "processor time of taking a change, µs",
                        "engines",
                        engines,
                        ENGINES,
                        size -> measureChange(FEW_TEAMS, size, false)),
                new Probe(
                        ROLE,
                        "processor time of checking a change at its instance, µs",
                        "teams",
                        teams,
                        TEAMS,
                        size -> measureChange(size, FEW_ENGINES, true)),
                new Probe(
                        ROLE,
                        "memory, bytes",
                        "teams",
                        teams,
                        TEAMS,
                        size -> Meter.heapBytes(1, () -> new InstanceState(size, FEW_ENGINES))),
                new Probe(
                        ROLE,
                        "memory, bytes",
                        "engines",
                        engines,
                        ENGINES,
                        size -> Meter.heapBytes(1, () -> new InstanceState(FEW_TEAMS, size))),
                new Probe(
                        ROLE,
                        "bytes of a change between two instances",
                        "teams in the changed file",
                        teamsPerFile,
                        TEAMS_PER_FILE,
                        ConfigProbes::deltaBytes),
                new Probe(
                        ROLE,
                        "bytes of the whole folder for a new instance",
                        "teams",
                        folderSizes,
                        TEAMS,
                        size ->
                                ConfigState.fullContent(1, SampleFolder.of(size, 0, TEAMS_PER_FILE))
                                        .getSerializedSize()),
                new Probe(
                        ROLE,
                        "store writes",
                        "changes",
                        new int[] {16, 32, 64},
                        CHANGES_PER_DAY,
                        size -> applyChanges(size, FEW_TEAMS * 2).writes()),
                new Probe(
                        ROLE,
                        "bytes to the store for a change",
                        "teams",
                        folderSizes,
                        TEAMS,
                        size -> applyChanges(16, size).bytes() / 16.0));
    }

    private double measureChange(int teams, int engines, boolean check) {
        InstanceState state = new InstanceState(teams, engines);
        return mMeter.nanosPerCall(
                        () -> {
                            ConfigFolder folder = withChangedFile(state.mFolder, 0, ++mChanges);
                            requireLoaded(
                                    check
                                            ? state.mLoader.load(folder, 2)
                                            : state.mLoader.loadAccepted(folder, 2));
                        })
                / 1_000;
    }

    private static ConfigFolder withChangedFile(ConfigFolder folder, int first, int weight) {
        String text = SampleFolder.teams(first, first + TEAMS_PER_FILE, 2 + weight % 7);
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        return folder.with(Map.of(SampleFolder.teamFile(first), content), List.of());
    }

    private static double deltaBytes(int teamsInFile) {
        ConfigFolder folder = SampleFolder.of(teamsInFile, FEW_ENGINES, teamsInFile);
        String text = SampleFolder.teams(0, teamsInFile, 2);
        ConfigFolder next =
                folder.with(
                        Map.of(SampleFolder.teamFile(0), text.getBytes(StandardCharsets.UTF_8)),
                        List.of());
        ConfigState state = applyContent(ConfigState.NONE, ConfigState.fullContent(1, folder));
        ConfigContent delta = applyContent(state, ConfigState.fullContent(2, next)).contentSince(1);
        if (delta.getBaseVersion() != 1) {
            throw new IllegalStateException("expected a delta but got the whole folder");
        }
        return Frames.bytes(MessageType.CONFIG_CONTENT, delta);
    }

    private static ConfigState applyContent(ConfigState state, ConfigContent content) {
        if (state.update(content) instanceof ConfigState.UpdateResult.Updated taken) {
            return taken.state();
        }
        throw new IllegalStateException("version " + content.getVersion() + " was not applied");
    }

    private static LoadResult.Loaded requireLoaded(LoadResult result) {
        if (result instanceof LoadResult.Loaded loaded) {
            return loaded;
        }
        throw new IllegalStateException("the sample folder was rejected: " + result);
    }

    /** Applies changes to different files one after the other, as an operator does. */
    private static CountingStore applyChanges(int changes, int teams) {
        CountingStore store = new CountingStore();
        ConfigFolder folder = SampleFolder.of(teams, FEW_ENGINES, TEAMS_PER_FILE);
        ConfigState state = ConfigState.NONE;
        store.apply(folder, state, 0);
        state = applyContent(state, ConfigState.fullContent(1, folder));
        store.mWrites = 0;
        store.mBytes = 0;
        for (int i = 1; i <= changes; i++) {
            int first = i * TEAMS_PER_FILE % teams;
            folder = withChangedFile(folder, first, i);
            store.apply(folder, state, i);
            state = applyContent(state, ConfigState.fullContent(i + 1L, folder));
        }
        return store;
    }

    /** Configuration state held by one instance. */
    private static final class InstanceState {
        final ConfigLoader mLoader = new ConfigLoader();
        final ConfigFolder mFolder;
        final LoadResult.Loaded mRules;

        InstanceState(int teams, int engines) {
            mFolder = SampleFolder.of(teams, engines, TEAMS_PER_FILE);
            mRules = requireLoaded(mLoader.load(mFolder, 1));
        }
    }

    /** Counts the store operations of configuration proposals in the absence of faults. */
    private static final class CountingStore {
        private int mWrites;
        private long mBytes;
        private Row mHead = new Row(ConfigProposal.HEAD_KEY, Row.ABSENT, new byte[0]);

        int writes() {
            return mWrites;
        }

        long bytes() {
            return mBytes;
        }

        void apply(ConfigFolder folder, ConfigState state, long nonce) {
            ConfigProposal proposal =
                    new ConfigProposal(folder, state.version(), "operator", 1_000 + nonce, 0);
            Action action = proposal.start();
            while (true) {
                switch (action) {
                    case Action.ReadHead ignored ->
                            action =
                                    proposal.onHead(
                                            mHead.version() == Row.ABSENT
                                                    ? new ReadResult.Missing()
                                                    : new ReadResult.Found(mHead),
                                            state);
                    case Action.StoreObject object -> {
                        mWrites++;
                        mBytes += object.content().length;
                        action = proposal.onStored(null);
                    }
                    case Action.WriteHead write -> {
                        mWrites++;
                        mBytes += write.value().length;
                        mHead = new Row(mHead.key(), write.expected() + 1, write.value());
                        action = proposal.onWrite(new WriteResult.Written(mHead.version()));
                    }
                    case Action.Finish finish -> {
                        if (!(finish.result() instanceof ApplyResult.Accepted)) {
                            throw new IllegalStateException(String.valueOf(finish.result()));
                        }
                        return;
                    }
                }
            }
        }
    }
}
