package org.gentianwalk.core.dispatch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.dispatch.CallOutcomes.Outcome;

/**
 * Tells upstreams that fail or do not answer a part of their calls, while they respond to liveness
 * checks, from requests that cause their errors themselves.
 */
final class CallFaults {
    /** One in so many upstreams may be avoided at a time. */
    private static final int AVOIDED_DIVISOR = 3;

    /** Number of responses of an upstream, and of all others together, that are evidence. */
    private static final int MIN_RESPONSES = 3;

    private static final int MIN_OTHER_RESPONSES = 10;

    /** Number of errors of other upstreams that show that requests cause errors. */
    private static final int MIN_OTHER_ERRORS = 2;

    /** Probability below which an upstream's errors are not explained by the requests. */
    private static final double SIGNIFICANCE = 0.05;

    /** Cost of an upstream that fails calls, milliseconds; more than that of a short queue. */
    private static final double FAILING_COST_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final RandomGenerator mRandom;

    CallFaults(RandomGenerator random) {
        mRandom = random;
    }

    /** Causes of an error that an upstream answered with. */
    enum Cause {
        /** The request; it would get the same error elsewhere. */
        REQUEST,
        /** The upstream, which fails more of its calls than the others do. */
        UPSTREAM,
        /** There is too little evidence. */
        UNKNOWN
    }

    /** Numbers of responses and of errors among them. */
    private record Responses(int errors, int all) {
        static Responses of(CallTarget target, long nowNanos) {
            int errors = target.outcomes(Outcome.ERROR, nowNanos);
            return new Responses(errors, errors + target.outcomes(Outcome.SUCCEEDED, nowNanos));
        }

        static Responses of(Collection<CallTarget> targets, long nowNanos) {
            int errors = 0;
            int all = 0;
            for (CallTarget target : targets) {
                Responses responses = of(target, nowNanos);
                errors += responses.errors();
                all += responses.all();
            }
            return new Responses(errors, all);
        }

        Responses without(Responses other) {
            return new Responses(errors - other.errors(), all - other.all());
        }

        double fraction() {
            return all == 0 ? 0 : (double) errors / all;
        }
    }

    /** Returns the likely cause of the errors of an upstream. */
    Cause cause(CallTarget target, Collection<CallTarget> targets, long nowNanos) {
        Responses own = Responses.of(target, nowNanos);
        return cause(own, Responses.of(targets, nowNanos).without(own));
    }

    private static Cause cause(Responses own, Responses others) {
        if (own.all() < MIN_RESPONSES
                || others.all() < MIN_OTHER_RESPONSES
                || others.errors() < MIN_OTHER_ERRORS) {
            return Cause.UNKNOWN;
        }
        return isSignificant(own, others.fraction()) ? Cause.UPSTREAM : Cause.REQUEST;
    }

    /**
     * Returns the costs of upstreams with faults for a call, milliseconds. At most a third of the
     * upstreams have such a cost, so that a fault of the network or a slow moment of all does not
     * move all load to a few.
     *
     * @param call the call
     * @param targets the upstreams of the service
     * @param duration duration of the calls
     * @param nowNanos current time
     */
    Map<CallTarget, Double> costs(
            CallRun call, Collection<CallTarget> targets, CallDuration duration, long nowNanos) {
        Map<CallTarget, Double> costs = new HashMap<>();
        Responses all = Responses.of(targets, nowNanos);
        int usable = 0;
        for (CallTarget target : targets) {
            if (!target.isUsable()) {
                continue;
            }
            usable++;
            double cost = silenceCost(call, target, duration, nowNanos);
            if (all.errors() > 0) {
                cost += errorCost(call, Responses.of(target, nowNanos), all);
            }
            if (cost > 0) {
                costs.put(target, cost);
            }
        }
        while (costs.size() > usable / AVOIDED_DIVISOR) {
            costs.remove(Collections.min(costs.entrySet(), Map.Entry.comparingByValue()).getKey());
        }
        return costs;
    }

    /**
     * Returns the time that a call is expected to lose at an upstream that leaves calls unanswered:
     * the rest of its time, or the time until an attempt beside the first when it may be repeated.
     */
    private static double silenceCost(
            CallRun call, CallTarget target, CallDuration duration, long nowNanos) {
        long overdue = duration.overdueNanos();
        long left = call.work().deadlineNanos() - nowNanos;
        long lost = call.work().kind().isRepeatable() ? Math.min(overdue, left) : left;
        return target.silentFraction(overdue, nowNanos) * lost / NANOS_PER_MILLI;
    }

    /** An upstream that fails calls is avoided in proportion, and always by calls it has failed. */
    private double errorCost(CallRun call, Responses own, Responses all) {
        Responses others = all.without(own);
        double excess = own.fraction() - others.fraction();
        // The test against no errors of others is valid here: avoidance costs little.
        boolean failing =
                own.all() >= MIN_RESPONSES
                        && others.all() >= MIN_OTHER_RESPONSES
                        && isSignificant(own, others.fraction());
        if (!failing) {
            return 0;
        }
        boolean avoided = call.executions() > 0 || mRandom.nextDouble() < excess;
        return avoided ? FAILING_COST_MILLIS : 0;
    }

    /** Returns whether so many errors are unlikely at an error rate, by the binomial test. */
    private static boolean isSignificant(Responses own, double rate) {
        if (own.errors() < 2 || own.fraction() <= rate) {
            return false;
        }
        // Probability of fewer errors, summed up term by term.
        double term = Math.pow(1 - rate, own.all());
        double fewer = 0;
        for (int errors = 0; errors < own.errors(); errors++) {
            fewer += term;
            term *= (double) (own.all() - errors) / (errors + 1) * rate / (1 - rate);
        }
        return 1 - fewer < SIGNIFICANCE;
    }
}
