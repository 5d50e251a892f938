package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.core.route.Route;
import org.gentianwalk.core.route.Team;
import org.gentianwalk.gateway.wire.HeadText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against text in a head that reaches an upstream altered, on real sockets. */
class HeadTextFleetTest {
    private static final Map<String, String> TEAM_OF_REQUEST = new ConcurrentHashMap<>();
    private static final Map<String, String> TARGET_OF_REQUEST = new ConcurrentHashMap<>();

    private static GatewayFleet sFleet;
    private static GatewayFleet.Instance sInstance;
    private static ScriptedUpstream sUpstream;

    @BeforeAll
    static void start() throws Exception {
        sFleet = new GatewayFleet();
        Map<String, Team> teams = new HashMap<>();
        List.of("a", "\u0141\u00f3d\u017a", "\u017b\u00f3d\u017a")
                .forEach(name -> teams.put("key-" + teams.size(), team(name)));
        List.of(" a", "a ", "a\tb", "a\r\nx-last: 5", "\ud800", "\udc00")
                .forEach(name -> teams.put("key-" + teams.size(), team(name)));
        sFleet.configure(
                List.of(route("safe"), route("\u0141\u00f3d\u017a")),
                List.of(GatewayFleet.plainService(GatewayFleet.DESK)),
                GatewayFleet.LIMITS,
                teams);
        sUpstream =
                new ScriptedUpstream(
                        "u1",
                        (request, connection) -> {
                            String team = request.headers().getOrDefault("x-team", "");
                            TEAM_OF_REQUEST.put(request.id(), team);
                            TARGET_OF_REQUEST.put(request.id(), request.target());
                            connection.write(ScriptedUpstream.success(request, "done"));
                        });
        sFleet.list(sUpstream.entry(GatewayFleet.DESK, "a"));
        sInstance = sFleet.start("i1", "a", Duration.ofSeconds(8));
    }

    private static Route route(String name) {
        return GatewayFleet.route(
                name, RequestKind.IDEMPOTENT_CALL, Duration.ofSeconds(4), GatewayFleet.DESK);
    }

    private static Team team(String name) {
        return new Team(name, OptionalInt.empty());
    }

    @AfterAll
    static void stop() throws Exception {
        sFleet.close();
        sUpstream.close();
    }

    @Test
    void theNameOfATeamReachesItsUpstream() throws Exception {
        List<String> names = List.of("a", "\u0141\u00f3d\u017a", "\u017b\u00f3d\u017a");
        for (int i = 0; i < names.size(); i++) {
            assertThat(call("sent-" + i, "key-" + i).status()).isEqualTo(200);
            assertThat(TEAM_OF_REQUEST.get("sent-" + i)).isEqualTo(HeadText.encode(names.get(i)));
        }
    }

    /** An upstream would take the request for one of the team "a", or of another one. */
    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5, 6, 7, 8})
    void aTeamWhoseNameAHeadCannotCarryIsRefused(int number) throws Exception {
        RawCaller.Response response = call("refused-" + number, "key-" + number);

        assertThat(response.status()).isEqualTo(503);
        assertThat(response.body()).contains("name can't be sent");
        assertThat(TEAM_OF_REQUEST).doesNotContainKey("refused-" + number);
    }

    /** Guards against a path or query that an upstream gets with other bytes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/safe/\u0141\u00f3d\u017a",
                "/safe/a?name=\u00f3&other=\ud83d\udeaa",
                "/safe/%C5%81%f3d?a=://b"
            })
    void aTargetReachesItsUpstreamUnchanged(String target) throws Exception {
        String bytes = HeadText.encode(target);
        try (RawCaller caller = sInstance.caller()) {
            assertThat(caller.call(bytes, bytes, "x-key: key-0").status()).isEqualTo(200);
        }
        assertThat(TARGET_OF_REQUEST.get(bytes)).isEqualTo(bytes);
    }

    @Test
    void aPrefixBeyondAsciiIsFound() throws Exception {
        try (RawCaller caller = sInstance.caller()) {
            String target = HeadText.encode("/\u0141\u00f3d\u017a/a");
            assertThat(caller.call(target, "prefix", "x-key: key-0").status()).isEqualTo(200);
        }
        assertThat(TARGET_OF_REQUEST).containsKey("prefix");
    }

    /** Bytes that are not UTF-8 can't be forwarded as they are. */
    @Test
    void aTargetThatIsNotUtf8IsRefused() throws Exception {
        try (RawCaller caller = sInstance.caller()) {
            assertThat(caller.call("/safe/\u00f3", "latin", "x-key: key-0").status())
                    .isEqualTo(400);
        }
        assertThat(TARGET_OF_REQUEST).doesNotContainKey("latin");
    }

    private static RawCaller.Response call(String id, String key) throws Exception {
        try (RawCaller caller = sInstance.caller()) {
            return caller.call("/safe/a", id, "x-key: " + key);
        }
    }
}
