package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Writes the response to one request of a caller. Exactly one response is written. */
public interface CallerChannel {
    /**
     * Writes a complete response of an upstream.
     *
     * @param status its status code
     * @param headers its end-to-end headers
     * @param body its body
     */
    void respond(int status, HttpHeaders headers, byte[] body);

    /**
     * Writes a complete response of this instance.
     *
     * @param status its status code
     * @param message text of the body
     * @param retryAfter time after which the caller may retry, or null to omit the header
     */
    void respond(int status, String message, @Nullable Duration retryAfter);

    /**
     * Writes the head of a response whose body follows in parts.
     *
     * @param status its status code
     * @param headers its end-to-end headers
     */
    void writeHead(int status, HttpHeaders headers);

    /**
     * Writes a part of the body.
     *
     * @param part the bytes
     */
    void write(byte[] part);

    /** Ends the body; the response is complete. */
    void end();

    /** Closes the connection, so that a response that has begun can't look complete. */
    void abort();

    /**
     * Returns whether the write buffer of the connection has room for further parts.
     *
     * @return false when further parts should wait
     */
    boolean isWritable();
}
