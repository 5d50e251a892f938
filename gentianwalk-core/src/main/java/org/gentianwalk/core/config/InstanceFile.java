package org.gentianwalk.core.config;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.gentianwalk.core.config.check.Check;
import org.gentianwalk.core.config.check.CheckRun;
import org.gentianwalk.core.config.check.Checks;
import org.gentianwalk.core.config.schema.InstanceSchema;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.tree.YamlTree;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.model.Location;

/**
 * The settings of one instance, {@code instance.yaml}.
 *
 * @param id unique name
 * @param address IP address to listen on
 * @param httpPort port for callers and operators, 0 for any free port
 * @param meshPort port for other instances, 0 for any free port
 * @param location where it runs
 * @param platform addresses of the platform's services
 * @param meshKeys keys that authenticate messages between instances; the first signs, all verify
 * @param adminTokenSha256 lower-case hexadecimal hash of the token for {@code /admin}
 * @param logLevel {@code error}, {@code warn}, {@code info} or {@code debug}
 */
public record InstanceFile(
        String id,
        String address,
        int httpPort,
        int meshPort,
        Location location,
        Platform platform,
        List<MeshKey> meshKeys,
        String adminTokenSha256,
        String logLevel) {
    private static final int MAX_PORT = 65535;

    public InstanceFile {
        if (id.isEmpty() || meshKeys.isEmpty()) {
            throw new IllegalArgumentException("an instance needs an id and a mesh key");
        }
        if (httpPort < 0 || httpPort > MAX_PORT || meshPort < 0 || meshPort > MAX_PORT) {
            throw new IllegalArgumentException("ports of " + id + " must be from 0 to 65535");
        }
        meshKeys = List.copyOf(meshKeys);
    }

    /**
     * Addresses of the platform's services.
     *
     * @param table table service
     * @param objects object store
     * @param instances instance list
     * @param weights weight store
     */
    public record Platform(URI table, URI objects, URI instances, URI weights) {}

    /**
     * A key that authenticates messages between instances.
     *
     * @param id its name, sent with each frame
     * @param secretHex the key in hexadecimal
     */
    public record MeshKey(String id, String secretHex) {
        /**
         * Returns the key.
         *
         * @return its bytes, a copy
         */
        public byte[] secret() {
            return HexFormat.of().parseHex(secretHex);
        }

        @Override
        public String toString() {
            return "MeshKey[" + id + "]";
        }
    }

    /**
     * Reads the file.
     *
     * @param file the file
     * @return the settings, or all problems found
     * @throws IOException if the file can't be read
     */
    public static Result<InstanceFile, List<Problem>> read(Path file) throws IOException {
        return parse(String.valueOf(file.getFileName()), Files.readAllBytes(file));
    }

    /**
     * Reads the file's content.
     *
     * @param name file name for messages
     * @param content the bytes
     * @return the settings, or all problems found
     */
    public static Result<InstanceFile, List<Problem>> parse(String name, byte[] content) {
        CheckRun run = new CheckRun();
        YamlTree.Parsed parsed = YamlTree.parse(name, content);
        for (YamlTree.Defect defect : parsed.defects()) {
            run.report(defect.source(), defect.key(), defect.messageKey(), defect.detail());
        }
        for (Check check : Checks.SCHEMA) {
            check.checkFile(run, InstanceSchema.ROOT, parsed.root());
            check.checkMerged(run, InstanceSchema.ROOT, parsed.root());
        }
        if (!run.problems().isEmpty()) {
            return Result.err(List.copyOf(run.problems()));
        }
        return Result.ok(fromView(new SectionView(InstanceSchema.ROOT, parsed.root())));
    }

    private static InstanceFile fromView(SectionView view) {
        SectionView platform = view.section("platform");
        List<MeshKey> keys = new ArrayList<>();
        for (SectionView key : view.sectionList("mesh-keys")) {
            keys.add(new MeshKey(key.requiredText("id"), key.requiredText("secret")));
        }
        return new InstanceFile(
                view.requiredText("id"),
                view.requiredText("address"),
                (int) view.requiredNumber("http-port"),
                (int) view.requiredNumber("mesh-port"),
                new Location(view.requiredText("region"), view.requiredText("zone")),
                new Platform(
                        URI.create(platform.requiredText("table")),
                        URI.create(platform.requiredText("objects")),
                        URI.create(platform.requiredText("instances")),
                        URI.create(platform.requiredText("weights"))),
                keys,
                view.requiredText("admin-token"),
                view.requiredText("log-level"));
    }
}
