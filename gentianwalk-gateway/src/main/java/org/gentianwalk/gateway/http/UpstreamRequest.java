package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Supplier;

/**
 * A request to an upstream.
 *
 * @param method its method
 * @param target its request target
 * @param headers gives its headers when it is sent, since the time left depends on that
 * @param body its body
 * @param requestId identifier that the answer has to bear
 * @param once true when it must not be sent again after an unknown outcome, so that a connection is
 *     only reused when it was in use shortly before
 */
public record UpstreamRequest(
        HttpMethod method,
        String target,
        Supplier<HttpHeaders> headers,
        byte[] body,
        String requestId,
        boolean once) {}
