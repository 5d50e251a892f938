package org.gentianwalk.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;

/**
 * One generation with a caller that reconnects. Each attempt of each owner yields different tokens,
 * so a token of a wrong attempt is detected.
 */
final class GenerationRun {
    private static final long TOKEN_NANOS = 20_000_000;
    private static final long RECONNECT_NANOS = 200_000_000;

    final ReplicaNetwork mNet;
    final RequestKey mKey;
    final List<GenerationState.Token> mReceived = new ArrayList<>();
    final List<Release> mReleases = new ArrayList<>();
    final List<Claim> mClaims = new ArrayList<>();
    final List<Long> mResumeNanos = new ArrayList<>();
    private final SplittableRandom mRandom;
    private final int mLength;
    private int mReceivedAttempt = 1;
    private long mLostAt;
    private int mEngineAttempts;
    String mOwner;
    String mEnd = "";

    record Release(String owner, int attempt, int position, long at) {}

    record Claim(String owner, int attempt, int start, long at) {}

    GenerationRun(ReplicaNetwork net, int number) {
        mNet = net;
        mRandom = net.mRandom.split();
        mLength = 20 + mRandom.nextInt(100);
        mKey = new RequestKey("team", "key-" + number);
        mOwner = liveInstance();
    }

    void start() {
        GenerationState state =
                new GenerationState(
                        mKey,
                        new byte[32],
                        new byte[200],
                        "model",
                        "kind",
                        Rank.URGENT,
                        1,
                        0,
                        List.of(new GenerationState.LineageEntry(1, 0, mOwner)),
                        List.of(),
                        null);
        run(mOwner, state);
    }

    String liveInstance() {
        List<String> ids =
                mNet.mMembers.keySet().stream()
                        .filter(id -> !mNet.mKilled.contains(id))
                        .filter(id -> mNet.mPausedUntil.getOrDefault(id, 0L) <= mNet.mNow)
                        .sorted()
                        .toList();
        return ids.get(mRandom.nextInt(ids.size()));
    }

    private void run(String id, GenerationState state) {
        mOwner = id;
        OwnerSession session = new OwnerSession(mNet.mNow, state, id, 1, ReplicaNetwork.OPTIONS);
        mNet.mEndpoints.get(id).add(session);
        int[] releasedCount = {Math.min(state.tokens().size(), mReceived.size())};
        Runnable changed = () -> onReleased(id, session, releasedCount);
        mNet.sendNextItem(id, session, changed);
        produce(id, session, changed);
        watch(id, session);
    }

    private void produce(String id, OwnerSession session, Runnable changed) {
        mNet.on(
                id,
                mNet.mNow + TOKEN_NANOS,
                () -> {
                    if (session.hasEnded()) {
                        return;
                    }
                    session.onMembershipChange(mNet.view(id));
                    int size = session.record().size();
                    if (size < mLength) {
                        if (mRandom.nextInt(100) == 0) {
                            session.nextAttempt(session.attempt() + 1, size);
                            mEngineAttempts++;
                        }
                        int token = (id + "/" + session.attempt() + "/" + size).hashCode();
                        session.append(
                                size, List.of(new GenerationState.Token(token, " t" + size)));
                    } else if (!session.record().isFinished()) {
                        session.finish("stop");
                    }
                    mNet.sendNextItem(id, session, changed);
                    produce(id, session, changed);
                });
    }

    private void onReleased(String id, OwnerSession session, int[] releasedCount) {
        for (; releasedCount[0] < session.releasable(); releasedCount[0]++) {
            int position = releasedCount[0];
            mReleases.add(new Release(id, session.attempt(), position, mNet.mNow));
            assertHeldElsewhere(id, session, position);
            if (id.equals(mOwner) && position == mReceived.size()) {
                if (mLostAt != 0) {
                    mResumeNanos.add(mNet.mNow - mLostAt);
                    mLostAt = 0;
                }
                mReceived.add(session.record().toState().tokens().get(position));
                mReceivedAttempt = attemptAt(session, position);
            }
        }
        if (session.isFinishReleasable() && id.equals(mOwner) && mEnd.isEmpty()) {
            assertThat(mReceived).as("whole answer").isEqualTo(session.record().toState().tokens());
            mEnd = "whole";
        }
    }

    private static int attemptAt(OwnerSession session, int position) {
        int attempt = 1;
        for (var entry : session.record().lineage()) {
            attempt = entry.getStart() <= position ? entry.getAttempt() : attempt;
        }
        return attempt;
    }

    private void assertHeldElsewhere(String id, OwnerSession session, int position) {
        boolean withoutCandidates =
                Candidates.forOwner(mNet.view(id), session.key(), false).isEmpty();
        boolean held =
                mNet.mEndpoints.entrySet().stream()
                        .filter(endpoint -> !endpoint.getKey().equals(id))
                        .map(endpoint -> endpoint.getValue().store().record(session.key()))
                        .anyMatch(record -> record != null && record.size() > position);
        assertThat(withoutCandidates || held)
                .as("token %d of %s is held by a holder", position, id)
                .isTrue();
    }

    /**
     * Reconnects the caller when its owner is dead, unresponsive for 1 s, or no longer the owner.
     */
    private void watch(String id, OwnerSession session) {
        int seen = mReceived.size();
        mNet.at(
                mNet.mNow + 1_000_000_000,
                () -> {
                    if (!id.equals(mOwner) || !mEnd.isEmpty()) {
                        return;
                    }
                    if (mReceived.size() > seen) {
                        watch(id, session);
                        return;
                    }
                    mLostAt = mLostAt == 0 ? mNet.mNow - 1_000_000_000 : mLostAt;
                    reconnect();
                });
    }

    private void reconnect() {
        mOwner = "none";
        String at = liveInstance();
        boolean[] answered = {false};
        mNet.takeOver(
                at,
                GenerationRecord.keyOf(mKey),
                mReceivedAttempt,
                mReceived.size(),
                result -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        onTakeoverResult(at, result);
                    }
                });
        mNet.at(
                mNet.mNow + 5_000_000_000L,
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        reconnect();
                    }
                });
    }

    private void onTakeoverResult(String at, ReplicaService.Takeover result) {
        switch (result) {
            case ReplicaService.Takeover.Taken(GenerationState state) -> {
                int size = mReceived.size();
                if (size > 0 && !Lineage.covers(state, mReceivedAttempt, size)) {
                    mEnd = "diverged";
                    return;
                }
                assertThat(state.tokens().size()).isGreaterThanOrEqualTo(size);
                assertThat(mReceived)
                        .as("tokens so far")
                        .isEqualTo(state.tokens().subList(0, size));
                if (state.finishReason() != null) {
                    mReceived.addAll(state.tokens().subList(size, state.tokens().size()));
                    mEnd = "whole";
                    return;
                }
                var last = state.lineage().getLast();
                mClaims.add(new Claim(at, last.attempt(), last.start(), mNet.mNow));
                run(at, state);
            }
            case ReplicaService.Takeover.NotFound() ->
                    mEnd = mReceived.isEmpty() ? "never released" : "lost";
            case ReplicaService.Takeover.Contended contended ->
                    mNet.at(mNet.mNow + RECONNECT_NANOS, this::reconnect);
        }
    }
}
