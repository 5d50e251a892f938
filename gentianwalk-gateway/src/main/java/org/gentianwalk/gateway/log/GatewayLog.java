package org.gentianwalk.gateway.log;

import java.time.Duration;
import java.util.Locale;
import java.util.stream.Collectors;
import org.gentianwalk.core.dispatch.AttemptEnd;
import org.gentianwalk.core.dispatch.Decision;
import org.gentianwalk.core.dispatch.GenerationShape;
import org.gentianwalk.core.dispatch.LivenessAware.LivenessCheck;
import org.gentianwalk.core.dispatch.SettledLoss;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.Work;
import org.gentianwalk.gateway.traffic.Delivery;
import org.gentianwalk.server.log.Fields;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Writes one log line for each decision about a request and for each change of the instance's state
 * or of its view of configuration, upstreams and store. No method takes a body or a key, so that
 * they can't get into the log. Thread-safe.
 */
public final class GatewayLog {
    private static final Logger LOG = Logger.getLogger("org.gentianwalk.decision");
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Creates the log. */
    public GatewayLog() {}

    /**
     * Logs that an attempt was assigned to an upstream.
     *
     * @param start the decision
     * @param version version of the configuration in force
     * @param nowNanos current time
     */
    public void attemptPlaced(Decision.Start start, long version, long nowNanos) {
        Fields fields =
                requestFields(start.work(), nowNanos)
                        .with("attempt", start.attempt())
                        .with("from_event", start.work().eventsSeen())
                        .with("upstream", start.upstream().id())
                        .with("incarnation", start.upstream().incarnation())
                        .with("zone", start.upstream().zone())
                        .with("parts", promptParts(start.work().generation()))
                        .with("config", version)
                        .with("reason", start.reason());
        if (start.copyHolder() != null) {
            fields.with("copy_at", start.copyHolder().id());
        }
        if (start.copy() != null) {
            fields.with("continues_from", start.copy().address());
        }
        if (start.fetchFrom() != null) {
            fields.with("fetches_from", start.fetchFrom().id());
        }
        LOG.infov("placed", fields);
    }

    /**
     * Logs that the first output of an attempt has arrived. An attempt without this line ended
     * before its engine began to write the answer.
     *
     * @param work the request
     * @param attempt number of the attempt
     * @param nowNanos current time
     */
    public void outputStarted(Work work, int attempt, long nowNanos) {
        LOG.infov("output started", requestFields(work, nowNanos).with("attempt", attempt));
    }

    /**
     * Logs that an attempt ended without its response being delivered.
     *
     * @param work the request
     * @param attempt number of the attempt
     * @param end how it ended
     * @param cause description of the failure
     * @param nowNanos current time
     */
    public void attemptEnded(Work work, int attempt, AttemptEnd end, String cause, long nowNanos) {
        LOG.infov(
                "attempt ended",
                requestFields(work, nowNanos)
                        .with("attempt", attempt)
                        .with("end", end.name().toLowerCase(Locale.ROOT))
                        .with("cause", cause));
    }

    /**
     * Logs that one of several attempts is cancelled.
     *
     * @param cancel the decision
     * @param nowNanos current time
     */
    public void attemptCancelled(Decision.Cancel cancel, long nowNanos) {
        LOG.infov(
                "attempt cancelled",
                requestFields(cancel.work(), nowNanos)
                        .with("attempt", cancel.attempt())
                        .with("reason", cancel.reason()));
    }

    /**
     * Logs that the complete response of an upstream was written to the caller.
     *
     * @param work the request
     * @param attempt number of the successful attempt
     * @param delivery latencies and number of events of the response
     * @param nowNanos current time
     */
    public void responseDelivered(Work work, int attempt, Delivery delivery, long nowNanos) {
        LOG.infov(
                "delivered",
                requestFields(work, nowNanos)
                        .with("attempt", attempt)
                        .with("first_ms", delivery.firstMillis())
                        .with("pause_ms", delivery.pauseMillis())
                        .with("events", delivery.events()));
    }

    /**
     * Logs that a request ends with a response of this instance, or with an upstream's error.
     *
     * @param finish the decision
     * @param nowNanos current time
     */
    public void requestFinished(Decision.Finish finish, long nowNanos) {
        LOG.infov(
                "finished",
                requestFields(finish.work(), nowNanos)
                        .with("result", finish.ending().name().toLowerCase(Locale.ROOT))
                        .with("retry_after_ms", finish.retryAfter().toMillis())
                        .with("reason", finish.reason()));
    }

