package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an upstream whose bytes fill the memory of an instance, and end the requests of
 * all its callers. Fifty connections carry such bytes at once, while other calls are served. The
 * callers of the fifty do not read.
 */
class EndlessBytesTest {
    private static final int CONNECTIONS = 50;

    private static final int KIB = 1 << 10;

    /**
     * Bytes that one request may retain: an incomplete event or a buffered response of 256 KiB, in
     * an array that has doubled; what waits for the caller, 128 KiB as the channel counts them and
     * as much for its bookkeeping; one read that is held behind that, and one that is being parsed,
     * 64 KiB each.
     */
    private static final int MAX_BYTES_PER_REQUEST = (2 * 256 + 2 * 128 + 2 * 64) * KIB;

    private static final int SOUND_CALLS = 20;

    /** What the faulty upstream sends after the head of its response. */
    private enum Form {
        NO_LINE("/stream/", STREAM, "x"),
        ONE_EVENT("/stream/", STREAM, "data: x\n"),
        EMPTY_LINES("/stream/", STREAM, "\n"),
        EVENT_OF_ALMOST_MAXIMUM_SIZE("/stream/", STREAM, "x") {
            @Override
            int blocks() {
                return 255 * KIB / BLOCK_BYTES;
            }
        },
        BODY("/safe/", SIGNED, "x"),
        UNSIGNED_BODY("/safe/", "HTTP/1.1 200 OK\r\n", "x"),
        ERROR("/safe/", "HTTP/1.1 500 Broken\r\n", "x");

        private final String mRoute;
        private final String mHead;
        private final byte[] mBlock;

        Form(String route, String head, String unit) {
            mRoute = route;
            mHead = head;
            mBlock = unit.repeat(BLOCK_BYTES / unit.length()).getBytes(StandardCharsets.ISO_8859_1);
        }

        /** Returns the number of blocks after which the upstream goes silent. */
        int blocks() {
            return Integer.MAX_VALUE;
        }
    }

    private static final int BLOCK_BYTES = 8 * KIB;
    private static final String SIGNED = "HTTP/1.1 200 OK\r\nx-signed: 1\r\n";
    private static final String STREAM = SIGNED + "x-events: 1\r\n";

    @ParameterizedTest
    @EnumSource
    void memoryIsBoundedAndOtherCallsAreServed(Form form) throws Exception {
        boolean stream = form.mRoute.equals("/stream/");
        AtomicLong sent = new AtomicLong();
        List<RawCaller> callers = new ArrayList<>();
        List<ScriptedUpstream> upstreams = new ArrayList<>();
        ScriptedUpstream.Script script =
                (request, connection) -> {
                    if (request.target().startsWith("/alive")) {
                        connection.write(ScriptedUpstream.success(request, "alive"));
                        return;
                    }
                    connection.write(form.mHead + "x-id: " + request.id() + "\r\n\r\n");
                    for (int i = 0; i < form.blocks(); i++) {
                        connection.output().write(form.mBlock);
                        sent.addAndGet(form.mBlock.length);
                    }
                    connection.socket().getInputStream().read();
                };
        try (GatewayFleet fleet = new GatewayFleet();
                ScriptedUpstream sound =
                        new ScriptedUpstream("sound", EndlessBytesTest::respondSoundly)) {
            // An engine gets its next prompt after the first event, which may never come.
            for (int i = 0; i < CONNECTIONS; i++) {
                ScriptedUpstream faulty = new ScriptedUpstream("faulty-" + i, script);
                upstreams.add(faulty);
                fleet.list(faulty.entry(stream ? GatewayFleet.WRITER : GatewayFleet.DESK, "a"));
            }
            fleet.list(sound.entry(stream ? GatewayFleet.DESK : GatewayFleet.WRITER, "a"));
            GatewayFleet.Instance instance = fleet.start("i1", "a", Duration.ofSeconds(8));
            String soundRoute = stream ? "/safe/" : "/stream/";
            call(instance, soundRoute, "first");
            long before = usedBytes();

            for (int i = 0; i < CONNECTIONS; i++) {
                RawCaller caller = instance.caller();
                callers.add(caller);
                caller.send(form.mRoute + "a", "endless-" + i);
            }
            long awaited = (long) Math.min(form.blocks(), 31) * BLOCK_BYTES * CONNECTIONS;
            GatewayFleet.await(
                    "the faulty upstreams send",
                    Duration.ofSeconds(10),
                    () -> sent.get() >= awaited);
            long most = 0;
            for (int i = 0; i < SOUND_CALLS; i++) {
                call(instance, soundRoute, "sound-" + i);
                if (i % 4 == 0) {
                    most = Math.max(most, usedBytes() - before);
                }
            }

            assertThat(most)
                    .as("growth of the memory in use, after %d bytes", sent.get())
                    .isLessThan((long) CONNECTIONS * MAX_BYTES_PER_REQUEST);
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
            for (ScriptedUpstream upstream : upstreams) {
                upstream.close();
            }
        }
    }

    private static void call(GatewayFleet.Instance instance, String route, String id)
            throws Exception {
        try (RawCaller caller = instance.caller()) {
            RawCaller.Response response = caller.call(route + "a", id);
            assertThat(response).as("response to %s", id).isNotNull();
            assertThat(response.status()).as("status of %s", id).isEqualTo(200);
            assertThat(response.complete()).as("%s is whole", id).isTrue();
        }
    }

    private static void respondSoundly(
            ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws Exception {
        if (request.target().startsWith("/stream/")) {
            connection.write(ScriptedUpstream.streamHead(request) + "id: 1\ndata: a\n\n");
            connection.socket().close();
        } else {
            connection.write(ScriptedUpstream.success(request, "whole"));
        }
    }

    /** Returns the memory in use after a collection: heap, and direct buffers of the traffic. */
    private static long usedBytes() {
        System.gc();
        ByteBufAllocatorMetric metric =
                ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                + metric.usedDirectMemory();
    }
}
