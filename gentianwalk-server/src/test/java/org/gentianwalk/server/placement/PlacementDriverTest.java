package org.gentianwalk.server.placement;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.gentianwalk.core.lease.LeaseHolder;
import org.gentianwalk.core.lease.LeaseTerm;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.placement.ModelDemand;
import org.gentianwalk.core.placement.PlacementRules;
import org.gentianwalk.core.platform.WeightStore;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.standin.platform.MemoryTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests orders to engines over HTTP: fencing token, wait of a new holder, repetition and state
 * checks.
 */
class PlacementDriverTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<ModelDemand> DEMAND = List.of(new ModelDemand("b", 0, 500));

    private final ManualTicker mTicker = new ManualTicker();
    private final HttpEngineOrders mOrders = new HttpEngineOrders();
    private final AtomicInteger mLoads = new AtomicInteger();
    private Engine mFencing;
    private Engine mPlain;
    private Optional<LeaseTerm> mTerm = Optional.empty();

    /** An engine that keeps its target and optionally refuses old fencing tokens. */
    private static final class Engine implements AutoCloseable {
        final HttpServer mServer;
        final boolean mChecksToken;
        volatile JsonNode mTarget;
        volatile long mToken;
        final AtomicInteger mAccepted = new AtomicInteger();

        Engine(boolean checksToken) throws IOException {
            mChecksToken = checksToken;
            reset();
            mServer =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            mServer.createContext("/orders", this::order);
            mServer.createContext(
                    "/state",
                    exchange -> {
                        ObjectNode state = JSON.createObjectNode().put("fencing", mToken);
                        state.set("target", mTarget);
                        answer(exchange, 200, state.toString());
                    });
            mServer.start();
        }

        void reset() throws IOException {
            mTarget = JSON.readTree("{\"models\":[\"a\"],\"adapters\":[\"x\"],\"role\":\"r\"}");
        }

        private void order(HttpExchange exchange) throws IOException {
            JsonNode order = JSON.readTree(exchange.getRequestBody());
            if (mChecksToken && order.path("fencing").asLong() < mToken) {
                answer(exchange, 409, "{\"error\":\"stale_fencing\"}");
                return;
            }
            mToken = order.path("fencing").asLong();
            mTarget = order.path("target");
            mAccepted.incrementAndGet();
            answer(exchange, 200, "{}");
        }

        private static void answer(HttpExchange exchange, int status, String body)
                throws IOException {
            exchange.sendResponseHeaders(status, body.length());
            exchange.getResponseBody().write(body.getBytes(StandardCharsets.UTF_8));
            exchange.close();
        }

        UpstreamInfo info(String id) {
            return new UpstreamInfo(
                    id,
                    URI.create("http://127.0.0.1:" + mServer.getAddress().getPort()),
                    new Location("east", "gent"),
                    Set.of("a"),
                    8,
                    1000,
                    10_000,
                    mChecksToken ? Set.of(Capability.FENCING) : Set.of());
        }

        @Override
        public void close() {
            mServer.stop(0);
        }
    }

    @BeforeEach
    void start() throws IOException {
        mFencing = new Engine(true);
        mPlain = new Engine(false);
    }

    @AfterEach
    void stop() {
        mFencing.close();
        mPlain.close();
        mOrders.close();
    }

    private PlacementDriver driver() {
        WeightStore weights =
                model -> {
                    mLoads.incrementAndGet();
                    return new WeightStore.Grant.Granted();
                };
        return new PlacementDriver(
                () -> mTerm, mOrders, weights, PlacementRules.defaults(), mTicker);
    }

    private void acquire(long fencing) {
        long now = mTicker.nanos();
        mTerm = Optional.of(new LeaseTerm(fencing, now, now + Duration.ofHours(1).toNanos()));
    }

    @Test
    void sendsWholeTargetsUnderTheLeaseAndRepeatsThemWhenTheStateDiffers() throws IOException {
        PlacementDriver driver = driver();
        List<UpstreamInfo> engines = List.of(mFencing.info("f1"), spare("s1"));
        assertThat(driver.step(DEMAND, engines)).as("without the lease").isZero();
        acquire(7);
        assertThat(driver.step(DEMAND, engines)).isEqualTo(1);
        assertThat(mFencing.mToken).isEqualTo(7);
        assertThat(mFencing.mTarget.toString())
                .isEqualTo("{\"models\":[\"b\"],\"adapters\":[\"x\"],\"role\":\"r\"}");
        assertThat(driver.step(DEMAND, engines)).as("confirmed").isZero();
        mFencing.mToken = 8;
        mTerm = Optional.empty();
        driver.step(DEMAND, engines);
        acquire(7);
        mFencing.reset();
        assertThat(driver.step(DEMAND, engines)).as("an old token is refused").isZero();
        acquire(9);
        assertThat(driver.step(DEMAND, engines)).isEqualTo(1);
        mFencing.reset();
        assertThat(driver.step(DEMAND, engines)).as("the state was checked").isEqualTo(1);
        assertThat(mLoads).as("one load per order").hasValue(4);
    }

    /**
     * Returns a second engine that serves model a, so that the first one may be given another
     * model.
     */
    private UpstreamInfo spare(String id) {
        return mPlain.info(id);
    }

    @Test
    void anEngineWithoutFencingGetsItsFirstOrderAfterTheWait() throws IOException {
        PlacementDriver driver = driver();
        try (Engine other = new Engine(false)) {
            List<UpstreamInfo> engines = List.of(mPlain.info("p1"), other.info("p2"));
            acquire(3);
            assertThat(driver.step(DEMAND, engines)).isZero();
            mTicker.advance(Duration.ofSeconds(20).minusNanos(1));
            assertThat(driver.step(DEMAND, engines)).isZero();
            mTicker.advance(Duration.ofNanos(1));
            assertThat(driver.step(DEMAND, engines)).isEqualTo(1);
            assertThat(mPlain.mAccepted.get() + other.mAccepted.get()).isEqualTo(1);
        }
    }

    @Test
    void aReleasedLeaseGoesToTheNextCandidateWithAHigherToken() throws InterruptedException {
        MemoryTable table = new MemoryTable();
        BooleanSupplier always = () -> true;
        Ticker ticker = Ticker.system();
        LeaseRunner first =
                LeaseRunner.start(new LeaseHolder("p", "i1", 1, 0), table, ticker, always);
        await(() -> first.term().isPresent());
        try (LeaseRunner second =
                LeaseRunner.start(new LeaseHolder("p", "i2", 1, 0), table, ticker, always)) {
            assertThat(first.term().orElseThrow().fencing()).isEqualTo(1);
            first.close();
            assertThat(first.term()).isEmpty();
            await(() -> second.term().isPresent());
            assertThat(second.term().orElseThrow().fencing()).isEqualTo(2);
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.sleep(5);
        }
    }
}
