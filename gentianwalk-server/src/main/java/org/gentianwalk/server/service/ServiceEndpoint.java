package org.gentianwalk.server.service;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.config.ServingRules.Operation;
import org.gentianwalk.core.config.ServingRules.ServiceRule;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.journal.CallService;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.http.BodyReader;
import org.gentianwalk.server.http.InstanceHttpServer;
import org.gentianwalk.server.http.Replies;
import org.gentianwalk.server.pipeline.AuthenticateFilter;
import org.gentianwalk.server.pipeline.BodyFilter;
import org.gentianwalk.server.pipeline.CallContext;
import org.gentianwalk.server.pipeline.CallFilter;
import org.gentianwalk.server.pipeline.Digests;
import org.gentianwalk.server.pipeline.KeyFilter;
import org.jspecify.annotations.Nullable;

/** Handles calls of plain services at {@code /services/{service}/{path}}. */
public final class ServiceEndpoint implements HttpHandler, AutoCloseable {
    /** Path prefix of the endpoint. */
    public static final String PATH = "/services/";

    // Maximum concurrent calls per service; further calls would only queue at a slow service.
    private static final int MAX_CONCURRENT_CALLS = 256;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final List<CallFilter> mFilters =
            List.of(new AuthenticateFilter(), new BodyFilter(), new KeyFilter());
    private final Supplier<ServingRules> mRules;
    private final CallService mCalls;
    private final BooleanSupplier mOpen;
    private final Ticker mTicker;
    private final ServiceClient mClient = new ServiceClient();
    private final RepeatableCalls mRepeatable = new RepeatableCalls(mClient);
    private final Map<String, Semaphore> mSlots = new ConcurrentHashMap<>();

    /**
     * Creates an endpoint.
     *
     * @param rules the configuration in force
     * @param calls executes non-repeatable calls
     * @param open returns whether the instance accepts new work
     * @param ticker monotonic clock
     */
    public ServiceEndpoint(
            Supplier<ServingRules> rules, CallService calls, BooleanSupplier open, Ticker ticker) {
        mRules = rules;
        mCalls = calls;
        mOpen = open;
        mTicker = ticker;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        CallContext call = new CallContext(exchange, mRules.get(), mTicker.nanos());
        for (CallFilter filter : mFilters) {
            ServeError error = filter.apply(call);
            if (error != null) {
                Replies.error(exchange, error);
                BodyReader.discard(exchange, call.rules().limits());
                return;
            }
        }
        String path = exchange.getRequestURI().getRawPath().substring(PATH.length());
        int slash = path.indexOf('/');
        String name = slash < 0 ? path : path.substring(0, slash);
        String inner = slash < 0 ? "/" : path.substring(slash);
        Optional<ServiceRule> rule = call.rules().service(name);
        if (rule.isEmpty() || rule.get().upstreams().isEmpty()) {
            InstanceHttpServer.notFound(exchange);
        } else if (!mOpen.getAsBoolean()) {
            Replies.error(exchange, ServeError.refused(ErrorKind.NOT_READY, RETRY_AFTER));
        } else {
            route(call, rule.get(), inner);
        }
    }

    @Override
    public void close() {
        mClient.close();
    }

    private void route(CallContext call, ServiceRule rule, String path) throws IOException {
        HttpExchange exchange = call.exchange();
        String method = exchange.getRequestMethod();
        List<Operation> matching =
                rule.operations().stream()
                        .filter(operation -> matches(operation.pathPrefix(), path))
                        .toList();
        Optional<Operation> found =
                matching.stream().filter(op -> op.method().equals(method)).findFirst();
        if (matching.isEmpty() || hasDotSegment(path)) {
            InstanceHttpServer.notFound(exchange);
        } else if (found.isEmpty()) {
            String allowed = String.join(", ", matching.stream().map(Operation::method).toList());
            exchange.getResponseHeaders().set("Allow", allowed);
            Replies.error(
                    exchange, ServeError.rejected(ErrorKind.METHOD_NOT_ALLOWED, method, allowed));
        } else {
            executeLimited(call, rule, found.get(), path);
        }
    }

    private void executeLimited(
            CallContext call, ServiceRule rule, Operation operation, String path)
            throws IOException {
        Semaphore slots =
                mSlots.computeIfAbsent(rule.name(), n -> new Semaphore(MAX_CONCURRENT_CALLS));
        if (!slots.tryAcquire()) {
            Replies.error(
                    call.exchange(),
                    ServeError.refused(ErrorKind.OVERLOADED, RETRY_AFTER, rule.name()));
            return;
        }
        CallOutcome outcome;
        try {
            outcome = execute(call, rule, operation, path);
        } finally {
            slots.release();
        }
        switch (outcome) {
            case CallOutcome.Answered answered ->
                    Replies.bytes(
                            call.exchange(),
                            answered.answer().status(),
                            answered.answer().contentType(),
                            answered.answer().body());
            case CallOutcome.Failed failed -> Replies.error(call.exchange(), failed.error());
        }
    }

    private CallOutcome execute(
            CallContext call, ServiceRule rule, Operation operation, String path) {
        String query = call.exchange().getRequestURI().getRawQuery();
        String target = query == null ? path : path + "?" + query;
        ServiceRequest request =
                new ServiceRequest(
                        operation.method(),
                        target,
                        orEmpty(call.header("Content-Type")),
                        call.body(),
                        call.key().key());
        if (operation.repeatable()) {
            return mRepeatable.execute(call.team(), rule, operation, request);
        }
        byte[] digest =
                Digests.sha256(
                        operation.method().getBytes(StandardCharsets.UTF_8),
                        (rule.name() + target).getBytes(StandardCharsets.UTF_8),
                        call.body());
        return mCalls.execute(
                call.key(), digest, new ServiceSender(mClient, rule, operation, request));
    }

    private static boolean matches(String prefix, String path) {
        String normal = prefix.startsWith("/") ? prefix : "/" + prefix;
        return path.startsWith(normal);
    }

    // Prevents a path such as /lookups/../orders from reaching an operation with another prefix.
    private static boolean hasDotSegment(String path) {
        String plain = path.replace("%2e", ".").replace("%2E", ".");
        for (String segment : plain.split("/|%2[fF]|%5[cC]|\\\\")) {
            if (segment.equals(".") || segment.equals("..")) {
                return true;
            }
        }
        return false;
    }

    private static String orEmpty(@Nullable String text) {
        return text == null ? "" : text;
    }
}
