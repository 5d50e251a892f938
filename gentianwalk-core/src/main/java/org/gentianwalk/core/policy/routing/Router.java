package org.gentianwalk.core.policy.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location.Distance;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision.Candidate;
import org.gentianwalk.core.policy.PolicyOptions;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the engine with the lowest expected delay: queueing, prefill of uncached prompt tokens,
 * and network distance. Only a few randomly sampled engines and the engines with the longest cached
 * prefix are compared, so that instances with equally old load reports do not all choose the same
 * engine. Other regions are considered only when the own region has no free slot and the budget of
 * the region link allows it.
 */
public final class Router {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_HOLDERS_COMPARED = 3;

    /** Cost of a full batch relative to an empty one, milliseconds. */
    private static final double OCCUPANCY_MILLIS = 120;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Cost of an engine that sends neither reports nor tokens, milliseconds: a failed attempt and a
     * resume.
     */
    private static final double UNREACHABLE_MILLIS = 2_000;

    /**
     * Cost of each suspect that an engine runs, milliseconds. If a new request crashed that engine,
     * the loss would count as the suspect's second one.
     */
    private static final double SUSPECT_MILLIS = 200;

    /**
     * Time without a token from which the silence is added to the cost, milliseconds. It is longer
     * than one engine step with a full prefill chunk.
     */
    private static final double SILENCE_MILLIS = 300;

    /** Width of the random tie-break, milliseconds. */
    private static final double TIE_MILLIS = 4;

    private final PolicyOptions mOptions;
    private final PrefixIndex mPrefixes;
    private final RegionLinkBudget mLinkBudget;
    private final Random mRandom;

    /**
     * Creates a router.
     *
     * @param options options of the policy
     * @param prefixes the prefix index, kept up to date by its owner
     * @param budget the budget of the region link
     * @param random random generator
     */
    public Router(
            PolicyOptions options, PrefixIndex prefixes, RegionLinkBudget budget, Random random) {
        mOptions = options;
        mPrefixes = prefixes;
        mLinkBudget = budget;
        mRandom = random;
    }

    /**
     * Chooses an engine with a free slot.
     *
     * @param request the work
     * @param pool engines that may be used, in any order
     * @param nowNanos current time
     * @return the route, or null when no engine has a free slot
     */
    public @Nullable Route choose(Request request, List<EngineState> pool, long nowNanos) {
        Map<String, Integer> held = mPrefixes.matchingBlocks(request.item().prefixHashes());
        List<EngineState> regional = new ArrayList<>(pool.size());
        List<EngineState> remote = new ArrayList<>();
        for (EngineState engine : pool) {
            double limit = slotLimit(engine, request);
            if (hasFreeSlot(engine, request, limit, nowNanos)) {
                (engine.distance() == Distance.OTHER_REGION ? remote : regional).add(engine);
            }
        }
        if (!regional.isEmpty()) {
            return chooseBest(request, regional, held, "own region", nowNanos);
        }
        if (!remote.isEmpty() && request.serviceClass().mayCrossRegions()) {
            double bytes = linkBytes(request.item(), request.outputTokens());
            if (mLinkBudget.isAvailable(request.item().rank(), bytes, nowNanos)) {
                return chooseBest(request, remote, held, "no free slot in own region", nowNanos);
            }
        }
        return null;
    }

    /**
     * Returns the bytes that work transfers over the region link.
     *
     * @param item the work
     * @param outputTokens its output, tokens
     * @return bytes
     */
    public double linkBytes(WorkItem item, double outputTokens) {
        PolicyOptions.Routing routing = mOptions.routing();
        return (double) item.promptTokens() * routing.bytesPerPromptToken()
                + outputTokens * routing.bytesPerOutputToken();
    }

    private Route chooseBest(
            Request request,
            List<EngineState> available,
            Map<String, Integer> held,
            String reason,
            long nowNanos) {
        List<ScoredEngine> scored = new ArrayList<>();
        for (EngineState engine : sample(available, held)) {
            scored.add(score(engine, request, held, nowNanos));
        }
        scored.sort(
                Comparator.comparingDouble(ScoredEngine::cost)
                        .thenComparing(choice -> choice.engine().id()));
        ScoredEngine chosen = scored.getFirst();
        List<Candidate> candidates = new ArrayList<>();
        for (ScoredEngine choice : scored) {
            candidates.add(new Candidate(choice.engine().id(), choice.cost()));
        }
        String text = chosen.cached() > 0 ? reason + ", prompt prefix cached" : reason;
        return new Route(chosen.engine(), chosen.cached(), candidates, text);
    }

    private static boolean hasFreeSlot(
            EngineState engine, Request request, double limit, long nowNanos) {
        if (!engine.isUsable(nowNanos) || engine.id().equals(request.avoidedEngine())) {
            return false;
        }
        if (request.serviceClass().isContinuation() && engine.isKnownSilent()) {
            // It would be silent for this attempt too. New work is bounded by the ejections
            // instead,
            // so that a busy machine, where all engines look silent, refuses none.
            return false;
        }
        if (request.suspect() && engine.suspects() > 0) {
            return false;
        }
        if (request.allowedEngines() != null && !request.allowedEngines().contains(engine.id())) {
            return false;
        }
        return engine.load() < limit
                && (!request.serviceClass().isLimitedToSlotShare()
                        || engine.hasSlotShareLeft(limit, request.sharers()));
    }

