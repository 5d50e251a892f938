package org.gentianwalk.gateway.sockets;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.gentianwalk.gateway.http.PlainDialect;
import org.gentianwalk.gateway.wire.UpstreamHead;
import org.junit.jupiter.api.Test;

/** Guards against requests without any answer after an unexpected failure, on real sockets. */
class OddInputTest {
    /** A failure between the begin and the end of an attempt lost the attempt. */
    @Test
    void aRequestThatCannotBeWrittenIsAnswered() throws Exception {
        PlainDialect dialect =
                new PlainDialect() {
                    @Override
                    public void setUpstreamHeaders(HttpHeaders headers, UpstreamHead head) {
                        throw new IllegalStateException("the headers can't be written");
                    }
                };
        try (GatewayFleet fleet = new GatewayFleet(dialect);
                ScriptedUpstream upstream =
                        new ScriptedUpstream(
                                "u1",
                                (request, connection) ->
                                        connection.write(ScriptedUpstream.success(request, "ok")));
                RawCaller caller = start(fleet, upstream).caller()) {
            RawCaller.Response response = caller.call("/unsafe/a", "id-1");

            assertThat(response.status()).isEqualTo(503);
            assertThat(response.took()).isLessThan(Duration.ofSeconds(2));
            assertThat(upstream.received()).isEmpty();
        }
    }

    private static GatewayFleet.Instance start(GatewayFleet fleet, ScriptedUpstream upstream)
            throws Exception {
        fleet.list(upstream.entry(GatewayFleet.DESK, "a"));
        return fleet.start("i1", "a", Duration.ofSeconds(8));
    }
}
