package org.gentianwalk.server.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.gentianwalk.core.config.ServingRules;
import org.gentianwalk.core.lease.LeaseHolder;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.UpstreamInfo;
import org.gentianwalk.core.placement.ModelDemand;
import org.gentianwalk.core.placement.PlacementRules;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.server.journal.CallSweeper;
import org.gentianwalk.server.log.DecisionLog;
import org.gentianwalk.server.placement.HttpEngineOrders;
import org.gentianwalk.server.placement.LeaseRunner;
import org.gentianwalk.server.placement.PlacementDriver;

/**
 * Tasks that one instance at a time runs for the fleet, each under its own lease: placement, and
 * the removal of expired call rows.
 */
final class LeasedTasks implements AutoCloseable {
    /** Name of the placement lease. */
    static final String PLACEMENT = "placement";

    private static final String SWEEP = "call-sweep";

    /**
     * Each candidate reads the lease's row every 5 s, so their number must not grow with the fleet.
     */
    private static final int CANDIDATES = 3;

    /** Bounds the sweep to a few writes a second of the several hundred that the store allows. */
    private static final int MAX_DELETES = 100;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final HttpEngineOrders mOrders = new HttpEngineOrders();
    private final Dependencies mDependencies;
    private volatile List<LeasedTask> mTasks = List.of();

    /** Dependencies of the tasks. */
    record Dependencies(
            PlatformClients platform,
            Supplier<MemberView> members,
            Ticker ticker,
            Supplier<List<ModelDemand>> demand,
            Supplier<ServingRules> rules,
            UpstreamStates upstreams) {}

    LeasedTasks(Dependencies dependencies) {
        mDependencies = dependencies;
    }

    void start(NodeTimes times) {
        LeaseRunner placement = lease(PLACEMENT);
        PlacementDriver driver =
                new PlacementDriver(
                        placement::term,
                        mOrders,
                        mDependencies.platform().weights(),
                        PlacementRules.defaults(),
                        mDependencies.ticker(),
                        (engine, model) -> engine.models().contains(model),
                        new DecisionLog());
        LeaseRunner sweep = lease(SWEEP);
        CallSweeper sweeper =
                new CallSweeper(
                        mDependencies.platform().table(),
                        mDependencies.platform().objects(),
                        MAX_DELETES);
        mTasks =
                List.of(
                        LeasedTask.start(
                                PLACEMENT,
                                placement,
                                times.placement(),
                                () -> driver.step(mDependencies.demand().get(), engines())),
                        LeasedTask.start(
                                SWEEP,
                                sweep,
                                times.sweep(),
                                () -> {
                                    if (sweep.term().isPresent()) {
                                        sweeper.sweep(
                                                () -> sweep.term().isPresent(),
                                                System.currentTimeMillis());
                                    }
                                }));
    }

    /** Returns the candidates for the lease of a task, in order of preference. */
    static List<Member> candidates(MemberView view, String name) {
        return view.rendezvous().top(LeaseHolder.PREFIX + name, CANDIDATES);
    }

    /** Returns the fencing tokens of the leases held, by name. */
    Map<String, Long> held() {
        Map<String, Long> held = new TreeMap<>();
        for (LeasedTask task : mTasks) {
            task.term().ifPresent(term -> held.put(task.name(), term.fencing()));
        }
        return held;
    }

    /**
     * Stops the tasks and releases their leases, in parallel since each release waits for the
     * store.
     */
    @Override
    public void close() {
        List<Thread> closers = new ArrayList<>();
        for (LeasedTask task : mTasks) {
            closers.add(Thread.ofVirtual().start(task::close));
        }
        try {
            for (Thread closer : closers) {
                closer.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mOrders.close();
    }

    private List<UpstreamInfo> engines() {
        return mDependencies.rules().get().engines().stream()
                .filter(engine -> mDependencies.upstreams().isUsable(engine.id()))
                .toList();
    }

    private LeaseRunner lease(String name) {
        Member self = mDependencies.members().get().self();
        long now = mDependencies.ticker().nanos();
        LeaseHolder holder =
                new LeaseHolder(
                        name,
                        self.id(),
                        self.incarnation(),
                        System.currentTimeMillis() - now / NANOS_PER_MILLI);
        return LeaseRunner.start(
                holder,
                mDependencies.platform().table(),
                mDependencies.ticker(),
                () -> isCandidate(mDependencies.members().get(), name));
    }

    private static boolean isCandidate(MemberView view, String name) {
        return candidates(view, name).stream()
                .anyMatch(member -> member.id().equals(view.self().id()));
    }
}
