package org.gentianwalk.gateway.store;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Names and converts the rows of version rollouts: the orders, which are in the table of the
 * configuration, and their status. Stateless.
 */
public interface RolloutFormat {
    /**
     * An operator's order.
     *
     * @param service the service
     * @param version the version that its traffic has to move to
     * @param duration time within which the rollout has to end
     */
    record Order(String service, String version, Duration duration) {}

    /** State of a rollout as the operator sees it. */
    enum State {
        /** The rollout has not ended. */
        RUNNING,
        /** All traffic goes to the new version. */
        COMPLETED,
        /** The new version gets no traffic any more. */
        ROLLED_BACK;

        /**
         * Returns whether the state never changes for the same order.
         *
         * @return true for all but {@link #RUNNING}
         */
        public boolean isFinal() {
            return this != RUNNING;
        }
    }

    /**
     * Status of a rollout.
     *
     * @param service the service
     * @param state the state
     * @param version the version of the order
     */
    record Status(String service, State state, String version) {}

    /**
     * Returns the service of a row of the configuration's table.
     *
     * @param key key of the row
     * @return the service, or null if the row is no order
     */
    @Nullable String orderService(String key);

    /**
     * Parses an order.
     *
     * @param key key of its row
     * @param value value of its row
     * @return the order
     * @throws UnreadableRowException if the value is not an order for the key's service
     */
    Order parseOrder(String key, byte[] value) throws UnreadableRowException;

    /**
     * Returns the table that holds the status of rollouts.
     *
     * @return name of the table
     */
    String statusTable();

    /**
     * Returns the key of a service's status row.
     *
     * @param service the service
     * @return the key
     */
    String statusKey(String service);

    /**
     * Returns the service of a row of the status table.
     *
     * @param key key of the row
     * @return the service, or null if the row is no status of a rollout
     */
    @Nullable String statusService(String key);

    /**
     * Parses a status.
     *
     * @param key key of its row
     * @param value value of its row
     * @return the status
     * @throws UnreadableRowException if the value is not a status of the key's service
     */
    Status parseStatus(String key, byte[] value) throws UnreadableRowException;

    /**
     * Encodes a status.
     *
     * @param status the status
     * @return value of its row
     */
    byte[] encodeStatus(Status status);
}
