package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.gentianwalk.gateway.wire.ResponseHead;

/** Receives the response to one request sent to an upstream. */
public interface UpstreamListener {
    /**
     * Called when the head of the response has arrived.
     *
     * @param head its parsed values
     * @param headers its end-to-end headers
     */
    void onHead(ResponseHead head, HttpHeaders headers);

    /**
     * Called when a part of the body has arrived.
     *
     * @param part the bytes
     */
    void onBody(byte[] part);

    /** Called when the response is complete. No further call follows. */
    void onComplete();

    /**
     * Called when the request has failed without a complete response. No further call follows.
     *
     * @param failure kind of the failure
     * @param cause description for the log
     */
    void onFailure(Failure failure, String cause);

    /** Reason why no complete response arrives. */
    enum Failure {
        /** No connection could be established in time; nothing was sent. */
        NOT_SENT,
        /** The upstream refused the connection; nothing was sent. */
        REFUSED,
        /** The time limit passed before a connection was established; nothing was sent. */
        EXPIRED,
        /** The connection broke after the request was written to it. */
        BROKEN,
        /** A reused connection broke before any byte of the response. */
        STALE,
        /** The received bytes are not a valid response to this request. */
        GARBLED
    }
}
