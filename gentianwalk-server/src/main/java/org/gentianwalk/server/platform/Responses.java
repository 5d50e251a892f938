package org.gentianwalk.server.platform;

import java.net.http.HttpResponse;
import org.gentianwalk.core.platform.PlatformException;

/** Checks the responses of services whose clients report failures by exception. */
final class Responses {
    private Responses() {}

    /**
     * Returns the response if its status is one of those accepted.
     *
     * @param exchange the result of the request
     * @param accepted accepted HTTP statuses
     * @return the response
     * @throws PlatformException if there is no response or it has another status
     */
    static HttpResponse<byte[]> require(PlatformHttp.Exchange exchange, int... accepted)
            throws PlatformException {
        HttpResponse<byte[]> response =
                switch (exchange) {
                    case PlatformHttp.Exchange.Answered answered -> answered.response();
                    case PlatformHttp.Exchange.NotSent notSent ->
                            throw new PlatformException(notSent.cause());
                    case PlatformHttp.Exchange.Unanswered unanswered ->
                            throw new PlatformException(unanswered.cause());
                };
        for (int status : accepted) {
            if (response.statusCode() == status) {
                return response;
            }
        }
        throw new PlatformException(
                "the platform answered "
                        + response.statusCode()
                        + " to "
                        + response.request().method()
                        + " "
                        + response.uri().getPath());
    }
}
