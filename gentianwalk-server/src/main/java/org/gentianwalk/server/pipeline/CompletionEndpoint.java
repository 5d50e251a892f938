package org.gentianwalk.server.pipeline;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.http.BodyReader;
import org.gentianwalk.server.http.ConnectionMonitor;
import org.gentianwalk.server.http.InstanceHttpServer;
import org.gentianwalk.server.http.Replies;

/** Serves {@code POST} requests for chat or plain completions. */
public final class CompletionEndpoint implements HttpHandler {
    private final String mPath;
    private final List<CallFilter> mFilters;
    private final Supplier<ServingRules> mRules;
    private final GenerationManager mGenerations;
    private final ConnectionMonitor mWatch;
    private final Ticker mTicker;

    /**
     * Creates an endpoint.
     *
     * @param path its exact path
     * @param rules the configuration in force
     * @param generations finds or starts the generation of a call
     * @param watch detects callers that disconnect
     * @param ticker monotonic clock
     */
    public CompletionEndpoint(
            String path,
            Supplier<ServingRules> rules,
            GenerationManager generations,
            ConnectionMonitor watch,
            Ticker ticker) {
        mPath = path;
        mRules = rules;
        mGenerations = generations;
        mWatch = watch;
        mTicker = ticker;
        mFilters =
                List.of(
                        new AuthenticateFilter(),
                        new BodyFilter(),
                        new ParseFilter(path.contains("chat")),
                        new ClassifyFilter(),
                        new DeadlineFilter(),
                        new KeyFilter());
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        CallContext call = new CallContext(exchange, mRules.get(), mTicker.nanos());
        if (!exchange.getRequestURI().getPath().equals(mPath)) {
            InstanceHttpServer.notFound(exchange);
            return;
        }
        if (!exchange.getRequestMethod().equals("POST")) {
            exchange.getResponseHeaders().set("Allow", "POST");
            Replies.error(
                    exchange,
                    ServeError.rejected(
                            ErrorKind.METHOD_NOT_ALLOWED, exchange.getRequestMethod(), "POST"));
            return;
        }
        for (CallFilter filter : mFilters) {
            ServeError error = filter.apply(call);
            if (error != null) {
                Replies.error(exchange, error);
                BodyReader.discard(exchange, call.rules().limits());
                return;
            }
        }
        answer(call);
    }

    private void answer(CallContext call) throws IOException {
        HttpExchange exchange = call.exchange();
        try (ConnectionMonitor.Watched watched =
                mWatch.watch(exchange, call.rules().limits().writeTimeout())) {
            switch (mGenerations.findOrStart(call)) {
                case Result.Err<Generation, ServeError> err -> Replies.error(exchange, err.error());
                case Result.Ok<Generation, ServeError> ok ->
                        writeAnswer(call, ok.value(), new AnswerWriter(ok.value(), watched));
            }
        } catch (InterruptedException e) {
            throw new IOException("caller has disconnected", e);
        }
    }

    private void writeAnswer(CallContext call, Generation generation, AnswerWriter writer)
            throws IOException, InterruptedException {
        try {
            EventId last = call.lastEvent();
            if (last != null || call.json().path("stream").asBoolean(false)) {
                writer.writeEvents(call.exchange(), last == null ? 0 : last.position());
            } else {
                writer.writeBody(call.exchange());
            }
        } finally {
            mGenerations.detachReader(generation);
        }
    }
}
