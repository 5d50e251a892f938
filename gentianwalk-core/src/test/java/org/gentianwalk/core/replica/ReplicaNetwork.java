package org.gentianwalk.core.replica;

import com.google.protobuf.MessageLite;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.ReplicaAppend;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaClaimReply;
import org.gentianwalk.proto.ReplicaFetch;
import org.gentianwalk.proto.ReplicaFetchReply;
import org.gentianwalk.proto.ReplicaOpen;

/**
 * Simulates endpoints on a virtual clock; messages may be late, lost or repeated, and instances may
 * pause.
 */
final class ReplicaNetwork {
    static final ReplicaOptions OPTIONS = ReplicaOptions.DEFAULT;
    private static final long DETECTION_NANOS = 5_500_000_000L;

    final Map<String, ReplicaEndpoint> mEndpoints = new HashMap<>();
    final Map<String, Member> mMembers = new HashMap<>();
    final Set<String> mKilled = new HashSet<>();
    final Map<String, Long> mPausedUntil = new HashMap<>();
    final Map<String, Long> mUnseenSince = new HashMap<>();
    final SplittableRandom mRandom;
    final Set<String> mPartition = new HashSet<>();
    long mPartitionSince;
    double mLossShare;
    double mLateShare;
    long mNow = 1_000_000_000_000L;
    long mDuplicates;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Set<TakeoverPlanner> mDone = new HashSet<>();
    private long mCount;

