package org.gentianwalk.server.http;

import java.net.ProtocolException;
import java.net.http.HttpResponse;
import org.gentianwalk.core.response.ReceivedHead;

/**
 * Checks responses that the JDK's HTTP client has received. It refuses statuses below 100 and 101
 * itself, but passes on 600 to 999 and parts that were not requested.
 */
public final class ValidResponses {
    private ValidResponses() {}

    /**
     * Returns a response if its head is valid.
     *
     * @param response the response
     * @param <T> type of its body
     * @return the response
     * @throws ProtocolException if it is not valid, so that the request counts as unanswered
     */
    public static <T> HttpResponse<T> require(HttpResponse<T> response) throws ProtocolException {
        ReceivedHead head =
                new ReceivedHead(
                        response.statusCode(),
                        response.headers().firstValueAsLong("Content-Length").orElse(-1),
                        response.headers().firstValue("Transfer-Encoding").isPresent(),
                        response.request().headers().firstValue("Range").isPresent());
        String fault = head.fault();
        if (fault != null) {
            throw new ProtocolException(fault);
        }
        return response;
    }
}
