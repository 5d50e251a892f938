package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.config.Problem;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.node.ServingNode;
import org.gentianwalk.standin.engine.EngineOptions;
import org.gentianwalk.standin.engine.EngineStandin;
import org.gentianwalk.standin.platform.FaultSwitch;
import org.gentianwalk.standin.platform.PlatformStandin;
import org.gentianwalk.standin.service.ServiceStandin;

/**
 * The instances and stand-ins of the demonstration, with the settings of {@code examples/demo}. All
 * ports but the first instance's are free ones, so the addresses are put into a further file.
 */
final class DemoFleet implements AutoCloseable {
    private static final int ENGINES = 3;
    private static final int INSTANCES = 3;
    private static final Duration TOKEN_INTERVAL = Duration.ofMillis(30);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration READY_CHECK = Duration.ofMillis(50);

    private final List<EngineStandin> mEngines = new ArrayList<>();
    private final List<ServingNode> mNodes = new ArrayList<>();
    private final PlatformStandin mPlatform;
    private final ServiceStandin mService;

    DemoFleet(Path folder, int port)
            throws IOException, MeshException, CliException, InterruptedException {
        mPlatform = PlatformStandin.start(PlatformStandin.Options.onFreePort(), new FaultSwitch());
        mService = ServiceStandin.start("stock-1", new ServiceStandin.Ledger(), 0, 1);
        startEngines();
        for (int i = 1; i <= INSTANCES; i++) {
            startInstance(folder.resolve("instances/demo-" + i + ".yaml"), i == 1 ? port : 0);
        }
        Map<String, byte[]> files = new TreeMap<>(ConfigFolder.read(folder).files());
        files.put("99-addresses.yaml", addresses().getBytes(StandardCharsets.UTF_8));
        ApplyResult result =
                mNodes.getFirst().config().apply(new ConfigFolder(files), 0, "demonstration");
        if (!(result instanceof ApplyResult.Accepted)) {
            throw new CliException("the settings in " + folder + " were not accepted: " + result);
        }
        awaitReady();
    }

    List<EngineStandin> engines() {
        return mEngines;
    }

    List<ServingNode> nodes() {
        return mNodes;
    }

    @Override
    public void close() {
        mNodes.forEach(ServingNode::close);
        mEngines.forEach(EngineStandin::close);
        mService.close();
        mPlatform.close();
    }

    private void startEngines() throws IOException {
        EngineOptions.Timing timing =
                new EngineOptions.Timing(
                        EngineOptions.Timing.FAST.prefillPerToken(),
                        TOKEN_INTERVAL,
                        EngineOptions.Timing.REALISTIC.loadLag());
        for (int i = 1; i <= ENGINES; i++) {
            EngineOptions options = EngineOptions.of("engine-" + i, DemoCommand.MODEL);
            mEngines.add(EngineStandin.start(options.withTiming(timing), 0));
        }
    }

    private void startInstance(Path path, int port)
            throws IOException, MeshException, CliException {
        InstanceFile file =
                switch (InstanceFile.read(path)) {
                    case Result.Ok<InstanceFile, List<Problem>> ok -> ok.value();
                    case Result.Err<InstanceFile, List<Problem>> refused ->
                            throw new CliException(String.valueOf(refused.error().getFirst()));
                };
        ServingNode node =
                ServingNode.start(
                        new InstanceFile(
                                file.id(),
                                file.address(),
                                port,
                                0,
                                file.location(),
                                new InstanceFile.Platform(
                                        mPlatform.uri(),
                                        mPlatform.uri(),
                                        mPlatform.uri(),
                                        mPlatform.uri()),
                                file.meshKeys(),
                                file.adminTokenSha256(),
                                file.logLevel()),
                        IntUnaryOperator.identity());
        mNodes.add(node);
        mPlatform
                .instances()
                .put(
                        new InstanceList.Entry(
                                file.id(),
                                InstanceList.Kind.INSTANCE,
                                node.members().view().self().address(),
                                file.location(),
                                InstanceList.State.LIVE));
    }

    private String addresses() {
        StringBuilder text = new StringBuilder("engines:\n");
        for (EngineStandin engine : mEngines) {
            text.append("  ").append(engine.options().id()).append(": {address: \"");
            text.append(engine.uri().getAuthority()).append("\"}\n");
        }
        text.append("services:\n  stock:\n    upstreams:\n      stock-1: {address: \"");
        return text.append(mService.uri().getAuthority()).append("\"}\n").toString();
    }

    private void awaitReady() throws InterruptedException, CliException {
        long until = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!mNodes.stream().allMatch(ServingNode::isReady)) {
            if (System.nanoTime() - until > 0) {
                throw new CliException("the instances are not ready after " + READY_TIMEOUT);
            }
            Thread.sleep(READY_CHECK);
        }
    }
}
