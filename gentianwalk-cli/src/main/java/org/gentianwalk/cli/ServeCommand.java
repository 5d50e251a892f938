package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntUnaryOperator;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.config.Problem;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.server.Instance;
import org.gentianwalk.server.InstanceParts;
import org.gentianwalk.server.SettingsFile;
import org.gentianwalk.server.log.Logging;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.node.ServingNode;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk serve}: one instance as a process. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one instance until it gets SIGTERM, then finishes all answers.")
public final class ServeCommand implements Callable<Integer> {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class);

    @ArgGroup(multiplicity = "1")
    private Source mSource = new Source();

    /** Where the settings come from. */
    static final class Source {
        @Option(
                names = "--settings",
                description = "Instance file (YAML) of an instance with platform and peers.")
        private @Nullable Path mSettings;

        @Option(
                names = "--standalone",
                description =
                        "Settings file (YAML) of an instance without either; see"
                                + " docs/settings-example.yaml.")
        private @Nullable Path mStandalone;
    }

    @Override
    public Integer call() throws IOException, InterruptedException, MeshException {
        Path settings = mSource.mSettings;
        Path standalone = mSource.mStandalone;
        if (settings != null) {
            return serveNode(settings);
        }
        return standalone == null ? CommandLine.ExitCode.USAGE : serveAlone(standalone);
    }

    private static int serveNode(Path path)
            throws IOException, InterruptedException, MeshException {
        switch (InstanceFile.read(path)) {
            case Result.Err<InstanceFile, List<Problem>> refused -> {
                refused.error().forEach(System.err::println);
                return CommandLine.ExitCode.SOFTWARE;
            }
            case Result.Ok<InstanceFile, List<Problem>> ok -> {
                InstanceFile file = ok.value();
                Logging logging = Logging.start(file.id(), file.logLevel(), System.err);
                ServingNode node = ServingNode.start(file, IntUnaryOperator.identity());
                System.out.println("instance " + file.id() + " listens on " + node.uri());
                await(node::stop, logging);
                return 0;
            }
        }
    }

    private static int serveAlone(Path path) throws IOException, InterruptedException {
        SettingsFile file = SettingsFile.read(path);
        var settings = file.instance();
        var rules = file.rules();
        Logging logging = Logging.start(settings.id(), "info", System.err);
        Instance instance = new Instance(settings, () -> rules, InstanceParts.standalone());
        instance.start();
        System.out.println("instance " + settings.id() + " listens on " + instance.uri());
        await(instance::shutdown, logging);
        return 0;
    }

    /** Waits for SIGTERM and then until the instance has finished its work. */
    private static void await(GracefulStop stop, Logging logging) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        stop.run();
                                    } catch (InterruptedException e) {
                                        LOG.warn("interrupted while draining");
                                    } finally {
                                        logging.close();
                                        stopped.countDown();
                                    }
                                }));
        stopped.await();
    }

    /** Ends an instance without cutting off a request. */
    @FunctionalInterface
    private interface GracefulStop {
        void run() throws InterruptedException;
    }
}
