package org.gentianwalk.core.route;

import java.time.Duration;
import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name name, unique in a configuration version
 * @param host host name to match, in lower case
 * @param prefix path prefix to match; begins and ends with a slash
 * @param kind whether requests may be repeated, and whether answers are streams
 * @param timeout maximum time until the final answer
 * @param target latency target for the answer or its first event
 * @param maxPause target for the longest pause between two events; zero for calls
 * @param priority rank of its requests, 0 first
 * @param targets services that handle its requests, with weights
 * @param maxAttempts maximum number of attempts that may execute one request
 * @param anonymous true when requests need no key
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration target,
        Duration maxPause,
        int priority,
        List<Target> targets,
        int maxAttempts,
        boolean anonymous) {
    public Route {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix " + prefix + " of route " + name + " must begin and end with a slash");
        }
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no target service");
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "maxAttempts of route " + name + " must be positive");
        }
        targets = List.copyOf(targets);
    }

    /**
     * Chooses the service of a request by the weights of the targets.
     *
     * @param point position in the sum of weights, from 0 to below 1
     * @return name of the service
     */
    public String service(double point) {
        double total = 0;
        for (Target target : targets) {
            total += target.weight();
        }
        double left = point * total;
        for (Target target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.getLast().service();
    }

    /**
     * A service that handles a fraction of a route's requests.
     *
     * @param service name of the service
     * @param weight its fraction relative to the other weights, not negative
     */
    public record Target(String service, double weight) {
        public Target {
            if (!(weight >= 0)) {
                throw new IllegalArgumentException(
                        "weight of " + service + " must not be negative");
            }
        }
    }
}
