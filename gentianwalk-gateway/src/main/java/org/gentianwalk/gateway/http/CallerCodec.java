package org.gentianwalk.gateway.http;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Adds HTTP/1.1 to the connection of a caller. */
final class CallerCodec {
    private static final int MAX_CHUNK_BYTES = 65_536;

    private CallerCodec() {}

    /**
     * Adds decoder and encoder.
     *
     * @param pipeline pipeline of the connection
     * @param maxHeadBytes longest request line with headers
     * @param answersHead tells whether the answer being written is to a HEAD request
     */
    static void addTo(ChannelPipeline pipeline, int maxHeadBytes, BooleanSupplier answersHead) {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        pipeline.addLast(new Decoder(config)).addLast(new Encoder(answersHead));
    }

    /** Refuses requests that state both a length and a transfer coding. */
    private static final class Decoder extends HttpRequestDecoder {
        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            // The codec would drop the length, so that the request could no longer be told from a
            // plain one. Another reader on the way may have followed the length.
            message.setDecoderResult(
                    DecoderResult.failure(
                            new IllegalArgumentException("both a length and a transfer coding")));
        }
    }

    /** Leaves out the body of answers to HEAD requests. */
    private static final class Encoder extends HttpResponseEncoder {
        private final BooleanSupplier mAnswersHead;

        Encoder(BooleanSupplier answersHead) {
            mAnswersHead = answersHead;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            return mAnswersHead.getAsBoolean() || super.isContentAlwaysEmpty(response);
        }
    }
}
