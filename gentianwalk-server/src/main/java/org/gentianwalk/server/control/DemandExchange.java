package org.gentianwalk.server.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.placement.ModelDemand;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.DemandReport;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.ModelDemandRate;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;

/**
 * Sums the demand by model over all instances. Each instance reports its demand only to the
 * candidates for the placement lease, so that its cost does not grow with the size of the fleet.
 *
 * <p>Example: {@code driver.step(exchange.total(), engines)}
 */
public final class DemandExchange {
    private static final Duration PERIOD = Duration.ofSeconds(5);

    /** A report expires when three further ones in a row are missing. */
    private static final long STALE_NANOS = PERIOD.multipliedBy(3).toNanos();

    private final FailureGuard mGuard = FailureGuard.logging();
    private final MeshNode mMesh;
    private final MembershipDriver mMembers;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;
    private final Map<String, Report> mReports = new HashMap<>();
    private volatile List<ModelDemand> mTotal = List.of();

    /** Last report of an instance. */
    private record Report(Collection<ModelDemand> demand, long receivedNanos) {}

    /**
     * Creates an exchange that does not run yet.
     *
     * @param mesh the transport
     * @param members the membership
     * @param control single-threaded executor that owns the reports
     * @param ticker time source
     */
    public DemandExchange(
            MeshNode mesh,
            MembershipDriver members,
            ScheduledExecutorService control,
            Ticker ticker) {
        mMesh = mesh;
        mMembers = members;
        mControl = control;
        mTicker = ticker;
    }

    /**
     * Starts to send and to receive reports.
     *
     * @param own returns this instance's demand since the last call, on the executor
     * @param receivers returns the members that sum the demand
     */
    public void start(
            LongFunction<List<ModelDemand>> own, Function<MemberView, List<Member>> receivers) {
        mMesh.registerHandler(
                MessageType.DEMAND_REPORT,
                DemandReport.parser(),
                (sender, message, reply) ->
                        execute(() -> store(sender.id(), DemandExchange.fromProto(message))));
        mControl.scheduleAtFixedRate(
                mGuard.guarded("report of the demand", () -> report(own, receivers)),
                PERIOD.toMillis(),
                PERIOD.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the demand of the fleet, as far as it was reported to this instance.
     *
     * @return demand by model, from any thread
     */
    public List<ModelDemand> total() {
        return mTotal;
    }

    private void report(
            LongFunction<List<ModelDemand>> own, Function<MemberView, List<Member>> receivers) {
        MemberView view = mMembers.view();
        List<ModelDemand> demand = own.apply(mTicker.nanos());
        store(view.self().id(), demand);
        for (Member member : receivers.apply(view)) {
            if (!member.id().equals(view.self().id())) {
                mMesh.send(MeshPeer.of(member), MessageType.DEMAND_REPORT, toProto(demand));
            }
        }
    }

    private void store(String instance, Collection<ModelDemand> demand) {
        long now = mTicker.nanos();
        mReports.put(instance, new Report(demand, now));
        mReports.values().removeIf(report -> now - report.receivedNanos() > STALE_NANOS);
        Map<String, ModelDemand> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            for (ModelDemand entry : report.demand()) {
                sums.merge(entry.model(), entry, DemandExchange::add);
            }
        }
        mTotal = List.copyOf(sums.values());
    }

    private static ModelDemand add(ModelDemand left, ModelDemand right) {
        return new ModelDemand(
                left.model(),
                left.urgentTokensPerSecond() + right.urgentTokensPerSecond(),
                left.standardTokensPerSecond() + right.standardTokensPerSecond());
    }

    private static DemandReport toProto(List<ModelDemand> demand) {
        DemandReport.Builder report = DemandReport.newBuilder();
        for (ModelDemand entry : demand) {
            report.addRates(
                    ModelDemandRate.newBuilder()
                            .setModel(entry.model())
                            .setUrgent((float) entry.urgentTokensPerSecond())
                            .setStandard((float) entry.standardTokensPerSecond()));
        }
        return report.build();
    }

    private static List<ModelDemand> fromProto(DemandReport report) {
        List<ModelDemand> demand = new ArrayList<>();
        for (ModelDemandRate rate : report.getRatesList()) {
            demand.add(new ModelDemand(rate.getModel(), rate.getUrgent(), rate.getStandard()));
        }
        return demand;
    }

    private void execute(Runnable task) {
        try {
            mControl.execute(mGuard.guarded("report of the demand", task));
        } catch (RejectedExecutionException ignored) {
            // The instance is stopping.
        }
    }
}
