package org.gentianwalk.server.journal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.journal.CallAction;
import org.gentianwalk.core.journal.CallContext;
import org.gentianwalk.core.journal.CallEvent;
import org.gentianwalk.core.journal.CallJournal;
import org.gentianwalk.core.journal.CallService;
import org.gentianwalk.core.journal.StoreHealth;
import org.gentianwalk.core.journal.WritePacer;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.TableService;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallQuery;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs each call's journal on the caller's traffic thread. Work that remains after the caller has
 * been answered, such as an outcome that the store has not confirmed, continues in the background.
 *
 * <p>Example: {@code new JournalCallService(new Platform(table, objects), new Self("i1", 7), peers,
 * Ticker.system(), InstantSource.system(), registry)}
 */
public final class JournalCallService implements CallService, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(JournalCallService.class);
    private static final int NONCE_BYTES = 16;

    /** Retry delay sent to callers while the store does not answer. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    /**
     * Maximum background slots, which bounds memory during a long outage: 10,000 calls, or fewer
     * when their answers exceed 40 MB in total. The rows of further calls are resolved by other
     * instances.
     */
    private static final int MAX_BACKGROUND = 10_000;

    /** Bytes of a stored answer per background slot. */
    private static final int BYTES_PER_SLOT = 4096;

    private final Platform mPlatform;
    private final Self mSelf;
    private final CallPeers mPeers;
    private final Ticker mTicker;
    private final InstantSource mClock;
    private final RowBodies mBodies;
    private final AttemptTracker mAttempts = new AttemptTracker();
    private final SecureRandom mRandom = new SecureRandom();
    private final ExecutorService mBackground = Executors.newVirtualThreadPerTaskExecutor();
    private final StoreHealth mHealth = new StoreHealth();
    private final WritePacer mPacer = new WritePacer();
    private final Semaphore mBackgroundSlots = new Semaphore(MAX_BACKGROUND);
    private final Counter mUnresolved;

    /**
     * The platform services that store the state of calls.
     *
     * @param table stores the call rows
     * @param objects stores large bodies
     */
    public record Platform(TableService table, ObjectStore objects) {}

    /**
     * This instance.
     *
     * @param id its id
     * @param incarnation its start time
     */
    public record Self(String id, long incarnation) {}

    /**
     * Creates the service.
     *
     * @param platform table and objects
     * @param self id and incarnation of this instance
     * @param peers queries other instances
     * @param ticker the monotonic clock
     * @param clock the wall clock, used for the age of rows and keys only
     * @param registry publishes {@code calls.unresolved}, the number of outcomes left to other
     *     instances
     */
    public JournalCallService(
            Platform platform,
            Self self,
            CallPeers peers,
            Ticker ticker,
            InstantSource clock,
            MetricRegistry registry) {
        mPlatform = platform;
        mSelf = self;
        mPeers = peers;
        mTicker = ticker;
        mClock = clock;
        mBodies = new RowBodies(platform.objects());
        mUnresolved = registry.counter("calls.unresolved");
    }

    @Override
    public CallOutcome execute(RequestKey key, byte[] bodyDigest, Sender sender) {
        if (!mHealth.isUsable(mTicker.nanos())) {
            return new CallOutcome.Failed(
                    ServeError.refused(ErrorKind.STORE_UNAVAILABLE, RETRY_AFTER));
        }
        byte[] nonce = new byte[NONCE_BYTES];
        mRandom.nextBytes(nonce);
        CallContext context =
                new CallContext(
                        key,
                        ByteString.copyFrom(bodyDigest),
                        mSelf.id(),
                        mSelf.incarnation(),
                        ByteString.copyFrom(nonce),
                        mClock.millis());
        CallJournal journal = new CallJournal(context);
        mAttempts.started(context.nonce(), journal);
        CallAction action = journal.on(new CallEvent.Submitted(), mTicker.nanos());
        while (true) {
            CallOutcome outcome = finalOutcome(context, action);
            if (outcome != null) {
                finish(context, journal, sender, slotsFor(outcome));
                return outcome;
            }
            action = journal.on(perform(context, action, sender), mTicker.nanos());
        }
    }

    /**
     * Answers a query of another instance about an attempt of this instance.
     *
     * @param query key and nonce
     * @return the state of the attempt, {@code NOT_KNOWN} if it is not tracked
     */
    public CallAnswer answer(CallQuery query) {
        return mAttempts.answer(query.getNonce());
    }

    /** Stops background work; other instances resolve the remaining rows. */
    @Override
    public void close() {
        mBackground.shutdownNow();
    }

    private @Nullable CallOutcome finalOutcome(CallContext context, CallAction action) {
        return switch (action) {
            case CallAction.Reply reply -> reply.outcome();
            case CallAction.ReplyStored stored -> {
                Optional<Answer> answer = mBodies.unpack(stored.stored());
                yield answer.isPresent()
                        ? new CallOutcome.Answered(answer.get(), true)
                        : new CallOutcome.Failed(
                                ServeError.failed(
                                        ErrorKind.OUTCOME_UNKNOWN,
                                        Outcome.UNKNOWN,
                                        context.key().key()));
            }
            default -> null;
        };
    }

    private static int slotsFor(CallOutcome outcome) {
        return outcome instanceof CallOutcome.Answered answered
                ? Math.min(MAX_BACKGROUND, 1 + answered.answer().body().length / BYTES_PER_SLOT)
                : 1;
    }

    private void finish(CallContext context, CallJournal journal, Sender sender, int slots) {
        CallAction action = journal.on(new CallEvent.Replied(), mTicker.nanos());
        if (action instanceof CallAction.Finish) {
            mAttempts.finished(context.nonce(), journal.answer());
            return;
        }
        if (!mBackgroundSlots.tryAcquire(slots)) {
            mUnresolved.inc();
            mAttempts.finished(context.nonce(), journal.answer());
            return;
        }
        try {
            mBackground.execute(() -> resolve(context, journal, action, sender, slots));
        } catch (RejectedExecutionException e) {
            mBackgroundSlots.release(slots);
            mUnresolved.inc();
        }
    }

    private void resolve(
            CallContext context, CallJournal journal, CallAction first, Sender sender, int slots) {
        try {
            CallAction action = first;
            while (!(action instanceof CallAction.Finish) && !mBackground.isShutdown()) {
                if (action instanceof CallAction.WriteRow) {
                    sleepUntil(mPacer.reserve(mTicker.nanos()));
                }
                action = journal.on(perform(context, action, sender), mTicker.nanos());
            }
        } finally {
            mAttempts.finished(context.nonce(), journal.answer());
            mBackgroundSlots.release(slots);
        }
    }

    private CallEvent perform(CallContext context, CallAction action, Sender sender) {
        return switch (action) {
            case CallAction.WriteRow write -> new CallEvent.WriteReturned(writeRow(write));
            case CallAction.ReadRow read -> new CallEvent.ReadReturned(readRow(read));
            case CallAction.SendCall send ->
                    new CallEvent.CallReturned(sendCall(send.notAfterNanos(), sender));
            case CallAction.LookUp lookUp -> new CallEvent.LookupReturned(lookUpOutcome(sender));
            case CallAction.AskOwner ask -> new CallEvent.OwnerAnswered(askOwner(context, ask));
            case CallAction.Wait wait -> {
                sleepUntil(wait.untilNanos());
                yield new CallEvent.TimerFired();
            }
            case CallAction.Reply reply -> new CallEvent.Replied();
            case CallAction.ReplyStored reply -> new CallEvent.Replied();
            case CallAction.Finish finish ->
                    throw new IllegalStateException("the call has already finished");
        };
    }

    /**
     * Writes a row. An exception of the client counts as a lost response, so that the journal can
     * continue.
     */
    private WriteResult writeRow(CallAction.WriteRow write) {
        WriteResult result;
        try {
            byte[] content = mBodies.pack(write.key(), write.value()).toByteArray();
            result = mPlatform.table().write(write.key(), write.expected(), content);
        } catch (RuntimeException e) {
            LOG.errorf(e, "the table's client failed");
            result = new WriteResult.Unknown(e.toString());
        }
        boolean answered =
                result instanceof WriteResult.Written || result instanceof WriteResult.Conflict;
        mHealth.report(answered, mTicker.nanos());
        return result;
    }

    private ReadResult readRow(CallAction.ReadRow read) {
        ReadResult result;
        try {
            result = mPlatform.table().read(read.key());
        } catch (RuntimeException e) {
            LOG.errorf(e, "the table's client failed");
            result = new ReadResult.Unavailable(e.toString());
        }
        mHealth.report(!(result instanceof ReadResult.Unavailable), mTicker.nanos());
        return result;
    }

    private SendResult sendCall(long notAfterNanos, Sender sender) {
        // The thread may have been paused since the journal checked the clock.
        if (mTicker.nanos() - notAfterNanos > 0) {
            return new SendResult.NeverSent("the instance was paused before sending");
        }
        try {
            return sender.send();
        } catch (RuntimeException e) {
            LOG.warnf(e, "unexpected failure while sending a call; its outcome is unknown");
            return new SendResult.Unknown(e.toString());
        }
    }

    private static SendResult lookUpOutcome(Sender sender) {
        try {
            return sender.lookup();
        } catch (RuntimeException e) {
            LOG.warnf(e, "looking up the outcome of a call failed");
            return new SendResult.Unknown(e.toString());
        }
    }

    private CallAnswer askOwner(CallContext context, CallAction.AskOwner ask) {
        CallQuery query =
                CallQuery.newBuilder()
                        .setTeam(context.key().team())
                        .setKey(context.key().key())
                        .setNonce(ask.nonce())
                        .build();
        if (ask.owner().equals(mSelf.id()) && ask.incarnation() == mSelf.incarnation()) {
            return answer(query);
        }
        try {
            return mPeers.ask(ask.owner(), ask.incarnation(), query);
        } catch (RuntimeException e) {
            LOG.warnf(e, "querying %s about a call failed", ask.owner());
            return CallAnswer.NOT_KNOWN;
        }
    }

    /**
     * Sleeps until the given time even when interrupted; returning early would turn polling into a
     * busy loop.
     */
    private void sleepUntil(long untilNanos) {
        boolean interrupted = false;
        long left = untilNanos - mTicker.nanos();
        while (left > 0 && !mBackground.isShutdown()) {
            try {
                Thread.sleep(Duration.ofNanos(left));
            } catch (InterruptedException e) {
                interrupted = true;
            }
            left = untilNanos - mTicker.nanos();
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
