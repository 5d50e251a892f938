package org.gentianwalk.core.dispatch;

import static org.gentianwalk.core.dispatch.Samples.MS;
import static org.gentianwalk.core.dispatch.Samples.SECOND;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongConsumer;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.route.RequestKind;

/**
 * Model of a plain service without network: instances in six zones of two regions send calls to one
 * upstream in each zone. Answers state the load of their upstream as it was some time before.
 */
final class CallPlacementModel {
    private static final int UPSTREAMS = 6;
    private static final int SLOTS = 6;
    private static final double SERVICE_NANOS = 30e6;
    private static final long WINDOW = 250 * MS;
    private static final long WARM_UP = 10 * SECOND;
    private static final Map<String, String> ZONES =
            Map.of("a", "n", "b", "n", "c", "n", "d", "s", "e", "s", "f", "s");

    private final Scenario mScenario;
    private final Random mRandom;
    private final List<CallScheduler> mInstances = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final List<Double> mLatencies = new ArrayList<>();
    private final List<Double> mPeaks = new ArrayList<>();
    private final double[] mPlaced = new double[UPSTREAMS];
    private long mUnequalNanos;
    private long mIdleNanos;
    private long mNow;
    private int mFar;
    private int mRefused;

    /**
     * Conditions of a run.
     *
     * @param load mean load of the slots
     * @param reportAge age of the loads that answers state
     * @param speeds speed of the upstreams in turn
     * @param wave relative amplitude of the arrivals with a period of 11 s, out of phase
     */
    record Scenario(
            int instances, double load, long reportAge, double[] speeds, double wave, long nanos) {}

    /**
     * Figures of a run.
     *
     * @param medianPeak median over windows of the largest number of placements to the mean, in
     *     relation to the speeds
     * @param highPeak its 90th percentile
     * @param maxPeak its maximum
     * @param p99Millis 99th percentile of the time until the answer
     * @param unequal fraction of time in which an upstream queues while another has a free slot
     * @param idle fraction of time in which an upstream queues while another has no call
     * @param far fraction of calls that went to the other region
     * @param refused number of calls that got no upstream
     */
    record Figures(
            double medianPeak,
            double highPeak,
            double maxPeak,
            double p99Millis,
            double unequal,
            double idle,
            double far,
            int refused) {}

    private record Event(long at, Runnable action) {}

    /** An upstream: a queue in front of its slots. */
    private static final class Server {
        final Upstream mUpstream;
        final double mSpeed;
        final Deque<Runnable> mQueue = new ArrayDeque<>();
        final Deque<long[]> mLoads = new ArrayDeque<>();
        int mRunning;

        Server(Upstream upstream, double speed) {
            mUpstream = upstream;
            mSpeed = speed;
        }

        int load() {
            return mRunning + mQueue.size();
        }

        void record(long now, long age) {
            mLoads.add(new long[] {now, load()});
            while (mLoads.size() > 1 && now - mLoads.peekFirst()[0] > age) {
                mLoads.removeFirst();
            }
        }
    }

