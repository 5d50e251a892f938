package org.gentianwalk.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.standin.engine.EngineOptions;
import org.gentianwalk.standin.engine.EngineStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk standin engine}: a model engine with deterministic tokens. */
@Command(
        name = "engine",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for a model engine.")
public final class StandinEngineCommand implements Callable<Integer> {
    private static final long NANOS_PER_MICRO = 1000;

    @Option(names = "--id", defaultValue = "engine-1", description = "Identifier of the engine.")
    private String mId = "";

    @Option(names = "--port", defaultValue = "9001", description = "Loopback port; 0: a free one.")
    private int mPort;

    @Option(
            names = "--model",
            split = ",",
            defaultValue = "catalogue-writer",
            description = "Models served.")
    private List<String> mModels = List.of();

    @Option(names = "--slots", defaultValue = "32", description = "Generations in the batch.")
    private int mSlots;

    @Option(
            names = "--token-ms",
            defaultValue = "30",
            description = "Time between two output tokens, ms.")
    private long mTokenMillis;

    @Option(
            names = "--prefill-us",
            defaultValue = "100",
            description = "Time for a prompt token, microseconds.")
    private long mPrefillMicros;

    @Option(names = "--load-lag-ms", defaultValue = "500", description = "Lag of the load report.")
    private long mLagMillis;

    @Option(
            names = "--without",
            split = ",",
            description = "Abilities left out: ${COMPLETION-CANDIDATES}.")
    private Set<Capability> mWithout = Set.of();

    @Option(names = "--sampling", description = "Continues tokens differently from other engines.")
    private boolean mSampling;

    @Override
    public Integer call() throws IOException, InterruptedException {
        EnumSet<Capability> capabilities = EnumSet.allOf(Capability.class);
        capabilities.removeAll(mWithout);
        EngineOptions options =
                new EngineOptions(
                        mId,
                        new LinkedHashSet<>(mModels),
                        mSlots,
                        new EngineOptions.Timing(
                                Duration.ofNanos(mPrefillMicros * NANOS_PER_MICRO),
                                Duration.ofMillis(mTokenMillis),
                                Duration.ofMillis(mLagMillis)),
                        EngineOptions.Cache.DEFAULT,
                        capabilities,
                        mSampling,
                        1);
        try (EngineStandin engine = EngineStandin.start(options, mPort)) {
            System.out.println("engine stand-in " + mId + " listens on " + engine.uri());
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
