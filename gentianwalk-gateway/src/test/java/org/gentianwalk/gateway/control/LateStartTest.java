package org.gentianwalk.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gentianwalk.core.dispatch.CallScheduler;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.LocationMap;
import org.gentianwalk.core.dispatch.RetryBounds;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamLimits;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.route.RequestKind;
import org.gentianwalk.gateway.ManualExecutor;
import org.gentianwalk.gateway.http.CallerChannel;
import org.gentianwalk.gateway.http.CallerRequest;
import org.gentianwalk.gateway.http.PlainDialect;
import org.gentianwalk.gateway.http.UpstreamCall;
import org.gentianwalk.gateway.http.UpstreamSender;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.traffic.ControlPort;
import org.gentianwalk.gateway.traffic.Exchange;
import org.gentianwalk.gateway.wire.CallerHead;
import org.gentianwalk.server.guard.FailureGuard;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that a slow instance sends to an upstream after their caller has left: a
 * freshly started one read requests 0.3 s late and sent them 0.5 s later, before it read the closes
 * that had arrived in between.
 */
class LateStartTest {
    private final ManualExecutor mClock = new ManualExecutor();
    private final List<Runnable> mAfterRead = new ArrayList<>();
    private final List<String> mSent = new ArrayList<>();
    private final TrafficLoop mLoop =
            new TrafficLoop() {
                @Override
                public void execute(Runnable task) {
                    task.run();
                }

                @Override
                public void executeAfterRead(Runnable task) {
                    mAfterRead.add(task);
                }
            };

    @Test
    void aRequestWhoseCallerHasLeftMeanwhileIsNotSent() {
        Exchange exchange = start(Duration.ofMillis(60));
        exchange.callerDisconnected();
        mAfterRead.forEach(Runnable::run);

        assertThat(mSent).isEmpty();
    }

    @Test
    void aRequestWhoseCallerStaysIsSentOnce() {
        start(Duration.ofMillis(60));
        mAfterRead.forEach(Runnable::run);

        assertThat(mSent).containsExactly("/a");
    }

    @Test
    void aRequestThatIsNotLateIsSentWithoutDelay() {
        start(Duration.ofMillis(20));

        assertThat(mAfterRead).isEmpty();
        assertThat(mSent).containsExactly("/a");
    }

    /** Starts an attempt of a request that arrived some time ago. */
    private Exchange start(Duration age) {
        long arrived = mClock.nanos();
        mClock.pause(age);
        Work work =
                new Work(
                        1,
                        "id-1",
                        "desk",
                        "",
                        RequestKind.SINGLE_CALL,
                        1,
                        null,
                        arrived,
                        arrived,
                        arrived + Duration.ofSeconds(2).toNanos(),
                        0,
                        1,
                        0,
                        null);
        UpstreamSender sender =
                (address, request, listener) -> {
                    mSent.add(request.target());
                    return inert(UpstreamCall.class);
                };
        Exchange exchange =
                new Exchange(
                        work,
                        new CallerRequest(
                                HttpMethod.POST,
                                "/a",
                                "host",
                                new DefaultHttpHeaders(),
                                new CallerHead("id-1", null, null, 0, null),
                                new byte[0],
                                arrived),
                        inert(CallerChannel.class),
                        new Exchange.Collaborators(
                                sender,
                                new PlainDialect(),
                                inert(ControlPort.class),
                                mClock::nanos));
        ActiveRequests requests =
                new ActiveRequests(
                        mClock, mLoop, mClock::nanos, new GatewayLog(), FailureGuard.logging());
        requests.add(new ActiveRequests.Request(work, scheduler(), exchange));
        Upstream upstream = new Upstream("u1", 1, "desk", "127.0.0.1:1", "a", 9, false);
        requests.execute(
                new Decision.Start(work, 1, upstream, -1, null, null, null, Set.of(), "test"), 1);
        return exchange;
    }

    private static CallScheduler scheduler() {
        return new CallScheduler(
                "desk",
                new LocationMap(new Location("region", "a"), Map.of("a", "region")),
                new FleetRetryBudget(new RetryBounds(1, 1, Duration.ofSeconds(1))),
                new UpstreamLimits(new Random(1)),
                new Random(1));
    }

    /** Returns an object whose methods do nothing. */
    private static <T> T inert(Class<T> type) {
        Object object =
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) ->
                                method.getReturnType() == boolean.class ? true : null);
        return type.cast(object);
    }
}
