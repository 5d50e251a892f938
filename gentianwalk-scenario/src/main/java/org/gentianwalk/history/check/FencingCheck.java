package org.gentianwalk.history.check;

import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent.OrderTookEffect;

/**
 * No order with an older fencing token takes effect at an engine after a newer one, and a token is
 * used by one holder only.
 *
 * <p>Options: none. Example: {@code new FencingCheck()}.
 */
public final class FencingCheck extends HistoryCheck {
    /** Creates the checker. */
    public FencingCheck() {
        super("fencing");
    }

    @Override
    protected void inspect(History history) {
        Map<String, Long> highest = new HashMap<>();
        Map<Long, String> holders = new HashMap<>();
        for (OrderTookEffect order : history.events(OrderTookEffect.class)) {
            long earlier = highest.getOrDefault(order.engine(), Long.MIN_VALUE);
            if (order.fencing() < earlier) {
                report(
                        order.timeNanos(),
                        "%s carried out an order with token %d after token %d",
                        order.engine(),
                        order.fencing(),
                        earlier);
            }
            highest.merge(order.engine(), order.fencing(), Math::max);
            String holder = holders.putIfAbsent(order.fencing(), order.holder());
            if (holder != null && !holder.equals(order.holder())) {
                report(
                        order.timeNanos(),
                        "token %d was used by %s and %s",
                        order.fencing(),
                        holder,
                        order.holder());
            }
        }
    }
}
