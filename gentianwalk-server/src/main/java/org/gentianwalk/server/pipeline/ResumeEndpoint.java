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
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.http.ConnectionMonitor;
import org.gentianwalk.server.http.InstanceHttpServer;
import org.gentianwalk.server.http.Replies;

/** Serves {@code GET /v1/generations/{key}}: continues an answer after a broken connection. */
public final class ResumeEndpoint implements HttpHandler {
    /** Prefix of the path. */
    public static final String PATH = "/v1/generations/";

    private final List<CallFilter> mFilters = List.of(new AuthenticateFilter(), new KeyFilter());
    private final Supplier<ServingRules> mRules;
    private final GenerationManager mGenerations;
    private final ConnectionMonitor mWatch;
    private final Ticker mTicker;

    /**
     * Creates an endpoint.
     *
     * @param rules the configuration in force
     * @param generations finds the generation of a key
     * @param watch detects callers that disconnect
     * @param ticker monotonic clock
     */
    public ResumeEndpoint(
            Supplier<ServingRules> rules,
            GenerationManager generations,
            ConnectionMonitor watch,
            Ticker ticker) {
        mRules = rules;
        mGenerations = generations;
        mWatch = watch;
        mTicker = ticker;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        if (!exchange.getRequestMethod().equals("GET")) {
            exchange.getResponseHeaders().set("Allow", "GET");
            Replies.error(
                    exchange,
                    ServeError.rejected(
                            ErrorKind.METHOD_NOT_ALLOWED, exchange.getRequestMethod(), "GET"));
            return;
        }
        String key = exchange.getRequestURI().getPath().substring(PATH.length());
        CallContext call = new CallContext(exchange, mRules.get(), mTicker.nanos());
        for (CallFilter filter : mFilters) {
            ServeError error = filter.apply(call);
            if (error != null) {
                Replies.error(exchange, error);
                return;
            }
        }
        if (!KeyFilter.isValid(key)) {
            InstanceHttpServer.notFound(exchange);
            return;
        }
        call.key(new RequestKey(call.team(), key), true);
        exchange.getResponseHeaders().set(KeyFilter.KEY, key);
        answer(call);
    }

    private void answer(CallContext call) throws IOException {
        HttpExchange exchange = call.exchange();
        try (ConnectionMonitor.Watched watched =
                mWatch.watch(exchange, call.rules().limits().writeTimeout())) {
            switch (mGenerations.findOrTakeOver(call)) {
                case Result.Err<Generation, ServeError> err -> Replies.error(exchange, err.error());
                case Result.Ok<Generation, ServeError> ok -> writeAnswer(call, ok.value(), watched);
            }
        } catch (InterruptedException e) {
            throw new IOException("caller has disconnected", e);
        }
    }

    private void writeAnswer(
            CallContext call, Generation generation, ConnectionMonitor.Watched watched)
            throws IOException, InterruptedException {
        AnswerWriter writer = new AnswerWriter(generation, watched);
        EventId last = call.lastEvent();
        boolean streaming = generation.request().json().path("stream").asBoolean(false);
        try {
            if (last != null || streaming) {
                writer.writeEvents(call.exchange(), last == null ? 0 : last.position());
            } else {
                writer.writeBody(call.exchange());
            }
        } finally {
            mGenerations.detachReader(generation);
        }
    }
}
