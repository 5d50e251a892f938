package org.gentianwalk.core.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against requests that are routed to the wrong service. */
class RouteTableTest {
    private final RouteTable mTable =
            new RouteTable(
                    7,
                    List.of(
                            route("outer", "a.example", "/api/", "one"),
                            route("inner", "a.example", "/api/deep/", "two"),
                            route("other", "b.example", "/api/", "three")),
                    List.of(new ServiceSpec("one", "/healthz", 10, null)),
                    CallerLimits.UNCONFIGURED,
                    Map.of("key-1", new Team("north", OptionalInt.of(1))));

    @Test
    void theLongestPrefixOfTheHostWins() {
        assertThat(name("a.example", "/api/x")).isEqualTo("outer");
        assertThat(name("a.example", "/api/deep/x/y")).isEqualTo("inner");
        assertThat(name("b.example", "/api/deep/x")).isEqualTo("other");
    }

    @Test
    void aPrefixMatchesOnlyWholeSegments() {
        assertThat(name("a.example", "/api/deeper/x")).isEqualTo("outer");
        assertThat(name("a.example", "/apixx/y")).isNull();
        assertThat(name("a.example", "/api")).isNull();
    }

    @Test
    void theQueryIsIgnored() {
        assertThat(name("a.example", "/x?next=/api/")).isNull();
        assertThat(name("a.example", "/api/?q=/api/deep/")).isEqualTo("outer");
    }

    @Test
    void caseAndPortOfTheHostAreIgnored() {
        assertThat(name("A.Example:8740", "/api/x")).isEqualTo("outer");
        assertThat(name("c.example", "/api/x")).isNull();
    }

    /** A service with different targets orders its requests by them. */
    @Test
    void theTargetsOfAServiceAreThoseOfItsRoutes() {
        Route tight = route("tight", "a.example", "/tight/", "one");
        Route loose =
                new Route(
                        "loose",
                        "a.example",
                        "/loose/",
                        tight.kind(),
                        tight.timeout(),
                        Duration.ofSeconds(10),
                        Duration.ZERO,
                        2,
                        List.of(new Route.Target("one", 1), new Route.Target("two", 0)),
                        1,
                        false);
        RouteTable table =
                new RouteTable(
                        1, List.of(tight, loose), List.of(), CallerLimits.UNCONFIGURED, null);

        assertThat(table.latencyTargets("one"))
                .containsExactlyInAnyOrder(Duration.ofMillis(100), Duration.ofSeconds(10));
        assertThat(table.latencyTargets("two")).isEmpty();
    }

    @Test
    void anUnknownKeyHasNoTeam() {
        assertThat(mTable.requiresKey()).isTrue();
        assertThat(mTable.team("key-1")).isNotNull();
        assertThat(mTable.team("key-2")).isNull();
    }

    @Test
    void aConfigurationWithoutTeamsNeedsNoKey() {
        RouteTable open = new RouteTable(1, List.of(), List.of(), CallerLimits.UNCONFIGURED, null);

        assertThat(open.requiresKey()).isFalse();
    }

    @Test
    void weightsSplitTheRequests() {
        Route split =
                new Route(
                        "split",
                        "a.example",
                        "/s/",
                        RequestKind.IDEMPOTENT_CALL,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(100),
                        Duration.ZERO,
                        0,
                        List.of(new Route.Target("big", 90), new Route.Target("small", 10)),
                        1,
                        false);

        assertThat(split.service(0)).isEqualTo("big");
        assertThat(split.service(0.899)).isEqualTo("big");
        assertThat(split.service(0.901)).isEqualTo("small");
        assertThat(split.service(0.9999)).isEqualTo("small");
    }

    @Test
    void aPrefixWithoutSlashesIsRejected() {
        assertThatThrownBy(() -> route("bad", "a.example", "/api", "one"))
                .hasMessageContaining("begin and end with a slash");
    }

    private String name(String host, String target) {
        Route route = mTable.route(host, target);
        return route == null ? null : route.name();
    }

    private static Route route(String name, String host, String prefix, String service) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.SINGLE_CALL,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                2,
                List.of(new Route.Target(service, 1)),
                1,
                false);
    }
}
