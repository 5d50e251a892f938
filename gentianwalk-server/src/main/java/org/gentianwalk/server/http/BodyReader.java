package org.gentianwalk.server.http;

import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/** Reads request bodies within limits of size and time. */
public final class BodyReader {
    private static final int BUFFER_BYTES = 8192;

    // Without draining the body, a caller that is still sending would get a connection reset
    // instead
    // of the response.
    private static final int DISCARD_LIMIT_FACTOR = 4;

    private BodyReader() {}

    /**
     * Reads the body.
     *
     * @param exchange the exchange
     * @param limits the limits
     * @return the body, or the error to send to the caller
     * @throws IOException if the connection broke
     */
    public static Result<byte[], ServeError> read(HttpExchange exchange, Limits limits)
            throws IOException {
        String length = exchange.getRequestHeaders().getFirst("Content-Length");
        if (length != null && isDeclaredTooLarge(length, limits.maxBodyBytes())) {
            return tooLarge(limits);
        }
        InputStream input = exchange.getRequestBody();
        CompletableFuture<byte @Nullable []> body = new CompletableFuture<>();
        Thread reader =
                Thread.ofVirtual()
                        .name("body")
                        .start(() -> readBody(body, input, limits.maxBodyBytes()));
        try {
            byte[] bytes = body.get(limits.bodyTimeout().toMillis(), TimeUnit.MILLISECONDS);
            return bytes == null ? tooLarge(limits) : Result.ok(bytes);
        } catch (TimeoutException e) {
            ServeError error =
                    ServeError.rejected(ErrorKind.REQUEST_TIMEOUT, limits.bodyTimeout().toMillis());
            exchange.getResponseHeaders().set("Connection", "close");
            Replies.error(exchange, error);
            // Unblocks the read by closing the connection.
            reader.interrupt();
            throw new IOException("the request body was too slow", e);
        } catch (InterruptedException e) {
            reader.interrupt();
            throw new IOException("interrupted while reading the body", e);
        } catch (ExecutionException e) {
            throw new IOException("the connection broke while the body was read", e);
        }
    }

    /**
     * Reads and discards the rest of the body, up to a limit of size and for at most 1 s.
     *
     * @param exchange an exchange whose response was sent before its body was read
     * @param limits the limits
     */
    public static void discard(HttpExchange exchange, Limits limits) {
        Thread reader = Thread.ofVirtual().start(() -> discardAll(exchange, limits));
        try {
            if (!reader.join(java.time.Duration.ofSeconds(1))) {
                reader.interrupt();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void discardAll(HttpExchange exchange, Limits limits) {
        byte[] buffer = new byte[BUFFER_BYTES];
        long left = (long) limits.maxBodyBytes() * DISCARD_LIMIT_FACTOR;
        try {
            InputStream input = exchange.getRequestBody();
            int count = input.read(buffer);
            while (count >= 0 && left > 0) {
                left -= count;
                count = input.read(buffer);
            }
        } catch (IOException ignored) {
            // The caller has disconnected.
        }
    }

    private static boolean isDeclaredTooLarge(String length, int maxBytes) {
        try {
            return Long.parseLong(length.strip()) > maxBytes;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private static Result<byte[], ServeError> tooLarge(Limits limits) {
        return Result.err(ServeError.rejected(ErrorKind.BODY_TOO_LARGE, limits.maxBodyBytes()));
    }

    /** Reads the body; completes the future with null when the body exceeds the limit. */
    private static void readBody(
            CompletableFuture<byte @Nullable []> body, InputStream input, int maxBytes) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            int count = input.read(buffer);
            while (count >= 0) {
                bytes.write(buffer, 0, count);
                if (bytes.size() > maxBytes) {
                    body.complete(null);
                    return;
                }
                count = input.read(buffer);
            }
            body.complete(bytes.toByteArray());
        } catch (IOException e) {
            body.completeExceptionally(e);
        }
    }
}
