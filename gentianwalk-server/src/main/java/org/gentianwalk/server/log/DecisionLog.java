package org.gentianwalk.server.log;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.gentianwalk.core.config.Problem;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.server.config.ConfigListener;
import org.jboss.logging.Logger;

/**
 * Logs one line per decision, with request, team, rank, candidates and reason. Its methods accept
 * neither prompt text nor API keys, so these are never logged. Thread-safe.
 */
public final class DecisionLog implements ConfigListener {
    /** Name of the logger, for filtering the lines. */
    public static final String LOGGER = "org.gentianwalk.decision";

    /** Maximum number of logged candidates; the best come first. */
    static final int MAX_CANDIDATES = 8;

    private static final Logger LOG = Logger.getLogger(LOGGER);

    /** Creates the log. */
    public DecisionLog() {}

    /**
     * Logs that an attempt was placed on an upstream.
     *
     * @param start the decision
     */
    public void routed(Decision.Start start) {
        info(
                "routing",
                workFields(start.item())
                        .with("attempt", start.attempt())
                        .with("upstream", start.upstream())
                        .with("priority", start.priority())
                        .with("candidates", costs(start.candidates()))
                        .with("reason", start.reason()));
    }

    /**
     * Logs that work was queued.
     *
     * @param item the work
     * @param aheadTokens work queued ahead of it, in tokens
     */
    public void admitted(WorkItem item, long aheadTokens) {
        info(
                "admission",
                workFields(item).with("result", "queued").with("ahead_tokens", aheadTokens));
    }

    /**
     * Logs that work was refused.
     *
     * @param item the work
     * @param error the error sent to the caller
     */
    public void refused(WorkItem item, ServeError error) {
        info("admission", errorFields(workFields(item).with("result", "refused"), error));
    }

    /**
     * Logs that a running attempt was cancelled.
     *
     * @param cancel the decision
     */
    public void cancelled(Decision.Cancel cancel) {
        Fields fields = workFields(cancel.item()).with("result", "cancelled");
        fields.with("reason", cancel.reason());
        if (cancel.error() != null) {
            fields.with("code", cancel.error().kind().code());
        }
        info("admission", fields);
    }

    /**
     * Logs that an interrupted generation is resumed.
     *
     * @param request the request
     * @param rank its service class
     * @param attempt number of the new attempt
     * @param position number of tokens generated so far, where it resumes
     * @param candidates the considered instances or upstreams
     * @param reason what interrupted it and why the first candidate was chosen
     */
    public void recovered(
            RequestKey request,
            Rank rank,
            int attempt,
            long position,
            List<String> candidates,
            String reason) {
        info(
                "recovery",
                requestFields(request, rank)
                        .with("attempt", attempt)
                        .with("position", position)
                        .with("candidates", String.join(" ", first(candidates)))
                        .with("reason", reason));
    }

    /**
     * Logs that an interrupted generation could not be resumed.
     *
     * @param request the request
     * @param rank its service class
     * @param error the error sent to the caller
     */
    public void notRecovered(RequestKey request, Rank rank, ServeError error) {
        info("recovery", errorFields(requestFields(request, rank).with("result", "failed"), error));
    }

    /**
     * Logs a placement order to an engine.
     *
     * @param upstream the engine
     * @param model the model to load
     * @param rank service class whose demand caused it
     * @param fencing fencing token of the order
     * @param candidates the considered engines
     * @param reason why this engine and model were chosen
     */
    public void placed(
            String upstream,
            String model,
            Rank rank,
            long fencing,
            List<Decision.Candidate> candidates,
            String reason) {
        info(
                "placement",
                new Fields()
                        .with("upstream", upstream)
                        .with("model", model)
                        .with("rank", rank(rank))
                        .with("fencing", fencing)
                        .with("candidates", costs(candidates))
                        .with("reason", reason));
    }

    @Override
    public void adopted(long before, long after, String source) {
        info(
                "configuration",
                new Fields()
                        .with("result", "in force")
                        .with("before", before)
                        .with("version", after)
                        .with("source", source));
    }

    @Override
    public void corrupt(String source, String reason) {
        warn(
                "configuration",
                new Fields()
                        .with("result", "not taken")
                        .with("source", source)
                        .with("reason", reason));
    }

    @Override
    public void unusable(long version, List<Problem> problems) {
        warn(
                "configuration",
                new Fields()
                        .with("result", "not usable by this release, rules before it stay")
                        .with("version", version)
                        .with("problems", problems.size())
                        .with("reason", String.valueOf(problems.getFirst())));
    }

    @Override
    public void pollFailed(String cause) {
        warn(
                "configuration",
                new Fields().with("result", "store does not answer").with("reason", cause));
    }

    private static Fields workFields(WorkItem item) {
        return requestFields(item.id(), item.rank())
                .with("kind", item.kind())
                .with("model", item.model());
    }

    private static Fields requestFields(RequestKey request, Rank rank) {
        return new Fields()
                .with("request", request.key())
                .with("team", request.team())
                .with("rank", rank(rank));
    }

    private static Fields errorFields(Fields fields, ServeError error) {
        return fields.with("code", error.kind().code())
                .with("outcome", error.outcome().name().toLowerCase(Locale.ROOT))
                .with("reason", error.message());
    }

    private static Map<String, Double> costs(List<Decision.Candidate> candidates) {
        Map<String, Double> costs = new LinkedHashMap<>();
        for (Decision.Candidate candidate : first(candidates)) {
            costs.put(candidate.upstream(), candidate.cost());
        }
        return costs;
    }

    private static <T> List<T> first(List<T> list) {
        return list.subList(0, Math.min(MAX_CANDIDATES, list.size()));
    }

    private static String rank(Rank rank) {
        return rank.name().toLowerCase(Locale.ROOT);
    }

    private static void info(String message, Fields fields) {
        LOG.infov(message, fields);
    }

    private static void warn(String message, Fields fields) {
        LOG.warnv(message, fields);
    }
}
