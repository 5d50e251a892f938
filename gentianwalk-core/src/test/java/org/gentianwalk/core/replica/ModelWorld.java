package org.gentianwalk.core.replica;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaClaimReply;
import org.gentianwalk.proto.ReplicaFetch;
import org.gentianwalk.proto.ReplicaFetchReply;

/**
 * Models one generation with its owner a, an instance b that takes it over, and a holder h.
 *
 * <p>The exploration starts when h, or b, has stored the first token. Messages arrive in any order,
 * but before the timeout of their call. The number of faults is bounded: a message that is lost or
 * arrives after the timeout, a message that is repeated at any later time, and a pause of a or h of
 * any length.
 */
final class ModelWorld {
    private static final long STEP = 310_000_000;
    private static final RandomGenerator FIXED = () -> 1L;
    private static final RequestKey KEY = new RequestKey("team", "key");
    private static final GenerationKey PROTO_KEY = GenerationRecord.keyOf(KEY);
    private static final List<Member> MEMBERS =
            List.of(member("a", "z1"), member("b", "z1"), member("h", "z2"));

    private final ReplicaOptions mOptions = ReplicaOptions.DEFAULT;
    private final Map<String, ReplicaEndpoint> mEndpoints = new TreeMap<>();
    private final List<Message> mNetwork = new ArrayList<>();
    private final Map<Long, Long> mCalls = new TreeMap<>();
    private final OwnerSession mOwner;
    private TakeoverPlanner mTakeover;
    private OwnerSession mNewOwner;
    private long mNow = 1_000_000_000;
    private String mPaused = "";
    private int mFaults;
    private int mTimeSteps;
    private int mProduced;
    private int mClaimedAt = -1;

    /** A message in flight; {@code id} is that of its item or call. */
    private record Message(
            String from, String to, long id, boolean reply, MessageLite body, boolean late) {
        Message asLate() {
            return new Message(from, to, id, reply, body, true);
        }
    }

    ModelWorld() {
        MEMBERS.forEach(member -> mEndpoints.put(member.id(), new ReplicaEndpoint(mOptions)));
        mOwner =
                new OwnerSession(
                        mNow,
                        new GenerationState(
                                KEY,
                                new byte[1],
                                new byte[1],
                                "m",
                                "k",
                                Rank.URGENT,
                                1,
                                0,
                                List.of(new GenerationState.LineageEntry(1, 0, "a")),
                                List.of(),
                                null),
                        "a",
                        1,
                        mOptions);
        mEndpoints.get("a").add(mOwner);
        produce();
        deliver(mNetwork.removeFirst());
        deliver(mNetwork.removeFirst());
    }

    private static Member member(String id, String zone) {
        return new Member(
                id, id + ":1", new Location("r", zone), 1, 0, Member.Health.ALIVE, false, 0);
    }

    private static MemberView view(String self) {
        Member own = MEMBERS.stream().filter(m -> m.id().equals(self)).findFirst().orElseThrow();
        return new MemberView(1, own, MEMBERS);
    }

    /** Returns the events that can happen now; an event's effect depends only on its text. */
    List<String> events(int maxFaults) {
        List<String> events = new ArrayList<>();
        boolean faults = mFaults < maxFaults;
        boolean quiet = true;
        for (int i = 0; i < mNetwork.size(); i++) {
            Message message = mNetwork.get(i);
            if (mNetwork.indexOf(message) < i || message.to().equals(mPaused)) {
                continue;
            }
            events.add("deliver " + i);
            quiet &= message.late();
            if (faults && !message.late()) {
                events.add("repeat " + i);
                events.add("delay " + i);
            }
        }
        if (mProduced < 3 && !mPaused.equals("a") && !mOwner.hasEnded()) {
            events.add("produce");
        }
        if (mTakeover == null && mOwner.releasable() > 0) {
            events.add("takeover");
        }
        if (quiet && !mCalls.isEmpty() && mTimeSteps < 6) {
            events.add("time");
        }
        if (!mPaused.isEmpty()) {
            events.add("resume");
        } else if (faults) {
            events.add("pause a");
            events.add("pause h");
        }
        return events;
    }

    void apply(String event) {
        String[] words = event.split(" ");
        switch (words[0]) {
            case "deliver" -> deliver(mNetwork.remove(Integer.parseInt(words[1])));
            case "repeat" -> {
                mFaults++;
                int index = Integer.parseInt(words[1]);
                Message message = mNetwork.get(index);
                mNetwork.set(index, message.asLate());
                deliver(message);
            }
            case "delay" -> {
                mFaults++;
                mNetwork.add(mNetwork.remove(Integer.parseInt(words[1])).asLate());
            }
            case "produce" -> produce();
            case "takeover" -> takeOver();
            case "time" -> timeOutCalls();
            case "pause" -> {
                mFaults++;
                mPaused = words[1];
            }
            case "resume" -> mPaused = "";
            default -> throw new IllegalStateException(event);
        }
    }

    /** Returns the violated rule, or null when the state is allowed. */
    String violation() {
        if (mClaimedAt >= 0 && mOwner.releasable() > mClaimedAt) {
            return "a may release " + mOwner.releasable() + " though b claimed at " + mClaimedAt;
        }
        return null;
    }

    boolean isClaimed() {
        return mClaimedAt >= 0;
    }

