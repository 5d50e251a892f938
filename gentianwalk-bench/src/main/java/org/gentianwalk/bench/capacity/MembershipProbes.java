package org.gentianwalk.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.Membership;
import org.gentianwalk.core.membership.MembershipOptions;
import org.gentianwalk.core.membership.Outgoing;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.proto.IndirectProbe;
import org.gentianwalk.proto.MemberState;
import org.gentianwalk.proto.MemberUpdate;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.ProbeAck;

/**
 * Measures the costs of membership by fleet size. Traffic is measured right after the fleet has
 * formed, when most messages carry the maximum number of updates; the steady state costs less. A
 * configuration change every 2.8 s is included, since it makes every instance rebuild its view.
 */
final class MembershipProbes {
    private static final String ROLE = "membership";
    private static final int PLANNED = 350;
    private static final int ZONES = 8;
    private static final int REGIONS = 4;
    private static final long SECOND = 1_000_000_000L;
    private static final long TICK_NANOS = SECOND / 10;
    private static final long CHANGE_INTERVAL_NANOS = 2_800_000_000L;
    private static final long HEAP_MEMBERS = 3_000;
    private static final int ENVELOPE_BYTES =
            Frames.bytes(MessageType.PROBE, ProbeAck.getDefaultInstance());

    private final Map<Integer, Cost> mCosts = new HashMap<>();
    private final int[] mSizes;
    private final int mSeconds;

    MembershipProbes(boolean quick) {
        mSizes = quick ? new int[] {8, 16, 32} : new int[] {44, 88, 175, 350};
        mSeconds = quick ? 3 : 10;
    }

    List<CapacityProbe> all() {
        return List.of(
                probe("bytes a second, sent and received", size -> cost(size).bytes()),
                probe("processor time, µs a second", size -> cost(size).cpuMicros()),
                probe("memory, bytes", MembershipProbes::memory));
    }

    private Probe probe(String quantity, Probe.Measurement measurement) {
        return new Probe(ROLE, quantity, "instances", mSizes, PLANNED, measurement);
    }

    private Cost cost(int size) throws InvalidProtocolBufferException {
        Cost cost = mCosts.get(size);
        if (cost == null) {
            if (mCosts.isEmpty()) {
                new Fleet(mSizes[0]).run(mSeconds);
            }
            cost = new Fleet(size).run(mSeconds);
            mCosts.put(size, cost);
        }
        return cost;
    }

    private static double memory(int size) {
        MemberUpdate[] updates = updates(size);
        return Meter.heapBytes(
                (int) Math.max(2, HEAP_MEMBERS / size),
                () -> {
                    try {
                        Membership membership = createNode(0, updates);
                        membership.view();
                        return membership;
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static String id(int index) {
        return "entry-instance-" + index;
    }

    private static Location location(int index) {
        int zone = index % ZONES;
        return new Location("region-" + zone % REGIONS, "zone-" + zone);
    }

    private static MemberUpdate[] updates(int size) {
        MemberUpdate[] updates = new MemberUpdate[size];
        for (int i = 0; i < size; i++) {
            updates[i] =
                    MemberUpdate.newBuilder()
                            .setInstance(id(i))
                            .setAddress("10.20.30.40:7000")
                            .setRegion(location(i).region())
                            .setAvailabilityZone(location(i).availabilityZone())
                            .setIncarnation(1_000)
                            .setState(MemberState.ALIVE)
                            .build();
        }
        return updates;
    }

    /** Creates a member that has learned of all others from a message decoded as on the mesh. */
    private static Membership createNode(int index, MemberUpdate[] updates)
            throws InvalidProtocolBufferException {
        Member self =
                new Member(
                        id(index),
                        "10.20.30.40:7000",
                        location(index),
                        1_000,
                        0,
                        Member.Health.ALIVE,
                        false,
                        0);
        Membership membership = new Membership(self, MembershipOptions.DEFAULT, index);
        MemberUpdate first = updates[(index + 1) % updates.length];
        ProbeAck.Builder ack = ProbeAck.newBuilder().setSelf(first);
        ack.addAllUpdates(List.of(updates));
        membership.onAck(0, ProbeAck.parseFrom(ack.build().toByteArray()));
        return membership;
    }

    /** Cost per instance: bytes per second and CPU microseconds per second. */
    private record Cost(double bytes, double cpuMicros) {}

    private record Message(String from, String to, MessageType type, byte[] bytes) {}

    /** All members of a fleet, with immediate message delivery. */
    private static final class Fleet {
        private final List<Membership> mNodes = new ArrayList<>();
        private final Map<String, Membership> mById = new HashMap<>();
        private final Deque<Message> mMessages = new ArrayDeque<>();
        private long mBytes;

        Fleet(int size) throws InvalidProtocolBufferException {
            MemberUpdate[] updates = updates(size);
            for (int i = 0; i < size; i++) {
                Membership node = createNode(i, updates);
                mNodes.add(node);
                mById.put(id(i), node);
            }
        }

        Cost run(int seconds) throws InvalidProtocolBufferException {
            long started = Meter.cpuNanos();
            for (long now = SECOND; now <= (seconds + 1) * SECOND; now += TICK_NANOS) {
                for (int i = 0; i < mNodes.size(); i++) {
                    Membership node = mNodes.get(i);
                    node.setConfigVersion(1 + now / CHANGE_INTERVAL_NANOS);
                    send(id(i), node.tick(now));
                    node.view();
                    deliver(now);
                }
            }
            double instanceSeconds = (double) mNodes.size() * seconds;
            long used = Meter.cpuNanos() - started;
            return new Cost(2.0 * mBytes / instanceSeconds, used / instanceSeconds / 1_000);
        }

        private void deliver(long now) throws InvalidProtocolBufferException {
            while (!mMessages.isEmpty()) {
                Message message = mMessages.removeFirst();
                mBytes += ENVELOPE_BYTES + message.bytes().length;
                Membership node = mById.get(message.to());
                if (node == null) {
                    throw new IllegalStateException("unknown instance " + message.to());
                }
                List<Outgoing> answers = handle(now, node, message);
                node.view();
                send(message.to(), answers);
            }
        }

        private static List<Outgoing> handle(long now, Membership node, Message message)
                throws InvalidProtocolBufferException {
            return switch (message.type()) {
                case PROBE ->
                        node.onProbe(now, org.gentianwalk.proto.Probe.parseFrom(message.bytes()));
                case PROBE_ACK -> node.onAck(now, ProbeAck.parseFrom(message.bytes()));
                case INDIRECT_PROBE ->
                        node.onIndirectProbe(
                                now, message.from(), IndirectProbe.parseFrom(message.bytes()));
                default -> throw new IllegalStateException("unexpected " + message.type());
            };
        }

        private void send(String from, List<Outgoing> messages) {
            for (Outgoing out : messages) {
                byte[] bytes = out.message().toByteArray();
                mMessages.add(new Message(from, out.target(), out.type(), bytes));
            }
        }
    }
}