    ReplicaNetwork(int count, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            String id = "i" + i;
            Location place = new Location("r" + i / 6, "z" + i % 2 + "-" + i / 6);
            mMembers.put(id, new Member(id, id + ":1", place, 1, 0, Member.Health.ALIVE, false, 0));
            mEndpoints.put(id, new ReplicaEndpoint(OPTIONS));
        }
    }

    /**
     * Returns an instance's view, without members that were killed, paused or partitioned for
     * longer than the detection time.
     */
    MemberView view(String self) {
        List<Member> others = new ArrayList<>();
        for (Member member : mMembers.values()) {
            Long since = mUnseenSince.get(member.id());
            boolean dead = since != null && mNow - since > DETECTION_NANOS;
            boolean partitioned =
                    mNow - mPartitionSince > DETECTION_NANOS && !isConnected(self, member.id());
            if (!dead && !partitioned) {
                others.add(member);
            }
        }
        return new MemberView(mNow, mMembers.get(self), others);
    }

    void pause(String id, long nanos) {
        mPausedUntil.put(id, mNow + nanos);
        mUnseenSince.put(id, mNow);
        at(mNow + nanos, () -> mUnseenSince.remove(id, mUnseenSince.get(id)));
    }

    /**
     * Returns whether two instances can communicate; a partition separates the set from all others.
     */
    boolean isConnected(String a, String b) {
        return mPartition.contains(a) == mPartition.contains(b);
    }

    void kill(String id) {
        mKilled.add(id);
        mUnseenSince.put(id, mNow);
    }

    void at(long when, Runnable action) {
        mEvents.add(new Event(when, mCount++, action));
    }

    /** Runs an action on an instance: delayed while it is paused, never after it was killed. */
    void on(String id, long when, Runnable action) {
        at(
                when,
                () -> {
                    long resume = mPausedUntil.getOrDefault(id, 0L);
                    if (resume > mNow) {
                        on(id, resume, action);
                    } else if (!mKilled.contains(id)) {
                        action.run();
                    }
                });
    }

    void run(long until) {
        while (!mEvents.isEmpty() && mEvents.peek().at() <= until) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
        }
        mNow = until;
    }

    /** Sends a request; exactly one reply is delivered, which is null after the timeout. */
    void request(String from, String to, MessageLite message, Consumer<MessageLite> answer) {
        boolean[] answered = {false};
        Consumer<MessageLite> once =
                reply -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        answer.accept(reply);
                    }
                };
        on(from, mNow + OPTIONS.ackTimeout().toNanos(), () -> once.accept(null));
        int copies = mRandom.nextDouble() < mLateShare ? 2 : 1;
        mDuplicates += copies - 1;
        for (int copy = 0; copy < copies; copy++) {
            if (from.equals(to) || isTransmitted(from, to)) {
                on(
                        to,
                        mNow + delay(),
                        () -> {
                            MessageLite reply = serve(to, from, message);
                            if (isTransmitted(to, from)) {
                                on(from, mNow + delay(), () -> once.accept(reply));
                            }
                        });
            }
        }
    }

    private boolean isTransmitted(String from, String to) {
        return mRandom.nextDouble() >= mLossShare && isConnected(from, to);
    }

    private long delay() {
        long late = mRandom.nextDouble() < mLateShare ? mRandom.nextLong(3_000_000_000L) : 0;
        return 500_000 + mRandom.nextLong(2_000_000) + late;
    }

    private MessageLite serve(String at, String from, MessageLite message) {
        ReplicaEndpoint endpoint = mEndpoints.get(at);
        return switch (message) {
            case ReplicaBatch batch -> endpoint.apply(mNow, from, 1, batch);
            case ReplicaFetch fetch -> endpoint.fetch(fetch.getKey());
            case ReplicaClaim claim -> endpoint.claim(mNow, claim);
            default -> throw new IllegalStateException("unexpected message");
        };
    }

    /** Sends a session's next item and schedules the exchange that follows. */
    void sendNextItem(String id, OwnerSession session, Runnable changed) {
        OwnerSession.Item item = session.nextItem(mNow, view(id));
        changed.run();
        if (item == null) {
            return;
        }
        ReplicaBatch.Builder batch = ReplicaBatch.newBuilder();
        ReplicaOpen open = item.open();
        ReplicaAppend append = item.append();
        if (open != null) {
            batch.addOpens(open);
        }
        if (append != null) {
            batch.addAppends(append);
        }
        session.takeStaleCopies().forEach(stale -> drop(id, stale));
        request(
                id,
                item.holder().id(),
                batch.build(),
                reply -> {
                    if (reply == null) {
                        session.onFailure(item.id());
                    } else {
                        session.onAck(mNow, item.id(), ((ReplicaBatchAck) reply).getEntriesList());
                    }
                    changed.run();
                    sendNextItem(id, session, changed);
                });
    }

    private void drop(String id, OwnerSession.StaleCopy stale) {
        ReplicaBatch drop = ReplicaBatch.newBuilder().addDrops(stale.drop()).build();
        request(id, stale.holder().id(), drop, reply -> {});
    }

    /** Runs a takeover at an instance. */
    void takeOver(
            String id,
            GenerationKey key,
            int attempt,
            int position,
            Consumer<ReplicaService.Takeover> result) {
        TakeoverPlanner planner =
                new TakeoverPlanner(key, mMembers.get(id), OPTIONS, mRandom.split());
        planner.setCallerPosition(attempt, position);
        ReplicaFetchReply held = mEndpoints.get(id).fetch(key);
        boolean isHeld = held.getFound() && held.getFinishReason().isEmpty();
        sendCalls(
                id,
                planner,
                planner.start(mNow, view(id), isHeld ? held.getHighestAttempt() : 0),
                result);
        tick(id, planner, result);
    }

    private void tick(
            String id, TakeoverPlanner planner, Consumer<ReplicaService.Takeover> result) {
        on(
                id,
                mNow + 20_000_000,
                () -> {
                    if (planner.result() == null) {
                        sendCalls(id, planner, planner.tick(mNow), result);
                        tick(id, planner, result);
                    }
                });
    }

    private void sendCalls(
            String id,
            TakeoverPlanner planner,
            List<TakeoverPlanner.Call> calls,
            Consumer<ReplicaService.Takeover> result) {
        ArrayDeque<TakeoverPlanner.Call> queue = new ArrayDeque<>(calls);
        for (TakeoverPlanner.Call call = queue.poll(); call != null; call = queue.poll()) {
            TakeoverPlanner.Call sent = call;
            String to = call.target().id();
            if (to.equals(id)) {
                queue.addAll(answer(id, planner, sent, serve(id, id, call.message())));
            } else if (mKilled.contains(to) && isConnected(id, to)) {
                on(
                        id,
                        mNow + 1_000_000,
                        () -> {
                            var more = planner.onFailure(mNow, sent.id(), true, view(id));
                            continueTakeover(id, planner, more, result);
                        });
            } else {
                request(
                        id,
                        to,
                        call.message(),
                        reply ->
                                continueTakeover(
                                        id, planner, answer(id, planner, sent, reply), result));
            }
        }
        if (planner.result() != null && mDone.add(planner)) {
            result.accept(planner.result());
        }
    }

    private void continueTakeover(
            String id,
            TakeoverPlanner planner,
            List<TakeoverPlanner.Call> more,
            Consumer<ReplicaService.Takeover> result) {
        if (!mDone.contains(planner)) {
            sendCalls(id, planner, more, result);
        }
    }

    private List<TakeoverPlanner.Call> answer(
            String id, TakeoverPlanner planner, TakeoverPlanner.Call call, MessageLite reply) {
        return switch (reply) {
            case ReplicaFetchReply fetched ->
                    planner.onFetchReply(mNow, call.id(), fetched, view(id));
            case ReplicaClaimReply claimed ->
                    planner.onClaimReply(mNow, call.id(), claimed, view(id));
            case null, default -> planner.onFailure(mNow, call.id(), false, view(id));
        };
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }
}
