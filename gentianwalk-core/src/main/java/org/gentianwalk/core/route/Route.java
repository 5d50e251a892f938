package org.gentianwalk.core.route;

import java.time.Duration;
import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name its name, unique in a version
 * @param host host name that it applies to, in lower case
 * @param prefix start of the paths that it applies to; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time until the final answer
 * @param target time within which the answer, or its first event, is on time
 * @param maxPause longest pause between two events that is still on time; zero for calls
 * @param priority rank of its requests, 0 first
 * @param targets services that serve it, with weights
 * @param maxAttempts upstreams that one request may be sent to
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
            throw new IllegalArgumentException("route " + name + " names no service");
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " allows no attempt");
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
     * A service that serves a part of a route's requests.
     *
     * @param service its name
     * @param weight its part relative to the other weights
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
