package org.gentianwalk.server.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.gentianwalk.core.lease.LeaseTerm;
import org.gentianwalk.core.lease.OrderGate;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.placement.EngineTarget;
import org.gentianwalk.core.placement.ModelDemand;
import org.gentianwalk.core.placement.PlacementChange;
import org.gentianwalk.core.placement.PlacementEngine;
import org.gentianwalk.core.placement.PlacementPlanner;
import org.gentianwalk.core.placement.PlacementRules;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.core.platform.WeightStore;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.log.DecisionLog;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Places models on engines while this instance holds the placement lease. A new term starts from
 * the state that the engines report. Each step plans, sends the targets that engines do not have
 * yet, and checks the state of engines that accepted an order in the previous step; an engine with
 * a different state is sent its target again.
 *
 * <p>One thread calls {@link #step}, every 5 s. Example: {@code driver.step(demand, engines)}
 */
public final class PlacementDriver {
    private static final Logger LOG = Logger.getLogger(PlacementDriver.class);

    /** Maximum wait for an engine's answer to an order. */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(2);

    /** Bounds the connections that a new term opens at once. */
    private static final int PARALLEL_READS = 64;

    private final Supplier<Optional<LeaseTerm>> mLease;
    private final OrderGate mGate = new OrderGate();
    private final EngineOrders mOrders;
    private final WeightStore mWeights;
    private final PlacementRules mRules;
    private final Ticker mTicker;
    private final BiPredicate<UpstreamInfo, String> mMayServe;
    private final DecisionLog mLog;
    private final Map<String, Desired> mDesired = new HashMap<>();
    private @Nullable PlacementPlanner mPlanner;
    private long mFencing;

    /** Target of an engine and its last known state. */
    private static final class Desired {
        EngineTarget mTarget;
        Set<String> mLoaded;
        boolean mConfirmed = true;
        boolean mChecked = true;
        String mModel = "";
        Rank mRank = Rank.STANDARD;
        String mReason = "the engine has another target than ordered";

        Desired(EngineTarget state) {
            mTarget = state;
            mLoaded = new HashSet<>(state.models());
        }
    }

    /**
     * Creates the driver.
     *
     * @param lease the current term of the placement lease
     * @param orders sends orders
     * @param weights grants loads
     * @param rules rules of the planner
     * @param ticker the monotonic clock
     */
    public PlacementDriver(
            Supplier<Optional<LeaseTerm>> lease,
            EngineOrders orders,
            WeightStore weights,
            PlacementRules rules,
            Ticker ticker) {
        this(lease, orders, weights, rules, ticker, (engine, model) -> true, new DecisionLog());
    }

    /**
     * Creates the driver with a limit on what engines may be ordered to serve.
     *
     * @param lease the current term of the placement lease
     * @param orders sends orders
     * @param weights grants loads
     * @param rules rules of the planner
     * @param ticker the monotonic clock
     * @param mayServe returns whether an engine may serve a model
     * @param log receives a line for each accepted order
     */
    public PlacementDriver(
            Supplier<Optional<LeaseTerm>> lease,
            EngineOrders orders,
            WeightStore weights,
            PlacementRules rules,
            Ticker ticker,
            BiPredicate<UpstreamInfo, String> mayServe,
            DecisionLog log) {
        mLease = lease;
        mOrders = orders;
        mWeights = weights;
        mRules = rules;
        mTicker = ticker;
        mMayServe = mayServe;
        mLog = log;
    }

    /**
     * Plans, sends orders and checks the engines' states.
     *
     * @param demand demand by model
     * @param engines live engines that serve models
     * @return orders that engines accepted in this step
     */
    public int step(Collection<ModelDemand> demand, Collection<UpstreamInfo> engines) {
        Optional<LeaseTerm> term = mLease.get();
        if (term.isEmpty()) {
            mPlanner = null;
            mDesired.clear();
            return 0;
        }
        PlacementPlanner planner = mPlanner;
        if (planner == null || term.get().fencing() != mFencing) {
            planner = new PlacementPlanner(mRules);
            mPlanner = planner;
            mFencing = term.get().fencing();
            mDesired.clear();
        }
        refreshStates(engines);
        Map<String, UpstreamInfo> byId = new HashMap<>();
        engines.forEach(engine -> byId.put(engine.id(), engine));
        for (PlacementChange change :
                planner.plan(demand, placementEngines(engines), mTicker.nanos())) {
            UpstreamInfo engine = byId.get(change.engine());
            Desired desired = mDesired.get(change.engine());
            if (engine != null && desired != null && mMayServe.test(engine, change.added())) {
                desired.mTarget = change.target();
                desired.mConfirmed = false;
                desired.mModel = change.added();
                desired.mRank = rankOf(change.added(), demand);
                desired.mReason = change.reason();
            }
        }
        int accepted = 0;
        for (UpstreamInfo engine : engines) {
            Desired desired = mDesired.get(engine.id());
            if (desired != null && !desired.mConfirmed) {
                accepted += sendOrder(engine, desired) ? 1 : 0;
            }
        }
        return accepted;
    }

    private static Rank rankOf(String model, Collection<ModelDemand> demand) {
        boolean urgent =
                demand.stream()
                        .anyMatch(
                                one ->
                                        one.model().equals(model)
                                                && one.urgentTokensPerSecond() > 0);
        return urgent ? Rank.URGENT : Rank.STANDARD;
    }

    /** Reads the state of engines that are new or have accepted an order, and removes lost ones. */
    private void refreshStates(Collection<UpstreamInfo> engines) {
        Set<String> live = new HashSet<>();
        List<UpstreamInfo> unknown = new ArrayList<>();
        for (UpstreamInfo engine : engines) {
            live.add(engine.id());
            Desired desired = mDesired.get(engine.id());
            if (desired == null || !desired.mChecked) {
                unknown.add(engine);
            }
        }
        readStates(unknown).forEach(this::recordState);
        mDesired.keySet().retainAll(live);
    }

    private void recordState(String engine, EngineOrders.EngineState state) {
        Desired desired = mDesired.get(engine);
        if (desired == null) {
            mDesired.put(engine, new Desired(state.target()));
            return;
        }
        desired.mChecked = true;
        if (!state.target().equals(desired.mTarget)) {
            LOG.warnf("engine %s has another target than ordered", engine);
            desired.mConfirmed = false;
            desired.mLoaded = new HashSet<>(state.target().models());
        }
    }

    /** Reads states in parallel, since a new term reads the state of every engine. */
    private Map<String, EngineOrders.EngineState> readStates(List<UpstreamInfo> engines) {
        Map<String, EngineOrders.EngineState> states = new ConcurrentHashMap<>();
        Semaphore slots = new Semaphore(PARALLEL_READS);
        try (ExecutorService readers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (UpstreamInfo engine : engines) {
                slots.acquireUninterruptibly();
                readers.execute(
                        () -> {
                            try {
                                mOrders.state(engine)
                                        .ifPresent(state -> states.put(engine.id(), state));
                            } finally {
                                slots.release();
                            }
                        });
            }
        }
        return states;
    }

    private List<PlacementEngine> placementEngines(Collection<UpstreamInfo> engines) {
        List<PlacementEngine> fleet = new ArrayList<>();
        for (UpstreamInfo engine : engines) {
            Desired desired = mDesired.get(engine.id());
            if (desired != null) {
                int maxModels = Math.max(1, desired.mTarget.models().size());
                fleet.add(
                        new PlacementEngine(
                                engine.id(), maxModels, engine.tokensPerSecond(), desired.mTarget));
            }
        }
        return fleet;
    }

    private boolean sendOrder(UpstreamInfo engine, Desired desired) {
        // The lease is checked again after the weight store has answered, which takes time.
        if (decide(engine).isEmpty() || !requestLoads(desired)) {
            return false;
        }
        Optional<OrderGate.Decision.Send> decision = decide(engine);
        if (decision.isEmpty()) {
            return false;
        }
        EngineOrders.OrderResult result =
                mOrders.order(engine, decision.get().fencing(), desired.mTarget, ORDER_TIMEOUT);
        if (result == EngineOrders.OrderResult.ACCEPTED) {
            desired.mConfirmed = true;
            desired.mChecked = false;
            mLog.placed(
                    engine.id(),
                    desired.mModel,
                    desired.mRank,
                    decision.get().fencing(),
                    List.of(),
                    desired.mReason);
            return true;
        }
        LOG.warnf("engine %s did not accept an order: %s", engine.id(), result);
        return false;
    }

    private Optional<OrderGate.Decision.Send> decide(UpstreamInfo engine) {
        boolean fencing = engine.supports(Capability.FENCING);
        return mGate.decide(fencing, mLease.get(), mTicker.nanos())
                                instanceof OrderGate.Decision.Send send
                        && send.fencing() == mFencing
                ? Optional.of(send)
                : Optional.empty();
    }

    /** Requests a load from the weight store once for each model that the engine does not have. */
    private boolean requestLoads(Desired desired) {
        for (String model : desired.mTarget.models()) {
            if (desired.mLoaded.contains(model)) {
                continue;
            }
            try {
                if (!(mWeights.request(model) instanceof WeightStore.Grant.Granted)) {
                    return false;
                }
            } catch (PlatformException e) {
                LOG.warnf("the weight store did not answer: %s", e.getMessage());
                return false;
            }
            desired.mLoaded.add(model);
        }
        desired.mLoaded.retainAll(desired.mTarget.models());
        return true;
    }
}
