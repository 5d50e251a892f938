package org.gentianwalk.core.policy;

import java.util.Collection;
import java.util.List;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.model.WorkItem;

/**
 * Decides when and on which upstream each generation starts. Implementations have no clock, threads
 * or I/O: the control thread passes the current time of a monotonic clock, in nanoseconds, and
 * carries out the decisions that {@link #advance} returns.
 *
 * <p>A generation passes through {@link #offer}, one {@link Decision.Start} for each attempt, and
 * one final {@link #finished}. When an attempt is lost, the control thread calls {@link
 * #attemptLost}; the scheduler then retries the generation or refuses it.
 */
public interface Scheduler {
    /**
     * Replaces the set of upstreams. Work that runs on a removed upstream continues.
     *
     * @param upstreams all model engines that this instance may use
     * @param nowNanos current time
     */
    void replaceUpstreams(Collection<UpstreamInfo> upstreams, long nowNanos);

    /**
     * Returns whether this instance may send work to an upstream. Load reports of unused upstreams
     * are not needed.
     *
     * @param upstream identifier of an upstream of the last {@link #upstreams} call
     * @return false when the upstream is outside the subset that this instance uses
     */
    default boolean uses(String upstream) {
        return true;
    }

    /**
     * Offers new work.
     *
     * @param item the work
     * @param nowNanos current time
     * @return whether it was queued or refused
     */
    OfferResult offer(WorkItem item, long nowNanos);

    /**
     * Offers work that continues a generation of another instance or a lost attempt.
     *
     * @param item the work
     * @param tokensDone output tokens already generated
     * @param attempt number of the next attempt, from 1
     * @param nowNanos current time
     * @return whether it was queued or refused
     */
    OfferResult offerContinuation(WorkItem item, int tokensDone, int attempt, long nowNanos);

    /**
     * Returns the decisions that are due. Must be called after every event and at least every 20
     * ms.
     *
     * @param nowNanos current time
     * @return decisions in the order in which to carry them out
     */
    List<Decision> advance(long nowNanos);

    /**
     * Records output of a running attempt.
     *
     * @param id the request
     * @param tokens output tokens received since the last call
     * @param nowNanos time of receipt
     */
    void progress(RequestKey id, int tokens, long nowNanos);

    /**
     * Records that an attempt ended without finishing the generation.
     *
     * @param id the request
     * @param loss how it ended
     * @param nowNanos current time
     */
    void attemptLost(RequestKey id, Loss loss, long nowNanos);

    /**
     * Returns whether an attempt without output may be cancelled for another one. Without another
     * engine that could take over, the attempt may still go on.
     *
     * @param id the request
     * @param nowNanos current time
     * @return false when the attempt has to stay
     */
    default boolean mayReplaceStalled(RequestKey id, long nowNanos) {
        return true;
    }

    /**
     * Records the end of a generation: finished, cancelled by its caller or failed without a retry.
     *
     * @param id the request
     * @param cachedPromptTokens prompt tokens that the engine took from its prefix cache
     * @param nowNanos current time
     */
    void finished(RequestKey id, int cachedPromptTokens, long nowNanos);

    /**
     * Records the end of a generation with its cause. Only a completed generation clears a suspect.
     *
     * @param id the request
     * @param end how it ended
     * @param cachedPromptTokens prompt tokens that the engine took from its prefix cache
     * @param nowNanos current time
     */
    default void ended(RequestKey id, End end, int cachedPromptTokens, long nowNanos) {
        finished(id, cachedPromptTokens, nowNanos);
    }

    /**
     * Records an upstream's load report.
     *
     * @param report the report
     * @param nowNanos time of receipt
     */
    void loadReport(LoadReport report, long nowNanos);

    /**
     * Records changes of an upstream's prefix cache. Events may be missing or late.
     *
     * @param upstream the upstream
     * @param stored hashes of blocks that were stored
     * @param evicted hashes of blocks that were evicted
     * @param nowNanos time of receipt
     */
    void cacheEvents(String upstream, List<Long> stored, List<Long> evicted, long nowNanos);

    /**
     * Changes the availability of an upstream.
     *
     * @param upstream the upstream
     * @param availability the new state
     * @param nowNanos current time
     */
    void availability(String upstream, Availability availability, long nowNanos);

    /** Whether an upstream accepts new work. */
    enum Availability {
        /** It accepts work. */
        LIVE,
        /** It accepts no new work. */
        LEAVING,
        /** Checks get no response; it may be lost or paused. */
        LOST,
        /** Nothing listens at its address, so its process has ended. */
        ENDED
    }

    /** How a generation ended. */
    enum End {
        /** The response is complete. */
        COMPLETED,
        /** The caller cancelled it. */
        CANCELLED,
        /** It failed and is not retried. */
        FAILED
    }

    /** How an attempt ended early. */
    enum Loss {
        /** The connection broke or the engine returned an internal error. */
        UPSTREAM_FAILED,
        /** No token arrived within the stall timeout; the engine may be lost or paused. */
        STALLED,
        /** The upstream refused the work; it did not run there. */
        REFUSED
    }

    /**
     * A load report of an engine.
     *
     * @param upstream the upstream
     * @param running generations in the batch
     * @param waiting generations in the engine's own queue
     * @param tokensPerSecond output rate, tokens per second
     * @param cacheUsed used fraction of the prefix cache, from 0 to 1
     * @param draining whether the engine accepts no new work
     */
    record LoadReport(
            String upstream,
            int running,
            int waiting,
            double tokensPerSecond,
            double cacheUsed,
            boolean draining) {}
}
