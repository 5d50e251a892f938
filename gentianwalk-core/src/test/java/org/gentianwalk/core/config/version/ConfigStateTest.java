package org.gentianwalk.core.config.version;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.proto.ConfigContent;
import org.junit.jupiter.api.Test;

class ConfigStateTest {
    private static final int MESH_FRAME_BYTES = 4 << 20;

    private static ConfigFolder largeFolder() {
        Random random = new Random(20261204);
        Map<String, String> files = new HashMap<>();
        for (int i = 0; i < 9500; i++) {
            byte[] hash = new byte[32];
            random.nextBytes(hash);
            files.put(
                    "40-team-" + i + ".yaml",
                    "teams:\n  team-"
                            + i
                            + ":\n    branch: branch-"
                            + i % 50
                            + "\n    keys: ["
                            + java.util.HexFormat.of().formatHex(hash)
                            + "]\n    kinds: [quote, order, summary, refresh]\n"
                            + "    default-kind: summary\n    weight: 2\n    exceptions:\n"
                            + "      quote: {max-tokens: 2ktokens, deadline: 60s}\n"
                            + "      refresh: {tokens-per-second: 3ktokens/s, deadline: 6h}\n"
                            + "# "
                            + "x".repeat(200)
                            + "\n");
        }
        return ConfigFolder.ofTexts(files);
    }

    /** Guards against a folder of 9,500 teams that is too large for one mesh frame. */
    @Test
    void largeFolderFitsIntoFrame() {
        ConfigFolder folder = largeFolder();
        ConfigContent whole = ConfigState.fullContent(3, folder);
        assertThat(whole.getSerializedSize()).isLessThan(MESH_FRAME_BYTES / 2);
        ConfigState state =
                ((ConfigState.UpdateResult.Updated) ConfigState.NONE.update(whole)).state();
        assertThat(state.folder()).isEqualTo(folder);
        assertThat(state.contentSince(0)).isEqualTo(whole);
        ConfigContent cut =
                whole.toBuilder()
                        .setDeflated(
                                whole.getDeflated().substring(0, whole.getDeflated().size() / 2))
                        .build();
        assertThat(ConfigState.NONE.update(cut))
                .isInstanceOf(ConfigState.UpdateResult.Corrupt.class);
        ConfigContent noise =
                whole.toBuilder().setDeflated(ByteString.copyFromUtf8("noise")).build();
        assertThat(ConfigState.NONE.update(noise))
                .isInstanceOf(ConfigState.UpdateResult.Corrupt.class);
    }

    /** Guards against sending peers too few files, or all files after each change. */
    @Test
    void historyCoversLast64Versions() {
        ConfigState state = ConfigState.NONE;
        ConfigFolder folder = ConfigFolder.EMPTY;
        for (int version = 1; version <= 100; version++) {
            byte[] text = ("# " + version).getBytes(java.nio.charset.StandardCharsets.UTF_8);
            folder = folder.with(Map.of("f" + version + ".yaml", text), List.of());
            state =
                    ((ConfigState.UpdateResult.Updated)
                                    state.update(ConfigState.fullContent(version, folder)))
                            .state();
        }
        assertThat(state.changedSince(98).orElseThrow()).containsExactly("f100.yaml", "f99.yaml");
        assertThat(state.changedSince(36).orElseThrow()).hasSize(64);
        assertThat(state.changedSince(35)).isEmpty();
        assertThat(state.contentSince(35).getBaseVersion()).isZero();
    }

    /** Guards against an instance that returns to an older version. */
    @Test
    void anOlderVersionIsNotTaken() {
        ConfigFolder older = ConfigFolder.ofTexts(Map.of("10-a.yaml", "a: 1\n"));
        ConfigFolder newer = ConfigFolder.ofTexts(Map.of("10-a.yaml", "a: 2\n"));
        ConfigState state =
                ((ConfigState.UpdateResult.Updated)
                                ConfigState.NONE.update(ConfigState.fullContent(5, newer)))
                        .state();

        assertThat(state.update(ConfigState.fullContent(4, older)))
                .isInstanceOf(ConfigState.UpdateResult.NotNewer.class);
        assertThat(state.version()).isEqualTo(5);
    }
}
