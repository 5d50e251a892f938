package org.gentianwalk.server.placement;

import java.time.Duration;
import java.util.Optional;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.placement.EngineTarget;

/** Sends orders to engines and reads their state. Calls block. */
public interface EngineOrders {
    /** Result of an order. */
    enum OrderResult {
        /** The engine accepted the target. */
        ACCEPTED,
        /** The engine has seen a higher fencing token. */
        STALE,
        /** There was no answer or an unexpected one; the order may have taken effect. */
        UNKNOWN
    }

    /**
     * State of an engine.
     *
     * @param target its current target
     * @param fencing the highest fencing token it has seen
     */
    record EngineState(EngineTarget target, long fencing) {}

    /**
     * Sends the whole target.
     *
     * @param engine the engine
     * @param fencing token of the lease's term
     * @param target the target
     * @param timeout maximum wait for the answer
     * @return the result
     */
    OrderResult order(UpstreamInfo engine, long fencing, EngineTarget target, Duration timeout);

    /**
     * Reads an engine's state.
     *
     * @param engine the engine
     * @return the state, or empty when the engine does not answer
     */
    Optional<EngineState> state(UpstreamInfo engine);
}