    /**
     * Logs that a caller closed its connection before it had the complete response.
     *
     * @param work the request
     * @param nowNanos current time
     */
    public void requestWithdrawn(Work work, long nowNanos) {
        LOG.infov("caller gone", requestFields(work, nowNanos));
    }

    /**
     * Logs that a configuration is in force.
     *
     * @param before previous version, or 0 for none
     * @param version new version
     * @param routes number of its routes
     * @param source source of the configuration
     */
    public void configurationInForce(long before, long version, int routes, String source) {
        LOG.infov(
                "configuration in force",
                new Fields()
                        .with("before", before)
                        .with("config", version)
                        .with("routes", routes)
                        .with("source", source));
    }

    /**
     * Logs that the requests of a team are refused, since its name can't be sent to upstreams.
     *
     * @param team name of the team
     * @param version version of the configuration
     */
    public void teamRefused(String team, long version) {
        LOG.warnv(
                "the name of a team can't be sent to upstreams, its requests are refused",
                new Fields().with("team", team).with("config", version));
    }

    /**
     * Logs a change in the phase of a version rollout.
     *
     * @param service the service
     * @param version the new version
     * @param phase the phase that begins
     * @param evidence counts, failure rates and test statistics
     */
    public void rolloutPhase(String service, String version, String phase, String evidence) {
        LOG.infov(
                "rollout phase",
                new Fields()
                        .with("service", service)
                        .with("version", version)
                        .with("phase", phase)
                        .with("evidence", evidence));
    }

    /**
     * Logs the result of a query for cached prompt parts.
     *
     * @param engine the engine
     * @param parts number of cached prompt parts; also 0 when the query failed
     */
    public void promptCacheQueried(Upstream engine, int parts) {
        LOG.infov(
                "engine queried for cached prompts",
                new Fields().with("upstream", engine.id()).with("parts", parts));
    }

    /**
     * Logs the result of a check whether an upstream still responds.
     *
     * @param check the check
     * @param responded true when the engine responded in time
     * @param ended true when nothing listens at its address, or another process does
     * @param nanos time until the response or the end of the wait, nanoseconds
     */
    public void livenessChecked(LivenessCheck check, boolean responded, boolean ended, long nanos) {
        LOG.infov(
                "engine checked",
                new Fields()
                        .with("upstream", check.engine().id())
                        .with("zone", check.engine().zone())
                        .with("responded", responded)
                        .with("ended", ended)
                        .with("after_ms", nanos / NANOS_PER_MILLI));
    }

    /**
     * Logs that an upstream has stated a limit for its requests, or has lifted it.
     *
     * @param upstream the upstream
     * @param limit requests a second from all instances together, or null for no limit
     */
    public void requestLimitStated(Upstream upstream, @Nullable Double limit) {
        LOG.infov(
                limit == null ? "request limit lifted" : "request limit stated",
                new Fields()
                        .with("upstream", upstream.id())
                        .with("service", upstream.service())
                        .with("zone", upstream.zone())
                        .with("requests_per_s", limit));
    }

    /**
     * Logs that an upstream wants no requests from this instance, for a time or any more.
     *
     * @param upstream the upstream
     * @param pause the time, or null when its process is about to end
     */
    public void upstreamPaused(Upstream upstream, @Nullable Duration pause) {
        LOG.infov(
                pause == null ? "upstream is leaving" : "upstream wants a pause",
                new Fields()
                        .with("upstream", upstream.id())
                        .with("service", upstream.service())
                        .with("zone", upstream.zone())
                        .with("pause_ms", pause == null ? null : pause.toMillis()));
    }

    /**
     * Logs a new or changed entry of the list of upstreams.
     *
     * @param upstream the entry
     */
    public void upstreamListed(Upstream upstream) {
        LOG.infov(
                "upstream listed",
                new Fields()
                        .with("upstream", upstream.id())
                        .with("service", upstream.service())
                        .with("address", upstream.address())
                        .with("zone", upstream.zone())
                        .with("incarnation", upstream.incarnation())
                        .with("state", upstream.draining() ? "draining" : "ready"));
    }

    /**
     * Logs that evidence on requests that crash upstreams was read from the store.
     *
     * @param instances number of instances that had kept it
     * @param suspects number of suspects
     */
    public void evidenceRestored(int instances, int suspects) {
        LOG.infov(
                "evidence restored",
                new Fields().with("kept_by", instances).with("suspects", suspects));
    }

