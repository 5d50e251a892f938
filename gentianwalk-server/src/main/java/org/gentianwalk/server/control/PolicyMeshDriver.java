package org.gentianwalk.server.control;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.policy.PolicyPeer;
import org.gentianwalk.core.policy.fairness.PolicyMessage;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.PoolLevel;
import org.gentianwalk.proto.SuspectNotice;
import org.gentianwalk.proto.UsageReport;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;

/**
 * Exchanges usage reports, pool levels and suspect notices between the schedulers of the instances.
 *
 * <p>Options: none. Example: {@code new PolicyMeshDriver(scheduler, mesh, members, control,
 * ticker).start()}.
 */
public final class PolicyMeshDriver {
    /** Suspect notices should spread within a fraction of a second; reports are due every 2 s. */
    private static final Duration TICK = Duration.ofMillis(50);

    private final FailureGuard mGuard = FailureGuard.logging();
    private final PolicyPeer mPolicy;
    private final MeshNode mMesh;
    private final MembershipDriver mMembers;
    private final ScheduledExecutorService mControl;
    private final Ticker mTicker;

    /**
     * Creates a driver that does not run yet.
     *
     * @param policy the scheduler, used on the control executor only
     * @param mesh the transport
     * @param members the membership
     * @param control single-threaded executor
     * @param ticker time source
     */
    public PolicyMeshDriver(
            PolicyPeer policy,
            MeshNode mesh,
            MembershipDriver members,
            ScheduledExecutorService control,
            Ticker ticker) {
        mPolicy = policy;
        mMesh = mesh;
        mMembers = members;
        mControl = control;
        mTicker = ticker;
    }

    /** Starts to send and to receive messages. */
    public void start() {
        receive(MessageType.USAGE_REPORT, UsageReport.parser(), PolicyMessageCodec::fromProto);
        receive(MessageType.POOL_LEVEL, PoolLevel.parser(), PolicyMessageCodec::fromProto);
        receive(MessageType.SUSPECT_NOTICE, SuspectNotice.parser(), PolicyMessageCodec::fromProto);
        mMembers.addListener(this::updateMembers);
        execute(() -> updateMembers(mMembers.view()));
        mControl.scheduleAtFixedRate(
                mGuard.guarded("messages of the scheduler", this::send),
                TICK.toMillis(),
                TICK.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private <T extends MessageLite> void receive(
            MessageType type, Parser<T> parser, Function<T, PolicyMessage> decoder) {
        mMesh.registerHandler(
                type,
                parser,
                (sender, message, reply) -> {
                    PolicyMessage decoded = decoder.apply(message);
                    execute(() -> mPolicy.receive(decoded, mTicker.nanos()));
                });
    }

    private void updateMembers(MemberView view) {
        Map<String, Location> live = new HashMap<>();
        for (Member member : view.usable()) {
            live.put(member.id(), member.location());
        }
        live.putIfAbsent(view.self().id(), view.self().location());
        mPolicy.replaceMembers(live, mTicker.nanos());
    }

    private void send() {
        for (PolicyMessage.Addressed due : mPolicy.messages(mTicker.nanos())) {
            mMembers.view()
                    .find(due.instance())
                    .ifPresent(member -> send(MeshPeer.of(member), due.message()));
        }
    }

    private void send(MeshPeer peer, PolicyMessage message) {
        switch (message) {
            case PolicyMessage.UsageReport report ->
                    mMesh.send(peer, MessageType.USAGE_REPORT, PolicyMessageCodec.toProto(report));
            case PolicyMessage.PoolLevel level ->
                    mMesh.send(peer, MessageType.POOL_LEVEL, PolicyMessageCodec.toProto(level));
            case PolicyMessage.SuspectNotice notice ->
                    mMesh.send(
                            peer, MessageType.SUSPECT_NOTICE, PolicyMessageCodec.toProto(notice));
        }
    }

    private void execute(Runnable task) {
        try {
            mControl.execute(mGuard.guarded("messages of the scheduler", task));
        } catch (RejectedExecutionException ignored) {
            // The instance is stopping.
        }
    }
}
