package org.gentianwalk.bench.path;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntFunction;
import org.HdrHistogram.Recorder;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.server.FixedRules;
import org.gentianwalk.server.Instance;
import org.gentianwalk.server.InstanceParts;
import org.gentianwalk.server.InstanceSettings;
import org.gentianwalk.server.pipeline.Digests;
import org.gentianwalk.standin.engine.EngineOptions;
import org.gentianwalk.standin.engine.EngineStandin;

/**
 * Measures the latency and resource overhead of one instance per token. Callers send the same load
 * alternately to the simulated engines directly and through the instance, all in one process.
 *
 * <p>Example: {@code new PathBenchmark(PathOptions.DEFAULT).run().text()}.
 */
public final class PathBenchmark {
    static final String KEY = "bench-key";

    private static final String MODEL = "bench";

    // 1,000 starts in this time are 14 times the request rate of the large size. Tokens of streams
    // that are already running are measured during this time.
    private static final Duration MAX_RAMP_UP = Duration.ofSeconds(2);
    private static final int ENGINES = 4;
    private static final int HTTP_CLIENTS = 4;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_WARM_UP_STREAMS = 200;
    private static final Duration MAX_WARM_UP = Duration.ofSeconds(3);

    private final PathOptions mOptions;
    private final List<EngineStandin> mEngines = new ArrayList<>();
    private final List<HttpClient> mClients = new ArrayList<>();
    private final AtomicLong mNextSeed = new AtomicLong();
    private boolean mMeasuresHeap;

    /**
     * Creates a benchmark.
     *
     * @param options the load
     */
    public PathBenchmark(PathOptions options) {
        mOptions = options;
    }

    /**
     * Runs all phases.
     *
     * @return the measured values
     * @throws IOException if no port is free
     * @throws InterruptedException if the calling thread was interrupted
     */
    public PathResult run() throws IOException, InterruptedException {
        Instance instance = null;
        try {
            instance = startInstance();
            URI through = instance.uri();
            IntFunction<URI> direct = i -> mEngines.get(i % ENGINES).uri();
            runPhase(warmUpOptions(), direct);
            runPhase(warmUpOptions(), i -> through);
            PhaseResult directTotal = runPhase(mOptions, direct);
            PhaseResult throughTotal = runPhase(mOptions, i -> through);
            for (int round = 1; round < mOptions.rounds(); round++) {
                directTotal = directTotal.plus(runPhase(mOptions, direct));
                throughTotal = throughTotal.plus(runPhase(mOptions, i -> through));
            }
            // Garbage collection pauses all streams, so the heap is measured in separate phases.
            mMeasuresHeap = true;
            long directHeap = runPhase(mOptions, direct).heapBytes();
            long throughHeap = runPhase(mOptions, i -> through).heapBytes();
            return new PathResult(
                    mOptions, directTotal.withHeap(directHeap), throughTotal.withHeap(throughHeap));
        } finally {
            if (instance != null) {
                instance.close();
            }
            mEngines.forEach(EngineStandin::close);
            mClients.forEach(HttpClient::shutdownNow);
        }
    }

    private Instance startInstance() throws IOException {
        Location zone = new Location("region", "zone");
        EngineOptions.Timing timing =
                new EngineOptions.Timing(
                        Duration.ZERO, mOptions.tokenInterval(), Duration.ofMillis(500));
        List<UpstreamInfo> infos = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            EngineOptions options = EngineOptions.of("engine-" + i, MODEL);
            EngineStandin engine =
                    EngineStandin.start(
                            options.withTiming(timing).withSlots(mOptions.streams()), 0);
            mEngines.add(engine);
            infos.add(engine.info(zone));
        }
        for (int i = 0; i < HTTP_CLIENTS; i++) {
            mClients.add(
                    HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .executor(Executors.newVirtualThreadPerTaskExecutor())
                            .build());
        }
        String hash = Digests.hex(Digests.sha256(KEY.getBytes(StandardCharsets.UTF_8)));
        FixedRules rules = FixedRules.of(Map.of(hash, "bench"), infos);
        Instance instance =
                new Instance(
                        new InstanceSettings("bench", "127.0.0.1", 0, zone),
                        () -> rules,
                        InstanceParts.standalone());
        instance.start();
        return instance;
    }

    private PhaseResult runPhase(PathOptions options, IntFunction<URI> target)
            throws InterruptedException {
        long firstSeed = mNextSeed.getAndAdd(options.streams());
        List<AtomicLongArray> sent = new ArrayList<>();
        for (int i = 0; i < options.streams(); i++) {
            sent.add(new AtomicLongArray(options.tokensPerStream()));
        }
        for (EngineStandin engine : mEngines) {
            engine.observe(
                    (seed, position) ->
                            sent.get((int) (seed - firstSeed)).set(position, System.nanoTime()));
        }
        Recorder delays = new Recorder(SIGNIFICANT_DIGITS);
        List<Future<Boolean>> answers = new ArrayList<>();
        List<StreamCaller> callers = new ArrayList<>();
        long cpu = cpuNanos();
        long start = System.nanoTime();
        long heap;
        long wrong = 0;
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < options.streams(); i++) {
                StreamCaller caller =
                        new StreamCaller(
                                mClients.get(i % HTTP_CLIENTS),
                                target.apply(i),
                                MODEL,
                                firstSeed + i,
                                sent.get(i),
                                delays);
                callers.add(caller);
                answers.add(threads.submit(() -> caller.call(options)));
                Thread.sleep(rampUp(options).dividedBy(options.streams()));
            }
            Thread.sleep(options.duration().dividedBy(2));
            heap = mMeasuresHeap ? heapInUse() : 0;
            for (Future<Boolean> answer : answers) {
                wrong += isExact(answer) ? 0 : 1;
            }
        }
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        double cpuSeconds = (cpuNanos() - cpu) / NANOS_PER_SECOND;
        long tokens = callers.stream().mapToLong(StreamCaller::receivedTokens).sum();
        return new PhaseResult(
                delays.getIntervalHistogram(), tokens, wrong, seconds, cpuSeconds, heap);
    }

    private PathOptions warmUpOptions() {
        int streams = Math.min(MAX_WARM_UP_STREAMS, mOptions.streams());
        Duration duration =
                mOptions.duration().compareTo(MAX_WARM_UP) < 0 ? mOptions.duration() : MAX_WARM_UP;
        int tokens = (int) ((long) mOptions.tokensPerSecond() * streams / mOptions.streams());
        return new PathOptions(streams, tokens, duration, 1);
    }

    private static Duration rampUp(PathOptions options) {
        Duration fifth = options.duration().dividedBy(5);
        return fifth.compareTo(MAX_RAMP_UP) < 0 ? fifth : MAX_RAMP_UP;
    }

    private static boolean isExact(Future<Boolean> answer) throws InterruptedException {
        try {
            return answer.get();
        } catch (ExecutionException e) {
            return false;
        }
    }

    private static long heapInUse() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}
