package org.gentianwalk.server.journal;

import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallQuery;

/** Queries other instances for the state of their calls, over the mesh. */
@FunctionalInterface
public interface CallPeers {
    /**
     * Queries the owner of an intent; blocks for at most about a second.
     *
     * @param owner id of the instance
     * @param incarnation start time of the instance that wrote the intent
     * @param query key and nonce of the intent
     * @return the owner's answer; {@code NOT_KNOWN} when it is unreachable or has another
     *     incarnation
     */
    CallAnswer ask(String owner, long incarnation, CallQuery query);
}
