package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.gentianwalk.gateway.wire.AnswerHead;

/** Learns what comes back for one request sent to an upstream. */
public interface UpstreamListener {
    /**
     * Tells that the head of the answer arrived.
     *
     * @param head what it says
     * @param headers its end-to-end headers
     */
    void head(AnswerHead head, HttpHeaders headers);

    /**
     * Tells that a part of the body arrived.
     *
     * @param part the bytes
     */
    void body(byte[] part);

    /** Tells that the answer is complete. No further call follows. */
    void complete();

    /**
     * Tells that no whole answer will come. No further call follows.
     *
     * @param failure what happened
     * @param cause for the log
     */
    void failed(Failure failure, String cause);

    /** Why an answer does not arrive. */
    enum Failure {
        /** No connection could be made in time; nothing was sent. */
        NOT_SENT,
        /** The upstream does not listen; nothing was sent. */
        REFUSED,
        /** The connection broke after the request was handed to it. */
        BROKEN,
        /** The connection, which had been idle, broke before any byte of an answer. */
        STALE,
        /** The bytes are no answer to this request. */
        GARBLED
    }
}
