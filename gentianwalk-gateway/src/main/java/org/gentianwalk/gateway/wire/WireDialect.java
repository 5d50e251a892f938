package org.gentianwalk.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;

/**
 * Reads and writes the headers by which callers, this instance and upstreams understand each other.
 * Implementations hold no state and decide nothing.
 */
public interface WireDialect {
    /**
     * Reads the head of a caller's request.
     *
     * @param request the head
     * @return what it says
     * @throws MalformedHeadException if a header that this instance needs can't be read
     */
    CallerHead callerHead(HttpRequest request) throws MalformedHeadException;

    /**
     * Turns a caller's headers into those that an upstream gets: headers that only this instance
     * may set are replaced.
     *
     * @param headers end-to-end headers of the caller's request, changed in place
     * @param head what to tell the upstream
     */
    void toUpstream(HttpHeaders headers, UpstreamHead head);

    /**
     * Reads the head of an upstream's answer.
     *
     * @param response the head
     * @return what it says
     */
    AnswerHead answerHead(HttpResponse response);

    /**
     * Removes headers that are meant for this instance only from an upstream's answer.
     *
     * @param headers end-to-end headers of the answer, changed in place
     */
    void toCaller(HttpHeaders headers);

    /**
     * Returns the path at which an engine lists the parts of prompts that it keeps.
     *
     * @return the path
     */
    String keptPartsPath();

    /**
     * Reads an engine's list of the parts of prompts that it keeps.
     *
     * @param body body of its answer
     * @return identifiers of the parts; empty when the body can't be read
     */
    List<Long> keptParts(byte[] body);

    /**
     * Returns the path of the readiness check.
     *
     * @return path that the balancer asks for
     */
    String readyPath();
}