    /**
     * Logs whether the loss of an upstream counts against the request that it was executing.
     *
     * @param loss the settled loss
     */
    public void lossSettled(SettledLoss loss) {
        LOG.infov(
                loss.isConfirmed() ? "loss confirmed" : "loss dropped",
                new Fields()
                        .with("request", loss.requestId())
                        .with("process", loss.process())
                        .with("sign", loss.sign().name().toLowerCase(Locale.ROOT))
                        .with("after_ms", loss.after().toMillis())
                        .with("recognizable", Boolean.toString(loss.recognizable())));
    }

    /**
     * Logs that an entry was removed from the list of upstreams.
     *
     * @param id identifier of the upstream
     */
    public void upstreamRemoved(String id) {
        LOG.infov("upstream removed from the list", new Fields().with("upstream", id));
    }

    /**
     * Logs a row that is ignored because its value is not valid.
     *
     * @param what key of the row
     * @param reason the defect
     */
    public void rowIgnored(String what, String reason) {
        LOG.warnv("invalid row ignored", new Fields().with("row", what).with("reason", reason));
    }

    /**
     * Logs that the store has come back from a copy.
     *
     * @param table the table whose read or announcement states it
     * @param before era before
     * @param now era now
     * @param versionBefore version up to which the table was known in the era before
     * @param version version up to which it is known now
     * @param carried number of rows and removed rows that are newer than those of the copy
     */
    public void storeRestored(
            String table, long before, long now, long versionBefore, long version, int carried) {
        LOG.warnv(
                "store restored",
                new Fields()
                        .with("table", table)
                        .with("era_before", before)
                        .with("era", now)
                        .with("version_before", versionBefore)
                        .with("version", version)
                        .with("carried", carried));
    }

    /**
     * Logs that rows of an earlier era, which another instance has announced, are ignored.
     *
     * @param table the table
     * @param era era of the rows
     * @param current era of this instance
     * @param rows number of rows
     */
    public void earlierEraIgnored(String table, long era, long current, int rows) {
        LOG.infov(
                "rows of an earlier era ignored",
                new Fields()
                        .with("table", table)
                        .with("era", era)
                        .with("era_known", current)
                        .with("rows", rows));
    }

    /**
     * Logs that rows of an earlier era have given way to what the store lists.
     *
     * @param table the table
     * @param version version of the store
     * @param rows number of rows that had been carried over and were not written again
     */
    public void carriedRowsSettled(String table, long version, int rows) {
        LOG.infov(
                "rows of an earlier era settled",
                new Fields().with("table", table).with("version", version).with("rows", rows));
    }

    /**
     * Logs that a dependency of the instance can't be reached.
     *
     * @param dependency name of the dependency
     * @param reason description of the failure
     */
    public void dependencyLost(String dependency, String reason) {
        LOG.warnv(
                "dependency lost",
                new Fields().with("dependency", dependency).with("reason", reason));
    }

    /**
     * Logs that a dependency of the instance can be reached again.
     *
     * @param dependency name of the dependency
     * @param outageMillis duration of the outage, milliseconds
     */
    public void dependencyRegained(String dependency, long outageMillis) {
        LOG.infov(
                "dependency regained",
                new Fields().with("dependency", dependency).with("away_ms", outageMillis));
    }

    /**
     * Logs a change of the instance's own state.
     *
     * @param what the change, such as {@code started} or {@code stopping}
     * @param reason reason of the change
     */
    public void instanceChanged(String what, String reason) {
        LOG.infov("instance " + what, new Fields().with("reason", reason));
    }

    /** Returns the identifiers of the parts of a prompt in order, or null for a plain call. */
    private static @Nullable String promptParts(@Nullable GenerationShape generation) {
        if (generation == null) {
            return null;
        }
        return generation.parts().stream()
                .map(part -> Long.toHexString(part.id()))
                .collect(Collectors.joining(","));
    }

    private static Fields requestFields(Work work, long nowNanos) {
        return new Fields()
                .with("request", work.requestId())
                .with("service", work.service())
                .with("team", work.team())
                .with("kind", work.kind().name().toLowerCase(Locale.ROOT))
                .with("priority", work.priority())
                .with("age_ms", (nowNanos - work.arrivedNanos()) / NANOS_PER_MILLI);
    }
}
