package org.gentianwalk.server.service;

import java.time.Duration;
import org.gentianwalk.core.config.ServingRules.Operation;
import org.gentianwalk.core.config.ServingRules.ServiceRule;
import org.gentianwalk.core.journal.CallService;
import org.gentianwalk.core.model.UpstreamInfo;

/** Sends a non-repeatable call to one upstream, and looks up its outcome at the service. */
final class ServiceSender implements CallService.Sender {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    // The journal allows 2 s between writing the intent and sending the call; a later attempt could
    // be sent after another instance has decided the call's outcome.
    private static final Duration SEND_WINDOW = Duration.ofMillis(500);
    private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(1);

    private final ServiceClient mClient;
    private final ServiceRule mRule;
    private final Operation mOperation;
    private final ServiceRequest mRequest;

    ServiceSender(
            ServiceClient client, ServiceRule rule, Operation operation, ServiceRequest request) {
        mClient = client;
        mRule = rule;
        mOperation = operation;
        mRequest = request;
    }

    @Override
    public CallService.SendResult send() {
        long start = System.nanoTime();
        CallService.SendResult result = new CallService.SendResult.NeverSent("no upstream");
        for (UpstreamInfo upstream : mRule.upstreams()) {
            if (System.nanoTime() - start > SEND_WINDOW.toNanos()) {
                return result;
            }
            result = mClient.send(upstream, mRequest, mOperation.timeout());
            // An upstream that refused the connection has not received the call.
            if (!(result instanceof CallService.SendResult.NeverSent)) {
                return result;
            }
        }
        return result;
    }

    @Override
    public CallService.SendResult lookup() {
        String path = mRule.lookupPath();
        if (path == null) {
            return new CallService.SendResult.Unknown("the service has no lookup path");
        }
        for (UpstreamInfo upstream : mRule.upstreams()) {
            CallService.SendResult result =
                    mClient.lookup(upstream, path, mRequest.key(), LOOKUP_TIMEOUT);
            if (result instanceof CallService.SendResult.Answered answered) {
                int status = answered.answer().status();
                if (status == STATUS_OK) {
                    return answered;
                }
                if (status == STATUS_NOT_FOUND) {
                    return new CallService.SendResult.NeverSent("the service has no such call");
                }
            }
        }
        return new CallService.SendResult.Unknown("the service did not answer");
    }
}
