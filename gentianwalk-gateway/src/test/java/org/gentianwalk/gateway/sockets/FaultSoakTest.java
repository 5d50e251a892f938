package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against requests that end without an answer, run twice or are answered wrongly while
 * processes, upstreams, connections, the store and the configuration fail and change together. The
 * properties {@code gentianwalk.faultsoak.seed}, {@code .seeds}, {@code .seconds} and {@code
 * .instances} set the first seed, the number of seeds, and the duration and instances of each;
 * without a first seed, those run that have failed before. {@code .profile} selects {@code mixed}
 * or {@code planned}; without it both run, or with a first seed the mixed one.
 */
@ExtendWith(KnownFailures.class)
class FaultSoakTest {
    /**
     * Seeds that failed, each with its cause; a run without a first seed takes them in this order.
     */
    private static final List<Long> FAILED_SEEDS =
            List.of(
                    1L, // the connection of a stream that ended during a stop was closed
                    // unannounced
                    21L, // an idle connection was closed beside a request that waited in a pause
                    5L, // as 21
                    19L, // as 21
                    43L, // as 21
                    45L, // as 21
                    28L, // connections were accepted but not read at the end of a stop
                    4L); // late answers while the machine stalled

    private static final List<Long> PLANNED_SEEDS = List.of(1L, 2L);

    private static final String MIXED = "mixed";
    private static final String PLANNED = "planned";
    private static final String PROFILE = System.getProperty("gentianwalk.faultsoak.profile", "");
    private static final Long FIRST_SEED = Long.getLong("gentianwalk.faultsoak.seed");
    private static final int SEEDS = Integer.getInteger("gentianwalk.faultsoak.seeds", 2);
    private static final int SECONDS = Integer.getInteger("gentianwalk.faultsoak.seconds", 9);
    private static final int INSTANCES = Integer.getInteger("gentianwalk.faultsoak.instances", 3);
    private static final int CALLERS_PER_INSTANCE = 6;

    @Test
    void everyRequestThatWasReadEndsAsItMay() throws Exception {
        assumeTrue(PROFILE.equals(MIXED) || PROFILE.isEmpty());
        runAll(FAILED_SEEDS, false);
    }

    /** Guards against planned work and silences of up to 1.3 s that cost callers an answer. */
    @Test
    void plannedWorkAndSilencesCostNoAnswer() throws Exception {
        assumeTrue(PROFILE.equals(PLANNED) || PROFILE.isEmpty() && FIRST_SEED == null);
        runAll(PLANNED_SEEDS, true);
    }

    private static void runAll(List<Long> seeds, boolean planned) throws Exception {
        List<String> failed = new ArrayList<>();
        List<String> undecided = new ArrayList<>();
        List<String> late = new ArrayList<>();
        for (int i = 0; i < SEEDS; i++) {
            long seed = FIRST_SEED == null ? seeds.get(i) : FIRST_SEED + i;
            Random random = new Random(seed);
            SoakConfiguration configuration = new SoakConfiguration(new Random(random.nextLong()));
            SoakHistory history = new SoakHistory(configuration);
            run(seed, random, configuration, history, planned);
            String name = (planned ? "planned, seed " : "seed ") + seed;
            System.out.println(name + " " + history.counts());
            add(failed, name, "", history.violations());
            add(undecided, name, "without a decision: ", history.undecided());
            add(late, name, "late: ", history.late());
            assertThat(history.counts())
                    .as(name)
                    .containsKeys(
                            "200",
                            "versions shown",
                            "wrong events",
                            "wrong answers",
                            "extra bytes",
                            "early answers",
                            "store restored");
        }
        assertThat(failed).isEmpty();
        assertThat(undecided).as("only requests ended without a decision").isEmpty();
        assertThat(late).as("only late answers").isEmpty();
    }

    private static void add(
            List<String> found, String name, String kind, Collection<String> requests) {
        for (String request : requests) {
            System.out.println("  " + kind + request);
            found.add(name + ": " + request);
        }
    }

    private static void run(
            long seed,
            Random random,
            SoakConfiguration configuration,
            SoakHistory history,
            boolean planned)
            throws Exception {
        Path folder = Path.of("target", "fault-soak", (planned ? "planned-" : "seed-") + seed);
        Files.createDirectories(folder);
        AtomicBoolean running = new AtomicBoolean(true);
        List<SoakInstance> instances = new CopyOnWriteArrayList<>();
        List<SoakUpstream> upstreams = new ArrayList<>();
        try (SoakStore store = new SoakStore();
                SoakFaults faults =
                        new SoakFaults(
                                random.nextLong(),
                                history,
                                store,
                                configuration,
                                upstreams,
                                instances,
                                folder,
                                planned);
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            SoakProbe probe = new SoakProbe(history, store, instances);
            faults.probe(probe);
            for (int i = 0; i < 9; i++) {
                String service =
                        SoakConfiguration.SERVICES.get(i % SoakConfiguration.SERVICES.size());
                upstreams.add(
                        new SoakUpstream("u" + i, service, history, random.nextLong(), !planned));
                faults.list(upstreams.get(i), false);
            }
            faults.publish(true);
            startAll(faults, instances, threads);
            List<Future<?>> callers = new ArrayList<>();
            for (int i = 0; i < INSTANCES * CALLERS_PER_INSTANCE; i++) {
                Random choices = new Random(random.nextLong());
                String name = seed + "-" + i;
                callers.add(
                        threads.submit(
                                new SoakCaller(name, history, instances, choices, running::get)));
            }
            Future<?> prober = threads.submit(() -> probe.run(running::get));
            try {
                faults.run(SECONDS);
                faults.heal();
                faults.publish(true);
                probe.checkInForce(configuration.version());
            } finally {
                running.set(false);
            }
            for (Future<?> caller : callers) {
                caller.get();
            }
            prober.get();
            for (SoakInstance instance : faults.everStarted()) {
                String violation = instance.endingViolation();
                if (violation != null) {
                    history.violation(violation);
                }
            }
        } finally {
            for (SoakUpstream upstream : upstreams) {
                upstream.close();
            }
        }
        history.check();
    }

    private static void startAll(
            SoakFaults faults, List<SoakInstance> instances, ExecutorService threads)
            throws Exception {
        List<Future<SoakInstance>> starts = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            starts.add(threads.submit(faults::start));
        }
        for (Future<SoakInstance> start : starts) {
            instances.add(start.get());
        }
    }
}
