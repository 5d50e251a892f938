package org.gentianwalk.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes the headers of a deployment that callers, instances and upstreams exchange.
 * Implementations are stateless and only translate.
 */
public interface WireDialect {
    /**
     * Parses the head of a caller's request.
     *
     * @param request the head
     * @return the parsed values
     * @throws MalformedHeadException if a header that this instance needs is not valid
     */
    CallerHead parseCallerHead(HttpRequest request) throws MalformedHeadException;

    /**
     * Turns the headers of a caller's request into those of the request to an upstream: headers
     * that only this instance may set are replaced.
     *
     * @param headers end-to-end headers of the caller's request, changed in place
     * @param head values of the headers to add
     */
    void setUpstreamHeaders(HttpHeaders headers, UpstreamHead head);

    /**
     * Parses the head of an upstream's response.
     *
     * @param response the head
     * @return the parsed values
     */
    ResponseHead parseResponseHead(HttpResponse response);

    /**
     * Removes headers that are meant for this instance only from an upstream's response.
     *
     * @param headers end-to-end headers of the response, changed in place
     */
    void removeInternalHeaders(HttpHeaders headers);

    /**
     * Returns the path at which an engine lists the prompt parts in its KV cache.
     *
     * @return the path
     */
    String promptCachePath();

    /**
     * Parses an engine's list of the prompt parts in its KV cache.
     *
     * @param body body of the response
     * @return identifiers of the parts; those before the defect when the body is not valid
     */
    List<Long> parsePromptCache(byte[] body);

    /**
     * Returns the path at which an engine reports its state without delay, however many requests it
     * has.
     *
     * @return the path
     */
    String livenessPath();

    /**
     * Parses which start of an upstream a response to a liveness check comes from. A process that
     * has been started again may have the identifier of the one before.
     *
     * @param body body of the response
     * @return the incarnation as its entry states it, or null when the response does not state it
     */
    @Nullable Long parseIncarnation(byte[] body);

    /**
     * Names the upstream process that a request is meant for; any other one rejects it.
     *
     * @param headers headers of the request, changed in place
     * @param id identifier of the process
     */
    void setExpectedUpstream(HttpHeaders headers, String id);

    /**
     * Returns the path of the readiness check.
     *
     * @return path that the balancer requests
     */
    String readinessPath();
}
