package org.gentianwalk.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.standin.StandinHttp;

/** The target that the engine was last ordered to reach, and the highest fencing number seen. */
final class Orders {
    private final EngineOptions mOptions;
    private JsonNode mTarget;
    private long mHighestFencing;
    private int mAccepted;

    Orders(EngineOptions options) {
        mOptions = options;
        ObjectNode target = StandinHttp.JSON.createObjectNode();
        target.putPOJO("models", options.models()).putArray("adapters");
        target.put("role", "serve");
        mTarget = StandinHttp.JSON.valueToTree(target);
    }

    /** Takes in an order; false when its fencing number is older than one seen before. */
    synchronized boolean accept(JsonNode order, boolean fencingIgnored) {
        long fencing = order.path("fencing").asLong();
        boolean checked = mOptions.capabilities().contains(Capability.FENCING) && !fencingIgnored;
        if (checked && fencing < mHighestFencing) {
            return false;
        }
        mHighestFencing = Math.max(mHighestFencing, fencing);
        mTarget = order.path("target").deepCopy();
        mAccepted++;
        return true;
    }

    synchronized ObjectNode state() {
        ObjectNode state = StandinHttp.JSON.createObjectNode();
        state.set("target", mTarget);
        state.put("state", "ready");
        state.put("fencing", mHighestFencing);
        state.put("accepted", mAccepted);
        return state;
    }
}
