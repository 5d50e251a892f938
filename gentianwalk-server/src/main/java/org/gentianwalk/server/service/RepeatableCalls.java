package org.gentianwalk.server.service;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.config.ServingRules.Operation;
import org.gentianwalk.core.config.ServingRules.ServiceRule;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.policy.PolicyOptions;
import org.gentianwalk.core.policy.retry.RetryBudget;
import org.jboss.logging.Logger;

/**
 * Executes calls that may be executed more than once: a failed attempt is retried once at another
 * upstream, within the retry budget.
 */
final class RepeatableCalls {
    private static final Logger LOG = Logger.getLogger("gentianwalk.decision");
    private static final int FIRST_GATEWAY_ERROR = 502;
    private static final int LAST_GATEWAY_ERROR = 504;

    private final ServiceClient mClient;
    private final AtomicInteger mNext = new AtomicInteger();
    private final RetryBudget mBudget = new RetryBudget(PolicyOptions.defaults().retry());

    RepeatableCalls(ServiceClient client) {
        mClient = client;
    }

    CallOutcome execute(
            String team, ServiceRule rule, Operation operation, ServiceRequest request) {
        List<UpstreamInfo> upstreams = rule.upstreams();
        int first = Math.floorMod(mNext.getAndIncrement(), upstreams.size());
        synchronized (mBudget) {
            mBudget.recordFirstAttempt(team);
        }
        SendResult result = mClient.send(upstreams.get(first), request, operation.timeout());
        if (isFailure(result) && tryReserveRetry(team)) {
            UpstreamInfo other = upstreams.get((first + 1) % upstreams.size());
            LOG.infof(
                    "decision=retry service=%s request=%s team=%s upstream=%s failed=%s",
                    rule.name(), request.key(), team, other.id(), upstreams.get(first).id());
            result = mClient.send(other, request, operation.timeout());
        }
        return switch (result) {
            case SendResult.Answered answered -> new CallOutcome.Answered(answered.answer(), false);
            case SendResult.NeverSent never -> failed(never.cause());
            case SendResult.Unknown unknown -> failed(unknown.cause());
        };
    }

    private boolean tryReserveRetry(String team) {
        synchronized (mBudget) {
            if (!mBudget.isAvailable(team)) {
                return false;
            }
            mBudget.recordRetry(team);
            return true;
        }
    }

    private static CallOutcome failed(String cause) {
        return new CallOutcome.Failed(
                ServeError.failed(ErrorKind.UPSTREAM_FAILED, Outcome.STOPPED, cause));
    }

    private static boolean isFailure(SendResult result) {
        return !(result instanceof SendResult.Answered answered)
                || answered.answer().status() >= FIRST_GATEWAY_ERROR
                        && answered.answer().status() <= LAST_GATEWAY_ERROR;
    }
}