    boolean isNewOwnerReleasing() {
        return mNewOwner != null && mNewOwner.releasable() > mClaimedAt;
    }

    String text() {
        List<Integer> messages = new ArrayList<>();
        mNetwork.forEach(message -> messages.add(message.hashCode()));
        messages.sort(null);
        return StateText.of(mEndpoints)
                + StateText.of(mTakeover)
                + StateText.of(mNewOwner)
                + messages
                + mCalls
                + mNow
                + mPaused
                + mFaults
                + mProduced
                + mClaimedAt;
    }

    private void produce() {
        int token = mProduced++;
        mOwner.append(token, List.of(new GenerationState.Token(token, "a")));
        sendNextItem("a", mOwner);
    }

    private void sendNextItem(String id, OwnerSession session) {
        OwnerSession.Item item = session.nextItem(mNow, view(id));
        if (item != null) {
            ReplicaBatch.Builder batch = ReplicaBatch.newBuilder();
            if (item.open() != null) {
                batch.addOpens(item.open());
            }
            if (item.append() != null) {
                batch.addAppends(item.append());
            }
            mNetwork.add(
                    new Message(id, item.holder().id(), item.id(), false, batch.build(), false));
            mCalls.put(item.id() + (id.equals("a") ? 1_000 : 2_000), mNow);
        }
    }

    private void takeOver() {
        Member self = MEMBERS.get(1);
        mTakeover = new TakeoverPlanner(PROTO_KEY, self, mOptions, FIXED);
        mTakeover.setCallerPosition(1, mOwner.releasable());
        ReplicaFetchReply held = mEndpoints.get("b").fetch(PROTO_KEY);
        call(mTakeover.start(mNow, view("b"), held.getHighestAttempt()));
    }

    private void call(List<TakeoverPlanner.Call> calls) {
        for (TakeoverPlanner.Call call : calls) {
            String to = call.target().id();
            if (to.equals("b")) {
                answer(call.id(), serve("b", "b", call.message()));
            } else {
                mNetwork.add(new Message("b", to, call.id(), false, call.message(), false));
                mCalls.put(call.id(), mNow);
            }
        }
        boolean taken = mTakeover.result() instanceof ReplicaService.Takeover.Taken;
        if (taken && mNewOwner == null) {
            var state = ((ReplicaService.Takeover.Taken) mTakeover.result()).state();
            mClaimedAt = state.tokens().size();
            mNewOwner = new OwnerSession(mNow, state, "b", 1, mOptions);
            mEndpoints.get("b").add(mNewOwner);
            mNewOwner.append(mClaimedAt, List.of(new GenerationState.Token(9, "b")));
            sendNextItem("b", mNewOwner);
        }
    }

    private void answer(long id, MessageLite reply) {
        call(
                switch (reply) {
                    case ReplicaFetchReply fetched ->
                            mTakeover.onFetchReply(mNow, id, fetched, view("b"));
                    case ReplicaClaimReply claimed ->
                            mTakeover.onClaimReply(mNow, id, claimed, view("b"));
                    default -> throw new IllegalStateException("unexpected reply");
                });
    }

    private MessageLite serve(String at, String from, MessageLite body) {
        ReplicaEndpoint endpoint = mEndpoints.get(at);
        return switch (body) {
            case ReplicaBatch batch -> endpoint.apply(0, from, 1, batch);
            case ReplicaFetch fetch -> endpoint.fetch(fetch.getKey());
            case ReplicaClaim claim -> endpoint.claim(0, claim);
            default -> throw new IllegalStateException("unexpected message");
        };
    }

    private void deliver(Message message) {
        if (!message.reply()) {
            MessageLite reply = serve(message.to(), message.from(), message.body());
            Message answer =
                    new Message(message.to(), message.from(), message.id(), true, reply, false);
            // A fetch changes nothing, so the order of other events between it and its reply is
            // irrelevant.
            if (message.body() instanceof ReplicaFetch) {
                deliver(answer);
            } else {
                mNetwork.add(answer);
            }
        } else if (message.body() instanceof ReplicaBatchAck ack) {
            OwnerSession session = message.to().equals("a") ? mOwner : mNewOwner;
            mCalls.remove(message.id() + (message.to().equals("a") ? 1_000 : 2_000));
            session.onAck(mNow, message.id(), ack.getEntriesList());
            sendNextItem(message.to(), session);
        } else {
            mCalls.remove(message.id());
            answer(message.id(), message.body());
        }
    }

    /** Advances the clock by the timeout of a call and fails the calls without a reply. */
    private void timeOutCalls() {
        mTimeSteps++;
        mNow += STEP;
        for (Map.Entry<Long, Long> call : List.copyOf(mCalls.entrySet())) {
            long id = call.getKey();
            if (mNow - call.getValue() < STEP || (id / 1_000 == 1 && mPaused.equals("a"))) {
                continue;
            }
            mCalls.remove(id);
            switch ((int) (id / 1_000)) {
                case 0 -> call(mTakeover.onFailure(mNow, id, false, view("b")));
                case 1 -> {
                    mOwner.onFailure(id - 1_000);
                    sendNextItem("a", mOwner);
                }
                default -> {
                    mNewOwner.onFailure(id - 2_000);
                    sendNextItem("b", mNewOwner);
                }
            }
        }
        if (mTakeover != null && mTakeover.result() == null) {
            call(mTakeover.tick(mNow));
        }
    }
}
