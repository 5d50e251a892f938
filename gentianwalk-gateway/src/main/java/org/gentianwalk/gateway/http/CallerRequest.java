package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.gentianwalk.gateway.wire.CallerHead;

/**
 * A complete request of a caller.
 *
 * @param method its method
 * @param target its request target, forwarded unchanged; bytes beyond ASCII are read as UTF-8
 * @param host its host header; empty without one
 * @param headers its end-to-end headers
 * @param head the parsed values of its headers
 * @param body its body
 * @param arrivedNanos time at which its head arrived, nanoseconds of the clock
 */
public record CallerRequest(
        HttpMethod method,
        String target,
        String host,
        HttpHeaders headers,
        CallerHead head,
        byte[] body,
        long arrivedNanos) {}
