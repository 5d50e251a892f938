package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.core.route.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that ends one upstream after the other, since it is not recognized when
 * it comes again, on real sockets.
 */
class CrashingRequestTest {
    private static final int UPSTREAMS = 24;
    private static final int ARRIVALS = 6;
    private static final String CRASHING = "/crashing/x";

    /** Longer than the time after a loss from which the end of an entry confirms it. */
    private static final long PAUSE_MILLIS = 1_100;

    /** Two upstreams for each of the losses that convict what requests share. */
    private static final int MAX_CRASHES = 6;

    /** Plays all kinds of requests to both kinds of services beside each other. */
    @Test
    void aRequestThatComesAgainSoonReachesNoUpstream() throws Exception {
        List<Callable<Void>> cases = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            cases.add(() -> new Deployment(kind, GatewayFleet.DESK).play());
            cases.add(() -> new Deployment(kind, GatewayFleet.WRITER).play());
        }
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Future<Void> result : executor.invokeAll(cases)) {
                result.get();
            }
        }
    }

    /** An instance and the upstreams of a service, which requests to one route crash. */
    private static final class Deployment {
        private final RequestKind mKind;
        private final String mService;
        private final Set<String> mCrashed = ConcurrentHashMap.newKeySet();
        private final List<ScriptedUpstream> mUpstreams = new ArrayList<>();

        Deployment(RequestKind kind, String service) {
            mKind = kind;
            mService = service;
        }

        Void play() throws Exception {
            try (GatewayFleet fleet = new GatewayFleet()) {
                GatewayFleet.Instance instance = start(fleet);
                for (int i = 0; i < ARRIVALS; i++) {
                    call(instance, CRASHING, "crashing-" + i);
                    assertThat(call(instance, "/sound/x", "sound-" + i).body())
                            .as("a stream with other content")
                            .contains("id: 2\ndata: x\n\n");
                    Thread.sleep(PAUSE_MILLIS);
                    // A crashed upstream misses its heartbeats.
                    mCrashed.forEach(id -> fleet.store().remove(PlainRows.UPSTREAMS, id));
                }

                String name = mKind + " to " + mService;
                int crashes = mCrashed.size();
                assertThat(crashes).as(name).isBetween(2, MAX_CRASHES);
                RawCaller.Response last = call(instance, CRASHING, "last");
                assertThat(last.status()).as(name).isEqualTo(503);
                assertThat(last.headers()).as(name).containsKey("retry-after");
                assertThat(mCrashed).as(name).hasSize(crashes);
                return null;
            } finally {
                for (ScriptedUpstream upstream : mUpstreams) {
                    upstream.close();
                }
            }
        }

        private GatewayFleet.Instance start(GatewayFleet fleet) throws Exception {
            Duration limit = Duration.ofSeconds(8);
            RequestKind sound = RequestKind.RESUMABLE_STREAM;
            fleet.configure(
                    List.of(
                            GatewayFleet.route("crashing", mKind, limit, mService),
                            GatewayFleet.route("sound", sound, limit, mService)),
                    List.of(
                            GatewayFleet.plainService(GatewayFleet.DESK),
                            GatewayFleet.engineService(GatewayFleet.WRITER)),
                    CallerLimits.UNCONFIGURED,
                    Map.of());
            for (int i = 0; i < UPSTREAMS; i++) {
                ScriptedUpstream upstream = new ScriptedUpstream("u" + i, this::respond);
                mUpstreams.add(upstream);
                fleet.list(upstream.entry(mService, List.of("a", "b", "c").get(i % 3)));
            }
            return fleet.start("i1", "a", Duration.ofSeconds(8));
        }

        private void respond(
                ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
                throws IOException {
            if (request.id().isEmpty()) {
                connection.write(ScriptedUpstream.success(request, "alive"));
            } else if (request.target().equals(CRASHING)) {
                crash(connection);
            } else {
                connection.write(ScriptedUpstream.streamHead(request));
                connection.write("id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
                connection.socket().close();
            }
        }

        /** Ends the upstream of a connection: nothing listens any more, connections are reset. */
        private void crash(ScriptedUpstream.Connection connection) throws IOException {
            String address = "127.0.0.1:" + connection.socket().getLocalPort();
            for (ScriptedUpstream upstream : mUpstreams) {
                if (upstream.entry(mService, "a").address().equals(address)) {
                    mCrashed.add(upstream.id());
                    upstream.close();
                }
            }
            connection.reset();
        }
    }

    private static RawCaller.Response call(GatewayFleet.Instance instance, String target, String id)
            throws IOException {
        try (RawCaller caller = instance.caller()) {
            return caller.call(target, id);
        }
    }
}
