package org.gentianwalk.server.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.policy.FairScheduler;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.RoundRobinScheduler;
import org.gentianwalk.core.policy.ShareRules;
import org.gentianwalk.server.InstanceParts;
import org.gentianwalk.standin.engine.EngineOptions;
import org.gentianwalk.standin.engine.EngineStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers with missing, repeated or mixed tokens after the loss of an engine. */
class EngineLossTest {
    private static final int GENERATIONS = 200;
    private static final int WAVE = 20;
    private static final int TOKENS = 120;
    private static final long SEED = 20261204;

    /**
     * Each wave loses only one engine, since a second loss could convict a request of crashing
     * engines.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void everyAnswerIsExactWhileEnginesAreKilled(boolean fair) throws Exception {
        Random random = new Random(SEED);
        int interrupted = 0;
        try (TestFleet fleet = fair ? fair(slow(3)) : roundRobin(slow(3));
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int first = 0; first < GENERATIONS; first += WAVE) {
                // A slow machine starts a wave over a longer time than its generations last.
                fleet.engines().forEach(engine -> engine.faults().stall(true));
                List<Future<TestCaller.Stream>> answers = new ArrayList<>();
                for (int i = first; i < first + WAVE; i++) {
                    String body = TestFleet.body("prompt " + i, i, TOKENS, true);
                    answers.add(callers.submit(() -> fleet.caller().stream(body)));
                }
                EngineStandin victim = killBusiest(fleet, answers, random.nextInt(400));
                for (int i = first; i < first + WAVE; i++) {
                    TestCaller.Stream answer = answers.get(i - first).get();
                    assertThat(answer.mTokens)
                            .as("generation %s, error %s", i, answer.mError)
                            .isEqualTo(TestFleet.expected("prompt " + i, i, TOKENS));
                    assertThat(answer.mDone).isTrue();
                    interrupted += answer.mLastId.startsWith("1.") ? 0 : 1;
                }
                victim.kill();
                victim.restart();
            }
        }
        // The test proves something only if generations were interrupted.
        assertThat(interrupted).isGreaterThan(GENERATIONS / 10);
    }

    @Test
    void enginesThatSampleContinueTheTokensAlreadySent() throws Exception {
        List<EngineOptions> options = new ArrayList<>();
        slow(2).forEach(o -> options.add(o.withSampling(true)));
        try (TestFleet fleet = roundRobin(options)) {
            fleet.engines().forEach(engine -> engine.faults().dieAfterTokens(30));
            EngineStandin second = fleet.engine(1);
            second.faults().dieAfterTokens(Long.MAX_VALUE);
            TestCaller.Stream answer = fleet.caller().stream(TestFleet.body("p", 5, 80, true));
            var sequence =
                    org.gentianwalk.standin.engine.TokenSequence.start(TestFleet.MODEL, 5, "p");
            List<Integer> expected = sequence.take(30, fleet.engine(0).options().salt());
            expected.addAll(sequence.take(50, second.options().salt()));
            assertThat(answer.mTokens).isEqualTo(expected);
            assertThat(answer.mLastId).isEqualTo("2.80");
        }
    }

    @Test
    void engineWithoutResumeRegeneratesAndCompares() throws Exception {
        EnumSet<Capability> withoutResume = EnumSet.complementOf(EnumSet.of(Capability.RESUME));
        List<EngineOptions> options = new ArrayList<>();
        slow(2).forEach(o -> options.add(o.withCapabilities(withoutResume)));
        try (TestFleet fleet = roundRobin(options)) {
            fleet.engine(0).faults().dieAfterTokens(30);
            TestCaller.Stream answer = fleet.caller().stream(TestFleet.body("p", 5, 80, true));
            assertThat(answer.mTokens).isEqualTo(TestFleet.expected("p", 5, 80));
            assertThat(answer.mLastId).isEqualTo("2.80");
        }
    }

    @Test
    void engineThatRegeneratesOtherTokensEndsTheAnswer() throws Exception {
        EnumSet<Capability> withoutResume = EnumSet.complementOf(EnumSet.of(Capability.RESUME));
        List<EngineOptions> options = new ArrayList<>();
        slow(2).forEach(o -> options.add(o.withCapabilities(withoutResume).withSampling(true)));
        try (TestFleet fleet = roundRobin(options)) {
            fleet.engine(0).faults().dieAfterTokens(30);
            TestCaller.Stream answer = fleet.caller().stream(TestFleet.body("p", 5, 80, true));
            assertThat(answer.mTokens).hasSize(30);
            assertThat(answer.mError).isEqualTo("generation_diverged");
            assertThat(answer.mDone).isFalse();
        }
    }

    @Test
    void outputWithoutTokenIdsIsBufferedAndRegenerated() throws Exception {
        EnumSet<Capability> plain = EnumSet.of(Capability.CANCEL);
        List<EngineOptions> options = new ArrayList<>();
        slow(2).forEach(o -> options.add(o.withCapabilities(plain).withSampling(true)));
        try (TestFleet fleet = roundRobin(options)) {
            fleet.engine(0).faults().dieAfterTokens(30);
            String body = TestFleet.body("p", 5, 80, false);
            var answer = fleet.caller().post("/v1/completions", body);
            var sequence =
                    org.gentianwalk.standin.engine.TokenSequence.start(TestFleet.MODEL, 5, "p");
            String whole = TestFleet.text(sequence.take(80, fleet.engine(1).options().salt()));
            assertThat(TestCaller.json(answer.body()).at("/choices/0/text").asText())
                    .isEqualTo(whole);
        }
    }

    @Test
    void stalledEngineIsReplacedWithinTheTarget() throws Exception {
        try (TestFleet fleet = roundRobin(slow(2))) {
            TestCaller.Stream answer = fleet.caller().open(TestFleet.body("p", 5, 400, true));
            answer.read(tokens -> tokens >= 20);
            fleet.engine(0).faults().stall(true);
            long start = System.nanoTime();
            answer.read(tokens -> answer.mLastId.startsWith("2."));
            // The target is 5 s from the loss to the next token.
            assertThat(Duration.ofNanos(System.nanoTime() - start))
                    .isLessThan(Duration.ofSeconds(4));
            answer.readAll();
            assertThat(answer.mTokens).isEqualTo(TestFleet.expected("p", 5, 400));
        }
    }

    @Test
    void lateTokensOfAPausedEngineAreDropped() throws Exception {
        try (TestFleet fleet = roundRobin(slow(2))) {
            TestCaller.Stream answer = fleet.caller().open(TestFleet.body("p", 9, 600, true));
            answer.read(tokens -> tokens >= 20);
            fleet.engine(0).faults().pause();
            answer.read(tokens -> answer.mLastId.startsWith("2."));
            fleet.engine(0).faults().resume();
            answer.readAll();
            assertThat(answer.mTokens).isEqualTo(TestFleet.expected("p", 9, 600));
            TestFleet.await(
                    "the paused engine's work is cancelled",
                    Duration.ofSeconds(3),
                    () -> fleet.engine(0).running() == 0);
        }
    }

    private static TestFleet roundRobin(List<EngineOptions> options) throws IOException {
        return new TestFleet(
                options, Limits.DEFAULT, java.util.Map.of(), EngineLossTest::withRoundRobin);
    }

    private static TestFleet fair(List<EngineOptions> options) throws IOException {
        return new TestFleet(
                options, Limits.DEFAULT, java.util.Map.of(), EngineLossTest::withoutRetryLimit);
    }

    // A third of all attempts is lost here, which exceeds the retry budget.
    private static InstanceParts withoutRetryLimit(InstanceParts parts) {
        PolicyOptions defaults = PolicyOptions.defaults();
        PolicyOptions.Retry retry =
                new PolicyOptions.Retry(
                        defaults.retry().share(),
                        GENERATIONS,
                        GENERATIONS,
                        defaults.retry().maxAttempts(),
                        defaults.retry().suspectEntries(),
                        defaults.retry().suspectLifetime(),
                        defaults.retry().convictionLifetime());
        PolicyOptions options =
                new PolicyOptions(
                        defaults.admission(),
                        defaults.fairness(),
                        defaults.routing(),
                        defaults.health(),
                        retry);
        return parts.withSchedulers(
                (settings, rules) ->
                        new FairScheduler(
                                options, ShareRules.EQUAL, "i1", settings.location(), SEED));
    }

    // These tests depend on the order of the engines and ignore the retry budget.
    private static InstanceParts withRoundRobin(InstanceParts parts) {
        return parts.withSchedulers((settings, rules) -> new RoundRobinScheduler());
    }

    private static List<EngineOptions> slow(int engines) {
        List<EngineOptions> options = new ArrayList<>();
        for (int i = 1; i <= engines; i++) {
            options.add(TestFleet.slow("e" + i, 3));
        }
        return options;
    }

    private static EngineStandin killBusiest(
            TestFleet fleet, List<Future<TestCaller.Stream>> answers, int tokens)
            throws InterruptedException {
        try {
            TestFleet.await(
                    "all generations of the wave run",
                    Duration.ofSeconds(10),
                    () -> fleet.engines().stream().mapToInt(EngineStandin::running).sum() >= WAVE);
        } catch (AssertionError e) {
            List<String> engines = new ArrayList<>();
            fleet.engines()
                    .forEach(engine -> engines.add(engine.running() + " of " + engine.counts()));
            long ended = answers.stream().filter(Future::isDone).count();
            throw new AssertionError(
                    e.getMessage() + "; engines " + engines + ", answers ended " + ended, e);
        }
        EngineStandin victim =
                fleet.engines().stream()
                        .max(Comparator.comparingInt(EngineStandin::running))
                        .orElseThrow();
        victim.faults().dieAfterTokens(tokens);
        fleet.engines().forEach(engine -> engine.faults().stall(false));
        return victim;
    }

    /**
     * Guards against a request that is stopped for crashing engines because an unreachable engine
     * refused it.
     */
    @Test
    void unreachableEngineDoesNotCountAsALossOfTheRequest() throws Exception {
        AtomicInteger losses = new AtomicInteger();
        DecisionSink sink =
                (DecisionSink)
                        Proxy.newProxyInstance(
                                DecisionSink.class.getClassLoader(),
                                new Class<?>[] {DecisionSink.class},
                                (proxy, method, arguments) -> {
                                    if (method.getName().equals("lost")) {
                                        losses.incrementAndGet();
                                    }
                                    return null;
                                });
        try (TestFleet fleet =
                new TestFleet(
                        List.of(TestFleet.slow("e1", 20), TestFleet.slow("e2", 20)),
                        Limits.DEFAULT,
                        Map.of(),
                        parts -> parts.withSink(sink))) {
            TestCaller.Stream stream = fleet.caller().open(TestFleet.body("p", 3, 60, true));
            stream.read(tokens -> tokens >= 10);
            EngineStandin first = fleet.engine(fleet.engine(0).running() == 1 ? 0 : 1);
            EngineStandin other = fleet.engine(fleet.engine(0) == first ? 1 : 0);
            other.kill();
            first.kill();
            TestFleet.await(
                    "the next attempt was refused", Duration.ofSeconds(5), () -> losses.get() >= 2);
            other.restart();
            assertThat(stream.readAll().mTokens).isEqualTo(TestFleet.expected("p", 3, 60));
        }
    }
}
