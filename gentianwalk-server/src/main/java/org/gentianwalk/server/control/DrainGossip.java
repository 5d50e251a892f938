package org.gentianwalk.server.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.UpstreamMark;
import org.gentianwalk.proto.UpstreamMarks;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.mesh.MembershipDriver;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jboss.logging.Logger;

/**
 * Spreads the operators' drain marks by gossip. Each instance forwards a new mark at once, and
 * repeats all marks to random members, so that restarted and partitioned instances receive them
 * too.
 *
 * <p>Example: {@code drains.set("engine-3", true)}
 */
public final class DrainGossip {
    /** Receivers of a new mark; with this fanout it reaches 350 instances in about 5 hops. */
    private static final int FANOUT = 4;

    /** Receivers of a repetition; an instance receives none in a second with probability e^-3. */
    private static final int REPEAT_FANOUT = 3;

    /** Maximum number of marks in a message; 64 names of about 30 bytes keep it to about 3 KB. */
    private static final int MARKS_PER_MESSAGE = 64;

    private static final Logger LOG = Logger.getLogger(DrainGossip.class);

    private final FailureGuard mGuard = FailureGuard.logging();
    private final DrainMarks mMarks = new DrainMarks();
    private final MeshNode mMesh;
    private final MembershipDriver mMembers;
    private final ScheduledExecutorService mControl;
    private final Consumer<Set<String>> mListener;

    /**
     * Creates the exchange; it does not run yet.
     *
     * @param mesh the transport
     * @param members the membership
     * @param control single-threaded executor that owns the marks
     * @param listener receives the drained upstreams after each change, on the executor
     */
    public DrainGossip(
            MeshNode mesh,
            MembershipDriver members,
            ScheduledExecutorService control,
            Consumer<Set<String>> listener) {
        mMesh = mesh;
        mMembers = members;
        mControl = control;
        mListener = listener;
    }

    /**
     * Starts to receive marks and to repeat them.
     *
     * @param period time between two repetitions
     */
    public void start(Duration period) {
        mMesh.registerHandler(
                MessageType.UPSTREAM_MARKS,
                UpstreamMarks.parser(),
                (sender, message, reply) -> execute(() -> merge(message)));
        mControl.scheduleAtFixedRate(
                mGuard.guarded("drain marks", this::repeatMarks),
                period.toMillis(),
                period.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sets an operator's mark asynchronously; it takes effect once the executor has run the task.
     *
     * @param upstream the upstream
     * @param drained true to stop its new work
     */
    public void set(String upstream, boolean drained) {
        execute(
                () -> {
                    UpstreamMark mark = mMarks.set(upstream, drained, System.currentTimeMillis());
                    LOG.infof("upstream %s: operator set drained=%s", upstream, drained);
                    mListener.accept(mMarks.drained());
                    send(List.of(mark), FANOUT);
                });
    }

    private void merge(UpstreamMarks message) {
        List<UpstreamMark> marks = message.getMarksList();
        if (mMarks.merge(marks, System.currentTimeMillis())) {
            mListener.accept(mMarks.drained());
            send(marks.subList(0, Math.min(marks.size(), MARKS_PER_MESSAGE)), FANOUT);
        }
    }

    private void repeatMarks() {
        send(mMarks.next(MARKS_PER_MESSAGE, System.currentTimeMillis()), REPEAT_FANOUT);
    }

    private void send(Collection<UpstreamMark> marks, int fanout) {
        if (marks.isEmpty()) {
            return;
        }
        UpstreamMarks message = UpstreamMarks.newBuilder().addAllMarks(marks).build();
        List<Member> others = new ArrayList<>(mMembers.view().members());
        others.removeIf(member -> member.id().equals(mMembers.view().self().id()));
        Collections.shuffle(others, ThreadLocalRandom.current());
        for (Member member : others.subList(0, Math.min(fanout, others.size()))) {
            mMesh.send(MeshPeer.of(member), MessageType.UPSTREAM_MARKS, message);
        }
    }

    private void execute(Runnable task) {
        try {
            mControl.execute(mGuard.guarded("drain marks", task));
        } catch (RejectedExecutionException ignored) {
            // The instance is stopping.
        }
    }
}
