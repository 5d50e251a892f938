package org.gentianwalk.server.pipeline;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.Result;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.replica.GenerationState;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Finds the generation of a call: one that runs here under the same key, one taken over from
 * another instance, or a new one.
 */
public final class GenerationManager {
    private static final Logger LOG = Logger.getLogger(GenerationManager.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    // A concurrent claim is decided within one round trip between instances.
    private static final int MAX_TAKEOVER_CLAIMS = 5;
    private static final Duration TAKEOVER_RETRY_DELAY = Duration.ofMillis(100);

    private final String mInstance;
    private final Supplier<ServingRules> mRules;
    private final ReplicaService mReplicas;
    private final Dispatcher mDispatcher;
    private final Ticker mTicker;
    private final GenerationRegistry mRegistry = new GenerationRegistry();
    private volatile boolean mAcceptsNewWork = true;

    /**
     * Creates an instance without generations.
     *
     * @param instance identifier of this instance
     * @param rules the configuration in force
     * @param replicas finds generations of other instances
     * @param dispatcher runs generations
     * @param ticker monotonic clock
     */
    public GenerationManager(
            String instance,
            Supplier<ServingRules> rules,
            ReplicaService replicas,
            Dispatcher dispatcher,
            Ticker ticker) {
        mInstance = instance;
        mRules = rules;
        mReplicas = replicas;
        mDispatcher = dispatcher;
        mTicker = ticker;
    }

    /**
     * Sets whether new work is accepted.
     *
     * @param accept false to refuse new generations
     */
    public void acceptNewWork(boolean accept) {
        mAcceptsNewWork = accept;
    }

    /**
     * Returns the number of generations that have not ended.
     *
     * @return running and queued generations
     */
    public long running() {
        return mRegistry.running();
    }

    /** Removes expired answers and ends generations whose callers did not reconnect. */
    public void sweep() {
        mRegistry.sweep(
                mRules.get().limits(),
                mTicker.nanos(),
                generation -> endAbandoned(generation, "caller_did_not_return"));
    }

    /** Finds or starts the generation of a completion call, and attaches the caller as a reader. */
    Result<Generation, ServeError> findOrStart(CallContext call) throws InterruptedException {
        GenerationRequest request = request(call);
        Generation created = new Generation(request, mInstance, mTicker.nanos());
        created.attachReader();
        Generation present = mRegistry.find(request.key());
        if (present == null && !mAcceptsNewWork) {
            return Result.err(ServeError.refused(ErrorKind.NOT_READY, RETRY_AFTER));
        }
        if (present == null) {
            present = mRegistry.add(created);
        }
        if (present != created) {
            return join(present, request.digest(), call.lastEvent());
        }
        if (!call.keySupplied()) {
            mDispatcher.offer(created);
            return Result.ok(created);
        }
        try {
            return startOrTakeOver(created, call);
        } catch (InterruptedException e) {
            // Otherwise the next request with this key would wait for a generation that never runs.
            endAbandoned(created, "caller_gone");
            mRegistry.remove(created);
            throw e;
        }
    }

    /** Finds or takes over the generation of a key, and attaches the caller as a reader. */
    Result<Generation, ServeError> findOrTakeOver(CallContext call) throws InterruptedException {
        RequestKey key = call.key();
        Generation present = mRegistry.find(key);
        if (present != null) {
            return join(present, null, call.lastEvent());
        }
        return switch (takeOver(key, call.lastEvent())) {
            case ReplicaService.Takeover.Taken taken -> {
                Generation generation = continueTakenOver(taken.state(), null);
                yield checkReader(generation, null, call.lastEvent());
            }
            case ReplicaService.Takeover.NotFound none ->
                    Result.err(ServeError.rejected(ErrorKind.GENERATION_LOST, key.key()));
            case ReplicaService.Takeover.Contended contended ->
                    Result.err(ServeError.refused(ErrorKind.NOT_READY, RETRY_AFTER));
        };
    }

    /** Detaches the caller as a reader. */
    void detachReader(Generation generation) {
        boolean last = generation.detachReader(mTicker.nanos());
        if (last && !generation.request().keySupplied()) {
            endAbandoned(generation, "caller_gone");
        }
    }

    private void endAbandoned(Generation generation, String reason) {
        String key = generation.request().key().key();
        if (generation.fail(ServeError.failed(ErrorKind.GENERATION_LOST, Outcome.STOPPED, key))) {
            mDispatcher.reportEnded(generation, reason);
        }
    }

    private Result<Generation, ServeError> startOrTakeOver(Generation created, CallContext call)
            throws InterruptedException {
        RequestKey key = call.key();
        switch (takeOver(key, call.lastEvent())) {
            case ReplicaService.Takeover.Taken taken -> {
                Generation generation = continueTakenOver(taken.state(), created);
                return checkReader(generation, digestOf(call), call.lastEvent());
            }
            case ReplicaService.Takeover.NotFound none -> {
                EventId last = call.lastEvent();
                if (last != null && last.position() > 0) {
                    ServeError lost = ServeError.rejected(ErrorKind.GENERATION_LOST, key.key());
                    created.fail(lost);
                    mRegistry.remove(created);
                    return Result.err(lost);
                }
                mDispatcher.offer(created);
                return Result.ok(created);
            }
            case ReplicaService.Takeover.Contended contended -> {
                ServeError refused = ServeError.refused(ErrorKind.NOT_READY, RETRY_AFTER);
                created.fail(refused);
                mRegistry.remove(created);
                return Result.err(refused);
            }
        }
    }

    private ReplicaService.Takeover takeOver(RequestKey key, @Nullable EventId last)
            throws InterruptedException {
        ReplicaService.Takeover result = claim(key, last);
        for (int i = 1; i < MAX_TAKEOVER_CLAIMS; i++) {
            if (!(result instanceof ReplicaService.Takeover.Contended contended)) {
                return result;
            }
            LOG.infof(
                    "decision=takeover instance=%s request=%s accepted=false reason=\"%s\"",
                    mInstance, key.key(), contended.cause());
            Thread.sleep(TAKEOVER_RETRY_DELAY);
            result = claim(key, last);
        }
        return result;
    }

    private ReplicaService.Takeover claim(RequestKey key, @Nullable EventId last) {
        return last == null
                ? mReplicas.takeOver(key)
                : mReplicas.takeOver(key, last.attempt(), last.position());
    }

    /** Continues a generation that was taken over; a reserved one already counts its reader. */
    private Generation continueTakenOver(GenerationState state, @Nullable Generation reserved) {
        GenerationRequest request = request(state);
        Generation generation = reserved;
        if (generation == null) {
            Generation created = new Generation(request, mInstance, mTicker.nanos());
            created.restore(request, state);
            created.attachReader();
            generation = mRegistry.add(created);
            if (generation != created) {
                generation.attachReader();
                return generation;
            }
        } else {
            generation.restore(request, state);
        }
        LOG.infof(
                "decision=takeover instance=%s request=%s accepted=true attempt=%s position=%s",
                mInstance, request.key().key(), generation.attempt(), generation.tokens());
        if (!generation.isEnded()) {
            mDispatcher.offer(generation);
        }
        return generation;
    }

    private Result<Generation, ServeError> join(
            Generation generation, byte @Nullable [] digest, @Nullable EventId last) {
        generation.attachReader();
        return checkReader(generation, digest, last);
    }

    private Result<Generation, ServeError> checkReader(
            Generation generation, byte @Nullable [] digest, @Nullable EventId last) {
        ServeError error = null;
        if (digest != null && !Arrays.equals(digest, generation.request().digest())) {
            String key = generation.request().key().key();
            error = ServeError.rejected(ErrorKind.KEY_REUSED, key);
        } else if (last != null && !generation.covers(last.attempt(), last.position())) {
            error = ServeError.rejected(ErrorKind.GENERATION_DIVERGED, last.position());
        }
        if (error == null) {
            return Result.ok(generation);
        }
        generation.detachReader(mTicker.nanos());
        return Result.err(error);
    }

    private static byte[] digestOf(CallContext call) {
        byte[] path =
                call.exchange()
                        .getRequestURI()
                        .getPath()
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return Digests.sha256(path, call.body());
    }

    private GenerationRequest request(CallContext call) {
        ObjectNode json = call.json();
        Duration deadline = call.deadline();
        long now = System.currentTimeMillis();
        return new GenerationRequest(
                call.key(),
                call.keySupplied(),
                digestOf(call),
                call.body(),
                json,
                json.path("model").textValue(),
                call.rule(),
                maxTokens(json, call.rule()),
                json.path("seed").asLong(ThreadLocalRandom.current().nextInt(Integer.MAX_VALUE)),
                call.arrivedNanos(),
                deadline == null ? WorkItem.NO_DEADLINE : call.arrivedNanos() + deadline.toNanos(),
                deadline == null ? 0 : now + deadline.toMillis());
    }

    private GenerationRequest request(GenerationState state) {
        ObjectNode json;
        try {
            json = (ObjectNode) JSON.readTree(state.request());
        } catch (IOException | ClassCastException e) {
            throw new IllegalStateException("a replica holds a request that is not JSON", e);
        }
        long now = mTicker.nanos();
        long left = state.deadlineEpochMillis() - System.currentTimeMillis();
        WorkRule rule = ruleOf(state, json);
        return new GenerationRequest(
                state.key(),
                true,
                state.requestDigest(),
                state.request(),
                json,
                state.model(),
                rule,
                maxTokens(json, rule),
                state.seed(),
                now,
                state.deadlineEpochMillis() == 0
                        ? WorkItem.NO_DEADLINE
                        : now + Duration.ofMillis(left).toNanos(),
                state.deadlineEpochMillis());
    }

    // The rule may have changed since the request was accepted, but it must still be completed.
    private WorkRule ruleOf(GenerationState state, ObjectNode json) {
        Optional<WorkRule> rule = mRules.get().workRule(state.key().team(), state.kind());
        int accepted = Math.max(1, maxTokens(json, null));
        return rule.filter(r -> r.maxTokens() >= accepted)
                .orElseGet(
                        () ->
                                new WorkRule(
                                        state.kind(),
                                        state.rank(),
                                        1,
                                        java.util.Set.of(),
                                        accepted,
                                        null,
                                        null));
    }

    private static int maxTokens(ObjectNode json, @Nullable WorkRule rule) {
        int limit = json.path("max_tokens").asInt(0);
        int other = json.path("max_completion_tokens").asInt(0);
        int given = limit > 0 ? limit : other;
        return given > 0 || rule == null ? given : rule.maxTokens();
    }
}
