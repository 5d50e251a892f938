package org.gentianwalk.server.pipeline;

import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.policy.Scheduler.Loss;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.upstream.EngineClient;

/** Services and callbacks that an instance provides to its attempts. */
interface AttemptContext {
    EngineClient client();

    ReplicaService replicas();

    Ticker ticker();

    StallMonitor stalls();

    /** Called when an attempt ended early; the generation may continue with another attempt. */
    void onAttemptLost(
            Generation generation,
            AttemptRunner runner,
            Loss loss,
            String detail,
            boolean unreachable);

    /** Called when the engine has completed the generation. */
    void onFinished(Generation generation, int cachedTokens);

    /** Called when the generation can't continue. */
    void onFailed(Generation generation, ServeError error);

    /** Called on an unexpected exception in the attempt's own code. */
    void onException(Generation generation, RuntimeException exception);
}
