package org.gentianwalk.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.time.ManualTicker;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an address in the list of upstreams that leaves requests without an answer. */
class UpstreamClientTest {
    /** Host names are included: looking one up would block all requests of the traffic loop. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "10.0.0.1:70000",
                "10.0.0.1:-1",
                "10.0.0.1:",
                "10.0.0.1",
                ":80",
                "",
                "engine.example:80",
                "10.0.0.1:4294967376"
            })
    void anUnusableAddressFailsTheRequestAsNotSent(String address) {
        UpstreamClient client = new UpstreamClient(null, new PlainDialect(), new ManualTicker());
        List<UpstreamListener.Failure> failures = new ArrayList<>();
        UpstreamListener listener =
                new UpstreamListener() {
                    @Override
                    public void onHead(ResponseHead head, HttpHeaders headers) {
                        throw new AssertionError("there is no response");
                    }

                    @Override
                    public void onBody(byte[] part) {
                        throw new AssertionError("there is no response");
                    }

                    @Override
                    public void onComplete() {
                        throw new AssertionError("there is no response");
                    }

                    @Override
                    public void onFailure(Failure failure, String cause) {
                        failures.add(failure);
                    }
                };

        client.send(
                address,
                new UpstreamRequest(
                        HttpMethod.GET, "/a", DefaultHttpHeaders::new, new byte[0], "id", true),
                listener);

        assertThat(failures).containsExactly(UpstreamListener.Failure.NOT_SENT);
    }
}
