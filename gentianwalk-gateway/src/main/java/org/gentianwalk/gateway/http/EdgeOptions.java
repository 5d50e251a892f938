package org.gentianwalk.gateway.http;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gentianwalk.core.route.CallerLimits;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.wire.WireDialect;

/**
 * What the connections of callers need.
 *
 * @param dialect reads the heads of requests
 * @param limits the bounds in force
 * @param stopping true once the instance is about to stop; kept connections are then closed
 * @param ticker clock of the timeouts
 */
public record EdgeOptions(
        WireDialect dialect,
        Supplier<CallerLimits> limits,
        BooleanSupplier stopping,
        Ticker ticker) {}
