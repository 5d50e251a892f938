package org.gentianwalk.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** Adds the HTTP/1.1 codec to the pipeline of a caller's connection. */
final class CallerCodec {
    private static final int MAX_CHUNK_BYTES = 65_536;

    private CallerCodec() {}

    /**
     * Adds decoder and encoder.
     *
     * @param pipeline pipeline of the connection
     * @param maxHeadBytes maximum size of the request line, and of all headers, bytes
     * @param connection receives the messages; while it has a request, no further one is parsed
     */
    static void addTo(ChannelPipeline pipeline, int maxHeadBytes, EdgeConnection connection) {
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setMaxChunkSize(MAX_CHUNK_BYTES);
        Decoder decoder = new Decoder(config, connection);
        connection.input(decoder);
        pipeline.addLast(decoder).addLast(new Encoder(connection::isHeadRequest));
    }

    /**
     * Parses one request at a time; the bytes of further ones wait unparsed, since a parsed request
     * takes a multiple of its bytes. Rejects requests with both a content length and a transfer
     * coding.
     */
    private static final class Decoder extends HttpRequestDecoder implements CallerInput {
        private final EdgeConnection mConnection;
        private @Nullable ChannelHandlerContext mContext;
        private boolean mParsing;

        Decoder(HttpDecoderConfig config, EdgeConnection connection) {
            super(config);
            mConnection = connection;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) throws Exception {
            super.handlerAdded(context);
            mContext = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            mParsing = true;
            try {
                super.channelRead(context, message);
            } finally {
                mParsing = false;
            }
            mConnection.inputParsed(actualReadableBytes());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
                throws Exception {
            if (!mConnection.hasRequest()) {
                super.decode(context, bytes, messages);
            }
        }

        @Override
        public void resume() {
            ChannelHandlerContext context = mContext;
            if (mParsing || context == null || actualReadableBytes() == 0) {
                // The loop that parses goes on by itself.
                return;
            }
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
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
