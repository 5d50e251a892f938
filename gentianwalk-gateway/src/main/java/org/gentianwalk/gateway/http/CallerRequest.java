package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.gentianwalk.gateway.wire.CallerHead;

/**
 * A whole request of a caller.
 *
 * @param method its method
 * @param target its request target, forwarded unchanged
 * @param host its host header; empty without one
 * @param headers its end-to-end headers
 * @param head what the headers say
 * @param body its body
 * @param arrivedNanos time at which its head arrived
 */
public record CallerRequest(
        HttpMethod method,
        String target,
        String host,
        HttpHeaders headers,
        CallerHead head,
        byte[] body,
        long arrivedNanos) {}
