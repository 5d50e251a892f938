package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A request to an upstream.
 *
 * @param method its method
 * @param target its request target
 * @param headers supplies its headers at the time of sending, since one holds the remaining time
 * @param body its body
 * @param requestId identifier that the response has to carry if it carries any
 * @param nonRepeatable true when it must not be sent again after an unknown outcome; it is then
 *     sent only on a new connection or one that was in use shortly before
 * @param expired returns whether its time limit has passed, so that it is not to be sent any more
 */
public record UpstreamRequest(
        HttpMethod method,
        String target,
        Supplier<HttpHeaders> headers,
        byte[] body,
        String requestId,
        boolean nonRepeatable,
        BooleanSupplier expired) {
    /**
     * Creates a request without a time limit.
     *
     * @param method its method
     * @param target its request target
     * @param headers supplies its headers at the time of sending
     * @param body its body
     * @param requestId identifier that the response has to carry if it carries any
     * @param nonRepeatable true when it must not be sent again after an unknown outcome
     */
    public UpstreamRequest(
            HttpMethod method,
            String target,
            Supplier<HttpHeaders> headers,
            byte[] body,
            String requestId,
            boolean nonRepeatable) {
        this(method, target, headers, body, requestId, nonRepeatable, () -> false);
    }
}
