package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianwalk.core.dispatch.Upstream;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are lost, repeated or answered wrongly while instances stop,
 * upstreams fail and the configuration changes. The properties {@code gentianwalk.soak.seeds} and
 * {@code gentianwalk.soak.seconds} set the number of seeds and the duration of each.
 */
class RequestSoakTest {
    private static final long FIRST_SEED = 20261205;
    private static final int SEEDS = Integer.getInteger("gentianwalk.soak.seeds", 2);
    private static final int SECONDS = Integer.getInteger("gentianwalk.soak.seconds", 8);
    private static final int CALLERS = 12;
    private static final int EVENTS = 8;
    private static final Duration GRACE = Duration.ofSeconds(3);
    private static final List<String> TARGETS = List.of("/safe/a", "/unsafe/a", "/stream/a");

    /** What the upstreams and callers of one run have seen. */
    private static final class History {
        final Map<String, Integer> mExecutions = new ConcurrentHashMap<>();
        final Map<String, String> mRefused = new ConcurrentHashMap<>();
        final Deque<GatewayFleet.Instance> mStopping = new ConcurrentLinkedDeque<>();
        final Queue<String> mViolations = new ConcurrentLinkedQueue<>();
        final Map<Integer, Integer> mStatuses = new ConcurrentHashMap<>();
    }

