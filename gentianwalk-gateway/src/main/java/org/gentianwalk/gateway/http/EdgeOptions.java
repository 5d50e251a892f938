package org.gentianwalk.gateway.http;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.wire.WireDialect;

/**
 * Dependencies of the connections of callers.
 *
 * @param dialect parses the heads of requests
 * @param limits supplies the limits in force
 * @param stopping returns true once the instance is about to stop; connections are then closed
 *     after the current response
 * @param ticker clock of the timeouts
 */
public record EdgeOptions(
        WireDialect dialect,
        Supplier<CallerLimits> limits,
        BooleanSupplier stopping,
        Ticker ticker) {}
