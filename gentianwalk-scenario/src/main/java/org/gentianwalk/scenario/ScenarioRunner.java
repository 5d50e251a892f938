package org.gentianwalk.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.check.HistoryChecks;
import org.gentianwalk.history.check.ResumeCheck;

/**
 * Runs a scenario on loopback with real instances and stand-ins, and checks its history.
 *
 * <p>Options: the scenario. Example: {@code ScenarioRunner.run(ScenarioFile.read(file))}.
 */
public final class ScenarioRunner {
    /** Lag of the platform stand-in's instance list. */
    static final Duration LIST_LAG =
            org.gentianwalk.standin.platform.PlatformStandin.Options.LIST_LAG;

    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    /** A configuration must be in force within 5 s; the observer looks a little longer. */
    private static final Duration CONFIG_SETTLE = Duration.ofMillis(5500);

    private final Scenario mScenario;
    private final History mHistory = new History();
    private final ScenarioOracle mOracle = new ScenarioOracle();

    private ScenarioRunner(Scenario scenario) {
        mScenario = scenario;
    }

    /**
     * Runs a scenario.
     *
     * @param scenario the scenario
     * @return what was observed
     * @throws Exception if the run could not be made, for example for lack of a free port
     */
    public static ScenarioResult run(Scenario scenario) throws Exception {
        return new ScenarioRunner(scenario).run();
    }

    private ScenarioResult run() throws Exception {
        try (ScenarioCluster cluster = new ScenarioCluster(mScenario.topology(), mScenario.seed());
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            RunClock clock = new RunClock();
            try (ScenarioCallers callers =
                            new ScenarioCallers(cluster, mHistory, clock, mScenario.seed());
                    RunObserver observer = new RunObserver(cluster, mHistory, clock)) {
                observer.start();
                FaultRunner faults =
                        new FaultRunner(
                                cluster, callers, mOracle, observer, mHistory, clock, threads);
                Duration start = Duration.ofNanos(clock.nanos());
                List<Future<?>> running = new ArrayList<>();
                List<RequestKey> calls = new ArrayList<>();
                List<Future<Boolean>> generations = new ArrayList<>();
                List<Future<Boolean>> answers = new ArrayList<>();
                for (Fault fault : mScenario.faults()) {
                    running.add(
                            threads.submit(
                                    (Callable<Void>)
                                            () -> {
                                                faults.run(fault, start);
                                                return null;
                                            }));
                }
                submitGenerations(threads, callers, clock, start, generations);
                submitCalls(threads, callers, clock, start, calls, answers);
                for (Future<?> fault : running) {
                    fault.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
                }
                int completed = countTrue(generations);
                int answered = countTrue(answers);
                if (mScenario.guarantees().contains("P8")) {
                    Thread.sleep(CONFIG_SETTLE);
                }
                observer.recordExecutions(calls);
                return result(completed, answered, faults.crashed());
            }
        }
    }

    private void submitGenerations(
            ExecutorService threads,
            ScenarioCallers callers,
            RunClock clock,
            Duration start,
            List<Future<Boolean>> generations) {
        Scenario.Workload workload = mScenario.workload();
        for (int i = 0; i < workload.generations(); i++) {
            Duration due = dueTime(start, i, workload.generations());
            ScenarioCallers.Request request =
                    new ScenarioCallers.Request(
                            "caller-" + i,
                            new RequestKey(ScenarioSettings.TEAMS.get(i % 2), "generation-" + i),
                            workload.rank(),
                            workload.tokens(),
                            mScenario.seed() + i,
                            true);
            mOracle.add(request);
            generations.add(
                    threads.submit(
                            () -> {
                                clock.sleepUntil(due);
                                return callers.generate(request);
                            }));
        }
    }

    private void submitCalls(
            ExecutorService threads,
            ScenarioCallers callers,
            RunClock clock,
            Duration start,
            List<RequestKey> keys,
            List<Future<Boolean>> answers) {
        Scenario.Workload workload = mScenario.workload();
        for (int i = 0; i < workload.calls(); i++) {
            Duration due = dueTime(start, i, workload.calls());
            RequestKey key = new RequestKey(ScenarioSettings.TEAMS.get(i % 2), "call-" + i);
            ScenarioCallers.Request request =
                    new ScenarioCallers.Request("buyer-" + i, key, Rank.URGENT, 0, 0, true);
            keys.add(key);
            mOracle.add(request);
            answers.add(
                    threads.submit(
                            () -> {
                                clock.sleepUntil(due);
                                return callers.call(request);
                            }));
        }
    }

    private Duration dueTime(Duration start, int number, int count) {
        return start.plus(mScenario.workload().over().multipliedBy(number).dividedBy(count));
    }

    private ScenarioResult result(int completed, int answered, int crashed) {
        List<Duration> resumes = ResumeCheck.resumeTimes(mHistory);
        ScenarioResult.Figures figures =
                new ScenarioResult.Figures(
                        mScenario.workload().generations(),
                        completed,
                        mScenario.workload().calls(),
                        answered,
                        unknownCalls(),
                        resumes.size(),
                        resumes.isEmpty() ? Duration.ZERO : resumes.getLast());
        return new ScenarioResult(
                mHistory, HistoryChecks.run(mHistory, mOracle), unmet(figures, crashed), figures);
    }

    private List<String> unmet(ScenarioResult.Figures figures, int crashed) {
        Scenario.Expectations expect = mScenario.expect();
        List<String> unmet = new ArrayList<>();
        if (expect.completed() != null) {
            require(
                    unmet,
                    "completed",
                    figures.completed(),
                    expect.completed(),
                    figures.generations());
        }
        if (expect.answeredCalls() != null) {
            require(unmet, "answered", figures.answered(), expect.answeredCalls(), figures.calls());
        }
        if (figures.losses() < expect.resumed()) {
            unmet.add("only " + figures.losses() + " losses during output");
        }
        if (crashed > 2) {
            unmet.add("a crashing request ended " + crashed + " engines, at most 2 are allowed");
        }
        return unmet;
    }

    private static void require(
            List<String> unmet, String what, int count, double part, int total) {
        if (count < part * total) {
            unmet.add(what + " " + count + " of " + total + ", expected " + part);
        }
    }

    private int unknownCalls() {
        int unknown = 0;
        for (HistoryEvent.Failed failed : mHistory.events(HistoryEvent.Failed.class)) {
            unknown += failed.outcome() == Outcome.UNKNOWN ? 1 : 0;
        }
        return unknown;
    }

    private static int countTrue(List<Future<Boolean>> futures) throws Exception {
        int count = 0;
        for (Future<Boolean> future : futures) {
            count += future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS) ? 1 : 0;
        }
        return count;
    }
}
