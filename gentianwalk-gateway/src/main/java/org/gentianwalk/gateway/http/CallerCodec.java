package org.gentianwalk.gateway.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Adds the HTTP/1.1 codec to the pipeline of a caller's connection. */
final class CallerCodec {
    private static final int MAX_CHUNK_BYTES = 65_536;

    private CallerCodec() {}

    /**
     * Adds decoder and encoder.
     *
     * @param pipeline pipeline of the connection
     * @param maxHeadBytes maximum size of the request line, and of all headers, bytes
     * @param headRequest returns whether the response being written is to a HEAD request
     */
    static void addTo(ChannelPipeline pipeline, int maxHeadBytes, BooleanSupplier headRequest) {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        pipeline.addLast(new Decoder(config)).addLast(new Encoder(headRequest));
    }

    /** Rejects requests with both a content length and a transfer coding. */
    private static final class Decoder extends HttpRequestDecoder {
        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            // The codec's default is to drop the length and accept the request, although a proxy on
            // the way may have used the length to find its end (request smuggling).
            message.setDecoderResult(
                    DecoderResult.failure(
                            new IllegalArgumentException("both a length and a transfer coding")));
        }
    }

    /** Omits the body of responses to HEAD requests. */
    private static final class Encoder extends HttpResponseEncoder {
        private final BooleanSupplier mHeadRequest;

        Encoder(BooleanSupplier headRequest) {
            mHeadRequest = headRequest;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            return mHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(response);
        }
    }
}
