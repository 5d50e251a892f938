package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** The way back to the caller of one request. Exactly one answer is written. */
public interface CallerChannel {
    /**
     * Writes a whole answer.
     *
     * @param status its status code
     * @param headers its end-to-end headers
     * @param body its body
     */
    void answer(int status, HttpHeaders headers, byte[] body);

    /**
     * Writes an answer of this instance.
     *
     * @param status its status code
     * @param message text of the body
     * @param retryAfter when the caller may come back, or null to leave it out
     */
    void answer(int status, String message, @Nullable Duration retryAfter);

    /**
     * Writes the head of an answer whose body follows in parts.
     *
     * @param status its status code
     * @param headers its end-to-end headers
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Writes a part of the body.
     *
     * @param part the bytes
     */
    void write(byte[] part);

    /** Ends the body; the answer is complete. */
    void end();

    /** Closes the connection, so that an answer that has begun can't look complete. */
    void abort();

    /**
     * Tells whether the caller reads as fast as parts are written.
     *
     * @return false when further parts should wait
     */
    boolean isWritable();
}
