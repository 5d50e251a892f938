package org.gentianwalk.server.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.config.ServingRules.Operation;
import org.gentianwalk.core.config.ServingRules.ServiceRule;
import org.gentianwalk.core.journal.CallService;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.standin.service.ServiceStandin;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls of plain services that are not retried although they are repeatable, or
 * retried although they are not.
 */
class ServicesTest {
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    @Test
    void repeatableCallIsRetriedAtAnotherUpstream() throws Exception {
        ServiceStandin.Ledger ledger = new ServiceStandin.Ledger();
        try (ServiceStandin slow = ServiceStandin.start("s1", ledger, 0, 1);
                ServiceStandin good = ServiceStandin.start("s2", ledger, 0, 1);
                TestFleet fleet = fleet(List.of(slow, good), new DirectCallService())) {
            slow.delay(Duration.ofSeconds(5));
            for (int i = 0; i < 4; i++) {
                HttpResponse<String> answer = fleet.caller().get("/services/stock/items/7?a=b");
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.body()).contains("\"service\":\"s2\"");
            }
            slow.refuse(true);
            assertThat(fleet.caller().get("/services/stock/items/7").statusCode()).isEqualTo(200);
        }
    }

    @Test
    void nonRepeatableCallIsSentOnceAndItsOutcomeIsLookedUp() throws Exception {
        ServiceStandin.Ledger ledger = new ServiceStandin.Ledger();
        DirectCallService calls = new DirectCallService();
        ServiceStandin service = ServiceStandin.start("s1", ledger, 0, 1);
        try (ServiceStandin other = ServiceStandin.start("s2", ledger, 0, 1);
                TestFleet fleet = fleet(List.of(service, other), calls)) {
            HttpResponse<String> answer = order(fleet, "k1");
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(ledger.executions("k1")).isEqualTo(1);

            service.loseAnswers(1);
            order(fleet, "k2");
            assertThat(ledger.executions("k2")).isEqualTo(1);
            assertThat(calls.mLast).isInstanceOf(CallService.SendResult.Unknown.class);
            assertThat(calls.mLookup).isInstanceOf(CallService.SendResult.Answered.class);

            service.delay(Duration.ofSeconds(5));
            order(fleet, "k3");
            assertThat(ledger.executions("k3")).isEqualTo(1);
            service.close();
            order(fleet, "k4");
            assertThat(ledger.executions("k4")).isEqualTo(1);
        }
    }

    @Test
    void callsWithoutAJournalAndUnknownOperationsAreNotRun() throws Exception {
        ServiceStandin.Ledger ledger = new ServiceStandin.Ledger();
        try (ServiceStandin service = ServiceStandin.start("s1", ledger, 0, 1);
                TestFleet fleet = fleet(List.of(service), null)) {
            HttpResponse<String> refused = order(fleet, "k1");
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.headers().firstValue("Gentianwalk-Outcome")).contains("not-run");
            assertThat(refused.headers().firstValue("Retry-After")).isPresent();
            TestCaller caller = fleet.caller();
            assertThat(caller.get("/services/none/items").statusCode()).isEqualTo(404);
            assertThat(caller.get("/services/stock/other").statusCode()).isEqualTo(404);
            assertThat(caller.get("/services/stock/orders").statusCode()).isEqualTo(405);
            assertThat(caller.get("/services/stock/items/%2e%2e/orders").statusCode())
                    .isEqualTo(404);
            assertThat(ledger.all()).isEmpty();
        }
    }

    private static HttpResponse<String> order(TestFleet fleet, String key) {
        return fleet.caller().post("/services/stock/orders", "{}", "Idempotency-Key", key);
    }

    private static TestFleet fleet(List<ServiceStandin> services, CallService calls)
            throws Exception {
        ServiceRule rule =
                new ServiceRule(
                        "stock",
                        services.stream().map(s -> s.info(TestFleet.ZONE)).toList(),
                        List.of(
                                new Operation("GET", "/items", true, TIMEOUT),
                                new Operation("POST", "/orders", false, TIMEOUT)),
                        ServiceStandin.LOOKUP_PATH);
        return new TestFleet(
                List.of(),
                Limits.DEFAULT,
                Map.of("stock", rule),
                parts -> calls == null ? parts : parts.withCalls(calls));
    }

    /** Sends each call, and looks up its outcome when it is unknown. */
    private static final class DirectCallService implements CallService {
        SendResult mLast;
        SendResult mLookup;

        @Override
        public CallOutcome execute(RequestKey key, byte[] bodyDigest, Sender sender) {
            mLast = sender.send();
            if (mLast instanceof SendResult.Unknown) {
                mLookup = sender.lookup();
            }
            return mLast instanceof SendResult.Answered answered
                    ? new CallOutcome.Answered(answered.answer(), false)
                    : new CallOutcome.Failed(
                            org.gentianwalk.core.error.ServeError.failed(
                                    org.gentianwalk.core.error.ErrorKind.OUTCOME_UNKNOWN,
                                    org.gentianwalk.core.error.Outcome.UNKNOWN,
                                    key.key()));
        }
    }
}
