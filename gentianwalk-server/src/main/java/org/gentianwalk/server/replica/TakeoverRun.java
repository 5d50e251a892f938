package org.gentianwalk.server.replica;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.replica.ReplicaOptions;
import org.gentianwalk.core.replica.ReplicaService;
import org.gentianwalk.core.replica.TakeoverPlanner;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.ReplicaClaim;
import org.gentianwalk.proto.ReplicaClaimReply;
import org.gentianwalk.proto.ReplicaFetch;
import org.gentianwalk.proto.ReplicaFetchReply;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jspecify.annotations.Nullable;

/** Executes one takeover; confined to the event loop of the service. */
final class TakeoverRun {
    /** Maximum duration of a takeover; an answer after 5 s is too late for the caller. */
    private static final Duration MAX_DURATION = Duration.ofSeconds(5);

    /** Delay after a failed call, which avoids a busy loop on a connection that fails at once. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private final MeshReplicaService mService;
    private final RequestKey mKey;
    private final ReplicaOptions mOptions;
    private final TakeoverPlanner mPlanner;
    private final Member mSelf;
    private final CompletableFuture<ReplicaService.Takeover> mResult = new CompletableFuture<>();
    private final Deque<TakeoverPlanner.Call> mCalls = new ArrayDeque<>();
    private boolean mRunning;
    private boolean mCompleted;

    TakeoverRun(MeshReplicaService service, RequestKey key, Member self, ReplicaOptions options) {
        mService = service;
        mKey = key;
        mSelf = self;
        mOptions = options;
        mPlanner = new TakeoverPlanner(protoKey(), self, options, new SplittableRandom());
    }

    void require(int attempt, int position) {
        mPlanner.setCallerPosition(attempt, position);
    }

    ReplicaService.Takeover await() {
        try {
            return mResult.get(MAX_DURATION.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            mService.runOnLoop(() -> complete(new ReplicaService.Takeover.Contended("timeout")));
            return new ReplicaService.Takeover.Contended("no result within " + MAX_DURATION);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new ReplicaService.Takeover.Contended("interrupted");
        } catch (ExecutionException e) {
            throw new CompletionException(e.getCause());
        }
    }

    void start(long now, MemberView view) {
        ReplicaFetchReply held = mService.endpoint().fetch(protoKey());
        boolean unfinished = held.getFound() && held.getFinishReason().isEmpty();
        performCalls(mPlanner.start(now, view, unfinished ? held.getHighestAttempt() : 0));
    }

    void tick(long now) {
        performCalls(mPlanner.tick(now));
    }

    private GenerationKey protoKey() {
        return GenerationKey.newBuilder().setTeam(mKey.team()).setKey(mKey.key()).build();
    }

    private void performCalls(List<TakeoverPlanner.Call> calls) {
        mCalls.addAll(calls);
        if (mRunning) {
            return;
        }
        mRunning = true;
        for (var call = mCalls.poll(); call != null; call = mCalls.poll()) {
            if (call.target().id().equals(mSelf.id())) {
                callLocally(call);
            } else {
                callRemotely(call);
            }
        }
        mRunning = false;
        ReplicaService.Takeover result = mPlanner.result();
        if (result != null) {
            complete(result);
        }
    }

    private void complete(ReplicaService.Takeover result) {
        if (!mCompleted) {
            mCompleted = true;
            boolean taken = result instanceof ReplicaService.Takeover.Taken;
            mService.takeoverEnded(this, mKey, taken ? mPlanner.holders() : List.of());
            mResult.complete(result);
        }
    }

    private void callLocally(TakeoverPlanner.Call call) {
        if (call.message() instanceof ReplicaClaim claim) {
            ReplicaClaimReply reply = mService.endpoint().claim(mService.now(), claim);
            mService.notifyFenced();
            handleReply(call, reply, false);
        } else if (call.message() instanceof ReplicaFetch fetch) {
            handleReply(call, mService.endpoint().fetch(fetch.getKey()), false);
        }
    }

    private void callRemotely(TakeoverPlanner.Call call) {
        if (call.message() instanceof ReplicaClaim) {
            sendRequest(call, MessageType.REPLICA_CLAIM, ReplicaClaimReply.parser());
        } else {
            sendRequest(call, MessageType.REPLICA_FETCH, ReplicaFetchReply.parser());
        }
    }

    private <R extends MessageLite> void sendRequest(
            TakeoverPlanner.Call call, MessageType type, Parser<R> parser) {
        MeshPeer peer = MeshPeer.of(call.target());
        mService.mesh()
                .request(peer, type, call.message(), parser, mOptions.ackTimeout())
                .whenComplete(
                        (reply, failure) -> {
                            if (reply != null) {
                                mService.runOnLoop(() -> handleReply(call, reply, false));
                                return;
                            }
                            Throwable cause =
                                    failure instanceof CompletionException
                                            ? failure.getCause()
                                            : failure;
                            boolean refused = cause instanceof MeshException e && e.isRefused();
                            mService.runLater(() -> handleReply(call, null, refused), RETRY_DELAY);
                        });
    }

    private void handleReply(
            TakeoverPlanner.Call call, @Nullable MessageLite reply, boolean refused) {
        long now = mService.now();
        MemberView view = mService.view();
        if (mCompleted) {
            return;
        }
        if (reply instanceof ReplicaClaimReply claimed) {
            performCalls(mPlanner.onClaimReply(now, call.id(), claimed, view));
        } else if (reply instanceof ReplicaFetchReply fetched) {
            performCalls(mPlanner.onFetchReply(now, call.id(), fetched, view));
        } else {
            performCalls(mPlanner.onFailure(now, call.id(), refused, view));
        }
    }
}