    CallPlacementModel(Scenario scenario, PlacementPolicy.Kind placement, long seed) {
        mScenario = scenario;
        mRandom = new Random(seed);
        List<String> zones = List.of("a", "b", "c", "d", "e", "f");
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(Samples.upstream("u" + i, zones.get(i)));
            mServers.add(
                    new Server(upstreams.get(i), scenario.speeds()[i % scenario.speeds().length]));
        }
        for (int i = 0; i < scenario.instances(); i++) {
            String zone = zones.get(i % zones.size());
            CallScheduler instance =
                    new CallScheduler(
                            "service",
                            new LocationMap(new Location(ZONES.get(zone), zone), ZONES),
                            new FleetRetryBudget(new RetryBounds(0.2, 20, Duration.ofSeconds(10))),
                            Samples.limits(),
                            placement,
                            new Random(seed + i));
            instance.replaceUpstreams(upstreams, 0);
            mInstances.add(instance);
        }
    }

    Figures run() {
        double speed = mServers.stream().mapToDouble(server -> server.mSpeed).sum();
        double perNano = mScenario.load() * speed * SLOTS / SERVICE_NANOS;
        double maxPerNano = perNano * (1 + mScenario.wave());
        long id = 0;
        long window = WARM_UP;
        long last = 0;
        for (long now = 0; now < WARM_UP + mScenario.nanos(); ) {
            long arrival = now + Math.round(-Math.log(1 - mRandom.nextDouble()) / maxPerNano);
            while (!mEvents.isEmpty() && mEvents.peek().at() <= arrival) {
                Event event = mEvents.poll();
                last = observe(last, event.at());
                event.action().run();
            }
            last = observe(last, arrival);
            now = arrival;
            for (; now >= window + WINDOW; window += WINDOW) {
                endWindow(speed);
            }
            int instance = mRandom.nextInt(mScenario.instances());
            double phase = 2 * Math.PI * (now / (11.0 * SECOND) + instance % UPSTREAMS / 6.0);
            if (mRandom.nextDouble() * (1 + mScenario.wave())
                    < 1 + mScenario.wave() * Math.sin(phase)) {
                offer(++id, instance, now);
            }
        }
        double[] latencies = mLatencies.stream().mapToDouble(x -> x).sorted().toArray();
        double[] peaks = mPeaks.stream().mapToDouble(x -> x).sorted().toArray();
        return new Figures(
                peaks[peaks.length / 2],
                peaks[peaks.length * 9 / 10],
                peaks[peaks.length - 1],
                latencies[latencies.length * 99 / 100],
                (double) mUnequalNanos / mScenario.nanos(),
                (double) mIdleNanos / mScenario.nanos(),
                (double) mFar / latencies.length,
                mRefused);
    }

    private long observe(long from, long to) {
        if (from >= WARM_UP && mServers.stream().anyMatch(server -> !server.mQueue.isEmpty())) {
            int least = mServers.stream().mapToInt(server -> server.mRunning).min().orElse(SLOTS);
            mUnequalNanos += least < SLOTS ? to - from : 0;
            mIdleNanos += least == 0 ? to - from : 0;
        }
        return to;
    }

    private void endWindow(double speed) {
        double sum = Arrays.stream(mPlaced).sum();
        double peak = 0;
        for (int i = 0; i < UPSTREAMS; i++) {
            peak = Math.max(peak, mPlaced[i] / sum * speed / mServers.get(i).mSpeed);
        }
        if (sum > 0) {
            mPeaks.add(peak);
        }
        Arrays.fill(mPlaced, 0);
    }

    private void offer(long id, int instance, long now) {
        CallScheduler scheduler = mInstances.get(instance);
        scheduler.offer(Samples.call(id, RequestKind.SINGLE_CALL, 1, now), now);
        List<Decision.Start> starts = Samples.starts(scheduler.advance(now));
        if (starts.isEmpty()) {
            mRefused++;
            return;
        }
        int index = starts.getFirst().upstream().id().charAt(1) - '0';
        Server server = mServers.get(index);
        boolean far = index / 3 != instance % UPSTREAMS / 3;
        long trip = far ? 12 * MS : MS;
        boolean counts = now >= WARM_UP;
        if (counts) {
            mPlaced[index]++;
            mFar += far ? 1 : 0;
        }
        at(
                now + trip,
                () ->
                        arrive(
                                server,
                                now + trip,
                                end -> {
                                    long load = server.mLoads.peekFirst()[1];
                                    at(
                                            end + trip,
                                            () -> {
                                                scheduler.recordLoad(
                                                        id,
                                                        new UpstreamLoad(
                                                                (int) Math.min(load, SLOTS),
                                                                (int) Math.max(0, load - SLOTS)),
                                                        end + trip);
                                                scheduler.recordAttemptEnd(
                                                        id, 1, AttemptEnd.SUCCEEDED, end + trip);
                                                scheduler.advance(end + trip);
                                                if (counts) {
                                                    mLatencies.add((end + trip - now) / 1e6);
                                                }
                                            });
                                }));
    }

    private void arrive(Server server, long now, LongConsumer onEnd) {
        long[] startedAt = {now};
        Runnable start =
                () -> {
                    server.mRunning++;
                    double nanos =
                            -Math.log(1 - mRandom.nextDouble()) * SERVICE_NANOS / server.mSpeed;
                    long end = startedAt[0] + Math.round(nanos);
                    at(
                            end,
                            () -> {
                                server.mRunning--;
                                onEnd.accept(end);
                                Runnable next = server.mQueue.pollFirst();
                                if (next != null) {
                                    mNow = end;
                                    next.run();
                                }
                                server.record(end, mScenario.reportAge());
                            });
                };
        if (server.mRunning < SLOTS) {
            start.run();
        } else {
            server.mQueue.add(
                    () -> {
                        startedAt[0] = mNow;
                        start.run();
                    });
        }
        server.record(now, mScenario.reportAge());
    }

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, action));
    }
}
