package org.gentianwalk.server.pipeline;

import java.util.Locale;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.gentianwalk.server.log.DecisionLog;
import org.gentianwalk.server.log.Fields;
import org.jboss.logging.Logger;

/** Writes each decision of the serving path to the decision log. */
public final class LoggingDecisionSink implements DecisionSink {
    private static final Logger LOG = Logger.getLogger(DecisionLog.LOGGER);

    private final DecisionLog mDecisions = new DecisionLog();

    /** Creates a sink. */
    public LoggingDecisionSink() {}

    @Override
    public void admitted(WorkItem item, long aheadTokens) {
        mDecisions.admitted(item, aheadTokens);
    }

    @Override
    public void refused(WorkItem item, ServeError error) {
        mDecisions.refused(item, error);
    }

    @Override
    public void routed(Decision.Start start, int position) {
        mDecisions.routed(start);
        if (start.attempt() > 1) {
            mDecisions.recovered(
                    start.item().id(),
                    start.item().rank(),
                    start.attempt(),
                    position,
                    start.candidates().stream().map(Decision.Candidate::upstream).toList(),
                    start.reason());
        }
    }

    @Override
    public void cancelled(Decision.Cancel cancel) {
        mDecisions.cancelled(cancel);
    }

    @Override
    public void lost(Lost lost) {
        Fields fields =
                request(lost.request(), lost.rank())
                        .with("result", "attempt lost")
                        .with("attempt", lost.attempt())
                        .with("position", lost.position())
                        .with("upstream", lost.upstream())
                        .with("loss", lost.loss().name().toLowerCase(Locale.ROOT))
                        .with("reason", lost.reason());
        LOG.infov("recovery", fields);
    }

    @Override
    public void ended(Ended ended) {
        Fields fields =
                request(ended.request(), ended.rank())
                        .with("attempts", ended.attempts())
                        .with("tokens", ended.tokens())
                        .with("reason", ended.reason());
        LOG.infov("end", fields);
    }

    private static Fields request(RequestKey request, Rank rank) {
        return new Fields()
                .with("request", request.key())
                .with("team", request.team())
                .with("rank", rank.name().toLowerCase(Locale.ROOT));
    }
}