    @Test
    void everyRequestThatWasReadEndsAsItMay() throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            History history = run(seed);
            assertThat(history.mViolations).as("seed %d", seed).isEmpty();
            assertThat(history.mStatuses.getOrDefault(200, 0)).as("seed %d", seed).isPositive();
        }
    }

    private static History run(long seed) throws Exception {
        Random random = new Random(seed);
        History history = new History();
        AtomicBoolean running = new AtomicBoolean(true);
        List<ScriptedUpstream> upstreams = new ArrayList<>();
        List<GatewayFleet.Instance> instances = new ArrayList<>();
        try (GatewayFleet fleet = new GatewayFleet()) {
            for (int i = 0; i < 6; i++) {
                Random choices = new Random(random.nextLong());
                ScriptedUpstream upstream =
                        new ScriptedUpstream(
                                "u" + i,
                                (request, connection) ->
                                        respond(history, choices, request, connection));
                upstreams.add(upstream);
                fleet.list(entry(upstream, i, 1, false));
            }
            for (int i = 0; i < 3; i++) {
                instances.add(fleet.start("i" + i, "a", GRACE));
            }
            List<Future<?>> callers = new ArrayList<>();
            try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
                for (int i = 0; i < CALLERS; i++) {
                    Random choices = new Random(random.nextLong());
                    String name = seed + "-" + i + "-";
                    callers.add(
                            threads.submit(
                                    () -> {
                                        call(running, history, instances, choices, name);
                                        return null;
                                    }));
                }
                try {
                    disturb(history, random, fleet, upstreams, instances);
                } finally {
                    running.set(false);
                }
            }
            for (Future<?> caller : callers) {
                caller.get();
            }
        } finally {
            for (ScriptedUpstream upstream : upstreams) {
                upstream.close();
            }
        }
        check(history);
        return history;
    }

    /** Changes the list of upstreams and the configuration, and restarts instances. */
    private static void disturb(
            History history,
            Random random,
            GatewayFleet fleet,
            List<ScriptedUpstream> upstreams,
            List<GatewayFleet.Instance> instances)
            throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(SECONDS).toNanos();
        int started = instances.size();
        while (System.nanoTime() - end < 0) {
            int i = random.nextInt(upstreams.size());
            switch (random.nextInt(12)) {
                case 0 -> fleet.store().remove(PlainRows.UPSTREAMS, "u" + i);
                case 1 -> fleet.list(entry(upstreams.get(i), i, 1 + random.nextInt(3), false));
                case 2 -> fleet.list(entry(upstreams.get(i), i, 1, true));
                case 3 -> fleet.configure(Duration.ofMillis(1_000 + random.nextInt(3_000)));
                case 4 -> {
                    for (int change = random.nextInt(10); change > 0; change--) {
                        fleet.configure(Duration.ofSeconds(4));
                    }
                }
                case 5 -> {
                    int position = random.nextInt(instances.size());
                    GatewayFleet.Instance old = instances.get(position);
                    GatewayFleet.Instance next = fleet.start("n" + started++, "a", GRACE);
                    synchronized (instances) {
                        instances.set(position, next);
                    }
                    history.mStopping.add(old);
                    GatewayFleet.stop(old);
                }
                case 6 -> instances.get(random.nextInt(instances.size())).store().silent(true);
                case 7 -> instances.forEach(instance -> instance.store().silent(false));
                default -> fleet.list(entry(upstreams.get(i), i, 1, false));
            }
            Thread.sleep(random.nextInt(150));
        }
    }

    private static Upstream entry(
            ScriptedUpstream upstream, int position, long incarnation, boolean draining) {
        String service = position % 2 == 0 ? GatewayFleet.DESK : GatewayFleet.WRITER;
        Upstream entry = upstream.entry(service, "a");
        return new Upstream(
                entry.id(), incarnation, service, entry.address(), "a", entry.slots(), draining);
    }

    private static void respond(
            History history,
            Random choices,
            ScriptedUpstream.Request request,
            ScriptedUpstream.Connection connection)
            throws Exception {
        if (request.id().isEmpty()) {
            connection.write("HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int choice;
        int slowMillis;
        synchronized (choices) {
            choice = choices.nextInt(40);
            slowMillis = 200 + choices.nextInt(3_500);
        }
        if (choice == 0) {
            connection.write(ScriptedUpstream.refusal(request));
            return;
        }
        int executions = history.mExecutions.merge(request.id(), 1, Integer::sum);
        if (executions > 1 && request.target().startsWith("/unsafe/")) {
            history.mViolations.add(request.id() + " was executed " + executions + " times");
        }
        if (choice == 1) {
            connection.reset();
            return;
        }
        Thread.sleep(choice == 2 ? slowMillis : 5);
        if (!request.target().startsWith("/stream/")) {
            connection.write(ScriptedUpstream.success(request, request.id()));
            return;
        }
        connection.write(ScriptedUpstream.streamHead(request));
        int last = Integer.parseInt(request.headers().getOrDefault("x-last", "0"));
        for (int event = last + 1; event <= EVENTS; event++) {
            connection.write(event(event, request.id()));
            if (choice == 3 && event == EVENTS / 2) {
                connection.reset();
                return;
            }
            Thread.sleep(5);
        }
        connection.socket().close();
    }

    private static String event(int number, String id) {
        return "id: " + number + "\ndata: " + id + "\n\n";
    }

    private static void call(
            AtomicBoolean running,
            History history,
            List<GatewayFleet.Instance> instances,
            Random choices,
            String name)
            throws Exception {
        for (int i = 0; running.get(); ) {
            GatewayFleet.Instance instance;
            synchronized (instances) {
                instance = instances.get(choices.nextInt(instances.size()));
            }
            // Callers that do not know of a stop go on to send requests to the instance.
            GatewayFleet.Instance stopping = history.mStopping.peekLast();
            if (stopping != null && choices.nextBoolean()) {
                instance = stopping;
            }
            try (RawCaller caller = instance.caller()) {
                boolean open = true;
                while (open && running.get()) {
                    String id = name + i++;
                    String target = TARGETS.get(choices.nextInt(TARGETS.size()));
                    RawCaller.Response response;
                    try {
                        response = caller.call(target, id);
                    } catch (java.net.SocketTimeoutException e) {
                        history.mViolations.add(id + " " + target + " has no answer in time");
                        return;
                    } catch (IOException e) {
                        response = null;
                    }
                    record(history, id, target, response);
                    open =
                            response != null
                                    && response.complete()
                                    && !"close".equals(response.headers().get("connection"));
                }
            } catch (IOException e) {
                // The instance has ended; another one is chosen.
                Thread.sleep(5);
            }
        }
    }

    private static void record(
            History history, String id, String target, RawCaller.Response response) {
        if (response == null) {
            if (history.mExecutions.containsKey(id)) {
                history.mViolations.add(id + " " + target + " was executed, but not answered");
            }
            history.mStatuses.merge(0, 1, Integer::sum);
            return;
        }
        history.mStatuses.merge(response.status(), 1, Integer::sum);
        if (response.status() == 503) {
            history.mRefused.put(id, target);
        }
        if (response.status() != 200) {
            return;
        }
        boolean stream = target.startsWith("/stream/");
        StringBuilder whole = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            whole.append(event(event, id));
        }
        String expected = stream ? whole.toString() : id;
        boolean correct =
                response.complete()
                        ? response.body().equals(expected)
                        : stream && expected.startsWith(response.body());
        if (!correct) {
            history.mViolations.add(id + " " + target + " has the answer " + response);
        }
    }

    private static void check(History history) {
        history.mRefused.forEach(
                (id, target) -> {
                    if (history.mExecutions.containsKey(id)) {
                        history.mViolations.add(id + " " + target + " was refused, but executed");
                    }
                });
    }
}
