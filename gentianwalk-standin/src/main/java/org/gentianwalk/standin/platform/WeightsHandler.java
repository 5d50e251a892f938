package org.gentianwalk.standin.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import org.gentianwalk.core.platform.WeightStore;

/** The weight store's HTTP interface. */
final class WeightsHandler implements HttpHandler {
    private static final String PREFIX = "/weights/";
    private static final int STATUS_TOO_MANY = 429;

    private final LimitedWeights mWeights;
    private final OperationGate mGate;

    WeightsHandler(LimitedWeights weights, OperationGate gate) {
        mWeights = weights;
        mGate = gate;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        String model = Paths.key(exchange.getRequestURI().getRawPath(), PREFIX);
        mGate.run(exchange, Operation.WEIGHTS, model, () -> request(model));
    }

    private Reply request(String model) {
        return switch (mWeights.request(model)) {
            case WeightStore.Grant.Granted granted -> Reply.of(Reply.NO_CONTENT);
            case WeightStore.Grant.Throttled throttled ->
                    Reply.of(STATUS_TOO_MANY).withRetryAfter(throttled.retryAfter());
        };
    }
}
