package org.gentianwalk.core.membership;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.proto.Envelope;
import org.gentianwalk.proto.IndirectProbe;
import org.gentianwalk.proto.Probe;
import org.gentianwalk.proto.ProbeAck;

/** Simulates members on a virtual clock, with random delays and loss, partitions and pauses. */
final class MemberNetwork {
    final Map<String, Membership> mNodes = new HashMap<>();
    final Set<String> mKilled = new HashSet<>();
    final Map<String, Long> mPausedUntil = new HashMap<>();
    final Map<String, Long> mBytes = new HashMap<>();
    BiPredicate<String, String> mConnected = (a, b) -> true;
    double mLossShare;
    long mNow = 1_000_000_000_000L;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final SplittableRandom mRandom;
    private final long mSeed;
    private long mCount;

    MemberNetwork(int count, long seed) {
        mSeed = seed;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            add(id(i), 1_000);
        }
    }

    static String id(int index) {
        return "entry-instance-" + index;
    }

    private static Location location(String id) {
        int index = Integer.parseInt(id.substring(id.lastIndexOf('-') + 1));
        return new Location("region-" + index % 2, "zone-" + index % 4);
    }

    static InstanceList.Entry entry(String id, InstanceList.State state) {
        return new InstanceList.Entry(
                id, InstanceList.Kind.INSTANCE, "10.0.0.1:7000", location(id), state);
    }

    /** Adds or restarts a member and updates the platform's list at all members. */
    void add(String id, long incarnation) {
        Member self =
                new Member(
                        id,
                        "10.0.0.1:7000",
                        location(id),
                        incarnation,
                        0,
                        Member.Health.ALIVE,
                        false,
                        0);
        mKilled.remove(id);
        boolean first =
                mNodes.put(
                                id,
                                new Membership(
                                        self, MembershipOptions.DEFAULT, mSeed + id.hashCode()))
                        == null;
        List<InstanceList.Entry> entries = new ArrayList<>();
        mNodes.keySet().forEach(name -> entries.add(entry(name, InstanceList.State.LIVE)));
        mNodes.values().forEach(node -> node.onInstanceList(mNow, entries));
        if (first) {
            scheduleTick(id, mNow + mRandom.nextLong(100_000_000));
        }
    }

    void run(Duration time) {
        long end = mNow + time.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
        }
        mNow = end;
    }

    private void at(long when, Runnable action) {
        mEvents.add(new Event(when, mCount++, action));
    }

    private void scheduleTick(String id, long when) {
        at(
                when,
                () -> {
                    long resume = mPausedUntil.getOrDefault(id, 0L);
                    if (resume > mNow) {
                        scheduleTick(id, resume);
                        return;
                    }
                    if (!mKilled.contains(id)) {
                        send(id, mNodes.get(id).tick(mNow));
                    }
                    scheduleTick(id, mNow + 100_000_000);
                });
    }

    private void send(String from, List<Outgoing> messages) {
        for (Outgoing out : messages) {
            int size =
                    4
                            + Envelope.newBuilder()
                                    .setSender(from)
                                    .setIncarnation(1)
                                    .setSequence(10_000)
                                    .setKeyId("k1")
                                    .setMac(ByteString.copyFrom(new byte[32]))
                                    .setType(out.type())
                                    .setPayload(out.message().toByteString())
                                    .build()
                                    .getSerializedSize();
            mBytes.merge(from, (long) size, Long::sum);
            if (mRandom.nextDouble() < mLossShare || !mConnected.test(from, out.target())) {
                continue;
            }
            deliver(from, out, mNow + 500_000 + mRandom.nextLong(12_000_000));
        }
    }

    private void deliver(String from, Outgoing out, long when) {
        at(
                when,
                () -> {
                    String to = out.target();
                    long resume = mPausedUntil.getOrDefault(to, 0L);
                    if (resume > mNow) {
                        deliver(from, out, resume);
                    } else if (mNodes.containsKey(to) && !mKilled.contains(to)) {

                        send(to, receive(mNodes.get(to), from, out));
                    }
                });
    }

    private List<Outgoing> receive(Membership node, String from, Outgoing out) {
        return switch (out.message()) {
            case Probe probe -> node.onProbe(mNow, probe);
            case ProbeAck ack -> node.onAck(mNow, ack);
            case IndirectProbe request -> node.onIndirectProbe(mNow, from, request);
            default -> throw new IllegalStateException("unexpected " + out.type());
        };
    }

    boolean sees(String observer, String id) {
        return mNodes.get(observer).view().find(id).isPresent();
    }

    /** Returns how many live members have this one in their view. */
    long countSeenBy(String id) {
        return mNodes.keySet().stream()
                .filter(name -> !name.equals(id) && !mKilled.contains(name) && sees(name, id))
                .count();
    }

    boolean isComplete() {
        long living = mNodes.size() - mKilled.size();
        return mNodes.entrySet().stream()
                .filter(node -> !mKilled.contains(node.getKey()))
                .allMatch(node -> node.getValue().view().members().size() == living);
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }
}