    private double slotLimit(EngineState engine, Request request) {
        int slots = engine.info().slots();
        double reserve =
                request.urgentActive()
                        ? Math.min(
                                slots - 1, Math.ceil(mOptions.admission().urgentReserve() * slots))
                        : 0;
        if (engine.distance() == Distance.OTHER_REGION) {
            return slots - reserve;
        }
        boolean waits = request.queueAtEngine() && engine.info().supports(Capability.PRIORITY);
        double full = slots + (waits ? mOptions.admission().engineQueue() : 0);
        return switch (request.serviceClass()) {
            case URGENT_CONTINUATION, URGENT, KEPT_SHARE -> full;
            case STANDARD_CONTINUATION, LIGHT -> reserve > 0 ? slots - reserve + 1 : full;
            case STANDARD -> slots - reserve;
            // One slot is left free: if work above its level could refill every slot, an instance
            // whose work within the levels exceeds its equal share would never get a slot.
            case ABOVE_LEVEL -> reserve > 0 ? slots - reserve : slots - 1;
        };
    }

    private Set<EngineState> sample(List<EngineState> available, Map<String, Integer> held) {
        Set<EngineState> sample = new LinkedHashSet<>();
        if (!held.isEmpty()) {
            available.stream()
                    .filter(engine -> matchedBlocks(held, engine) > 0)
                    .sorted(
                            Comparator.comparingInt((EngineState e) -> -matchedBlocks(held, e))
                                    .thenComparingDouble(EngineState::load))
                    .limit(MAX_HOLDERS_COMPARED)
                    .forEach(sample::add);
        }
        int choices = Math.min(mOptions.routing().choices(), available.size());
        for (int i = 0; i < choices; i++) {
            int drawn = i + mRandom.nextInt(available.size() - i);
            EngineState engine = available.get(drawn);
            available.set(drawn, available.get(i));
            available.set(i, engine);
            sample.add(engine);
        }
        return sample;
    }

    private static int matchedBlocks(Map<String, Integer> held, EngineState engine) {
        return held.getOrDefault(engine.id(), 0);
    }

    private ScoredEngine score(
            EngineState engine, Request request, Map<String, Integer> held, long nowNanos) {
        WorkItem item = request.item();
        int blocks = item.prefixHashes().size();
        int matched = matchedBlocks(held, engine);
        int cached = blocks == 0 ? 0 : (int) ((long) item.promptTokens() * matched / blocks);
        int slots = engine.info().slots();
        double rate = engine.info().tokensPerSecond();
        double excess = Math.max(0, engine.load() - slots + 1);
        double queue = excess * request.outputTokens() / rate * MILLIS_PER_SECOND;
        double prefill =
                (item.promptTokens() - cached + engine.prefillTokens())
                        / engine.info().prefillTokensPerSecond()
                        * MILLIS_PER_SECOND;
        double cost =
                queue
                        + prefill
                        + OCCUPANCY_MILLIS * engine.load() / slots
                        + distanceMillis(engine.distance())
                        + silenceMillis(engine, nowNanos)
                        + (request.suspect() ? 0 : SUSPECT_MILLIS * engine.suspects())
                        + TIE_MILLIS * mRandom.nextDouble();
        return new ScoredEngine(engine, cached, cost);
    }

    /**
     * Returns the cost of silence. Silent engines that are not ejected because of the bound on
     * ejections are used last.
     */
    private static double silenceMillis(EngineState engine, long nowNanos) {
        if (engine.isSilent(nowNanos)) {
            return UNREACHABLE_MILLIS;
        }
        double millis = engine.health().silenceNanos(nowNanos) / NANOS_PER_MILLI;
        return millis > SILENCE_MILLIS ? millis : 0;
    }

    private static double distanceMillis(Distance distance) {
        // Round-trip times in both deployments: 3 ms between zones, 24 ms between regions.
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> 3;
            case OTHER_REGION -> 24;
        };
    }

    /**
     * Work to be placed on an engine.
     *
     * @param item the work
     * @param serviceClass service class, which decides how far it may fill an engine
     * @param outputTokens its expected output, tokens
     * @param suspect whether it is a suspect, which must not share an engine with another one
     * @param avoidedEngine an engine that recently lost it, or null
     * @param allowedEngines the engines that may be used, or null for all
     * @param urgentActive whether the pool recently received urgent work
     * @param queueAtEngine whether it may wait in an engine's own queue
     * @param sharers number of instances that share an engine
     */
    public record Request(
            WorkItem item,
            ServiceClass serviceClass,
            double outputTokens,
            boolean suspect,
            @Nullable String avoidedEngine,
            @Nullable Set<String> allowedEngines,
            boolean urgentActive,
            boolean queueAtEngine,
            int sharers) {}

    /**
     * A chosen engine.
     *
     * @param engine the chosen engine
     * @param cachedTokens prompt tokens expected in its cache
     * @param candidates engines compared, best first
     * @param reason reason of the choice, for the log
     */
    public record Route(
            EngineState engine, int cachedTokens, List<Candidate> candidates, String reason) {}

    private record ScoredEngine(EngineState engine, int cached, double cost) {}
}
