package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.core.route.Route;
import org.gentianwalk.gateway.MemoryStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against instances on sockets that serve from an old copy of the store. */
class RestoredStoreFleetTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration GRACE = Duration.ofSeconds(2);
    private static final int NOT_FOUND = 404;

    private final GatewayFleet mFleet = new GatewayFleet();

    @AfterEach
    void close() {
        mFleet.close();
    }

    /** The copy lacks the latest configuration, which only the other instance knows. */
    @Test
    void anInstanceThatStartsOnARestoredStoreServesTheConfigurationOfTheOthers() throws Exception {
        GatewayFleet.Instance first = mFleet.start("i1", "a", GRACE);
        MemoryStore.Copy copy = mFleet.store().copy();
        configureWith("added");
        awaitRoute(first, "added");

        mFleet.store().restore(copy);
        GatewayFleet.Instance second = mFleet.start("i2", "b", GRACE);

        assertThat(status(second, "added")).as("status at the start").isNotEqualTo(NOT_FOUND);
        assertThat(status(first, "added")).as("status at the other").isNotEqualTo(NOT_FOUND);
    }

    @Test
    void aChangeAfterTheReturnIsInForceAtAllInstances() throws Exception {
        GatewayFleet.Instance first = mFleet.start("i1", "a", GRACE);
        GatewayFleet.Instance second = mFleet.start("i2", "b", GRACE);
        MemoryStore.Copy copy = mFleet.store().copy();
        configureWith("lost");
        awaitRoute(first, "lost");
        awaitRoute(second, "lost");

        mFleet.store().restore(copy);
        configureWith("added");

        awaitRoute(first, "added");
        awaitRoute(second, "added");
    }

    /** Others find an instance through its row, and the copy may lack it. */
    @Test
    void anInstanceRegistersAgain() throws Exception {
        MemoryStore.Copy copy = mFleet.store().copy();
        mFleet.start("i1", "a", GRACE);
        GatewayFleet.await(
                "the registration",
                Duration.ofSeconds(10),
                () -> !mFleet.store().rows("gentianwalk-instances").isEmpty());

        mFleet.store().restore(copy);

        GatewayFleet.await(
                "the second registration",
                Duration.ofSeconds(10),
                () -> !mFleet.store().rows("gentianwalk-instances").isEmpty());
    }

    private void configureWith(String route) {
        mFleet.configure(
                List.of(route(route)),
                List.of(GatewayFleet.plainService(GatewayFleet.DESK)),
                GatewayFleet.LIMITS,
                null);
    }

    private static Route route(String name) {
        return GatewayFleet.route(name, RequestKind.IDEMPOTENT_CALL, TIMEOUT, GatewayFleet.DESK);
    }

    private static void awaitRoute(GatewayFleet.Instance instance, String route) throws Exception {
        GatewayFleet.await(
                "route " + route,
                Duration.ofSeconds(10),
                () -> {
                    try {
                        return status(instance, route) != NOT_FOUND;
                    } catch (Exception e) {
                        return false;
                    }
                });
    }

    private static int status(GatewayFleet.Instance instance, String route) throws Exception {
        try (RawCaller caller = instance.caller()) {
            RawCaller.Response response = caller.call("/" + route + "/", "check-" + route);
            assertThat(response).as("response").isNotNull();
            return response.status();
        }
    }
}
