package org.gentianwalk.core.platform;

import java.util.List;

/** A table service that changes several rows atomically. */
public interface TransactionalTable extends TableService {
    /**
     * A condition on the version of a row.
     *
     * @param key the row's key
     * @param expected version that the row must have, or {@link Row#ABSENT}
     */
    record Condition(String key, long expected) {}

    /** One change of a transaction. */
    sealed interface Change {
        /** Writes a row. */
        record Put(String key, byte[] value) implements Change {}

        /** Deletes a row. */
        record Delete(String key) implements Change {}
    }

    /**
     * Applies all changes if all conditions hold, otherwise none.
     *
     * @param conditions conditions to check
     * @param changes changes to apply, in this order
     * @return the new version of the first changed row, or the row of the first condition that does
     *     not hold
     */
    WriteResult transact(List<Condition> conditions, List<Change> changes);
}
