package org.gentianwalk.server.journal;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.journal.CallAction;
import org.gentianwalk.core.journal.CallContext;
import org.gentianwalk.core.journal.CallEvent;
import org.gentianwalk.core.journal.CallJournal;
import org.gentianwalk.core.journal.CallRows;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.journal.StoreHealth;
import org.gentianwalk.core.journal.WritePacer;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallState;
import org.gentianwalk.standin.platform.FaultyTable;
import org.gentianwalk.standin.platform.MemoryTable;
import org.gentianwalk.standin.platform.RandomFaults;
import org.gentianwalk.standin.platform.VirtualTime;

/**
 * Simulates calls at several instances on a virtual clock, with seeded faults of the store, the
 * service, the mesh and the instances. Callers retry at other instances.
 */
final class CallSimulation {
    static final int INSTANCES = 4;
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final int MAX_ATTEMPTS = 4;
    private static final long EPOCH = 1_800_000_000_000L;

    /** Options of a run; {@code faults} is the probability of a fault per operation. */
    record Options(
            long seed, int calls, double faults, boolean crashes, long downFrom, long downTo) {}

    private static final class Caller {
        final RequestKey mKey;
        final boolean mSupportsLookup;
        int mAttemptCount;
        CallOutcome mLastOutcome;

        Caller(int number, boolean supportsLookup) {
            mKey = new RequestKey("team" + number % 10, "order/" + number);
            mSupportsLookup = supportsLookup;
        }
    }

    private final class Attempt {
        final Caller mCaller;
        final int mInstance;
        final long mIncarnation;
        final ByteString mNonce;
        final CallJournal mJournal;
        boolean mReplied;

        Attempt(Caller caller, int instance, String digest) {
            mCaller = caller;
            mInstance = instance;
            mIncarnation = mIncarnations[instance];
            mNonce = ByteString.copyFromUtf8("n" + mAttempts.size());
            ByteString body = ByteString.copyFromUtf8(digest);
            mJournal =
                    new CallJournal(
                            new CallContext(
                                    caller.mKey,
                                    body,
                                    "i" + instance,
                                    mIncarnation,
                                    mNonce,
                                    EPOCH + mTicker.nanos() / MILLI));
        }

        boolean isAlive() {
            return mIncarnations[mInstance] == mIncarnation;
        }
    }

    private final Options mOptions;
    private final Random mRandom;
    private final UnaryOperator<CallEvent> mEventFilter;
    private final VirtualTime mTicker = new VirtualTime();
    private final RandomFaults mFaults;
    private final MemoryTable mTable = new MemoryTable();
    private final FaultyTable mStore;
    private final StoreHealth[] mHealth = new StoreHealth[INSTANCES];
    private final WritePacer[] mPacers = new WritePacer[INSTANCES];
    private final long[] mIncarnations = new long[INSTANCES];
    private final long[] mPausedUntil = new long[INSTANCES];
    private final Map<ByteString, Attempt> mAttempts = new HashMap<>();
    private final Map<RequestKey, List<Answer>> mExecuted = new HashMap<>();
    private final Set<ByteString> mSent = new HashSet<>();
    private final Set<ByteString> mNotRun = new HashSet<>();
    private final CallTotals mTotals = new CallTotals();
    private final List<Caller> mCallers = new ArrayList<>();

    CallSimulation(Options options, UnaryOperator<CallEvent> eventFilter) {
        mOptions = options;
        mRandom = new Random(options.seed());
        mEventFilter = eventFilter;
        Arrays.setAll(mHealth, index -> new StoreHealth());
        Arrays.setAll(mPacers, index -> new WritePacer());
        mFaults = new RandomFaults(mRandom, options.faults(), mTicker);
        mFaults.outage(options.downFrom(), options.downTo());
        mStore = new FaultyTable(mTable, mFaults, mTicker, Duration.ofMillis(1500));
    }

    CallTotals run() {
        long spacing = 100 * MILLI;
        for (int number = 0; number < mOptions.calls(); number++) {
            Caller caller = new Caller(number, mRandom.nextBoolean());
            mCallers.add(caller);
            long at = number * spacing;
            mTicker.schedule(at, () -> submit(caller, "body"));
            if (mRandom.nextDouble() < 0.05) {
                String digest = mRandom.nextInt(5) == 0 ? "other body" : "body";
                mTicker.schedule(at + delay(500), () -> submit(caller, digest));
            }
        }
        long end = mOptions.calls() * spacing;
        for (long at = 0; mOptions.crashes() && at < end; at += 10 * SECOND) {
            mTicker.schedule(at + delay(10_000), this::pauseOrRestartInstance);
        }
        mTicker.run(Long.MAX_VALUE);
        return totals();
    }

    /** Pauses a random instance, in rare cases for an hour, or restarts it. */
    private void pauseOrRestartInstance() {
        int instance = mRandom.nextInt(INSTANCES);
        if (mRandom.nextInt(3) == 0) {
            mIncarnations[instance]++;
            mPausedUntil[instance] = mTicker.nanos();
            return;
        }
        long pause = mRandom.nextInt(20) == 0 ? 3600 * SECOND : delay(15_000);
        mPausedUntil[instance] = Math.max(mPausedUntil[instance], mTicker.nanos() + pause);
    }

    private void submit(Caller caller, String digest) {
        if (caller.mAttemptCount >= MAX_ATTEMPTS) {
            return;
        }
        caller.mAttemptCount++;
        int instance = mRandom.nextInt(INSTANCES);
        Attempt attempt = new Attempt(caller, instance, digest);
        mAttempts.put(attempt.mNonce, attempt);
        onInstance(attempt, 0, () -> start(attempt));
        mTicker.schedule(mTicker.nanos() + 20 * SECOND, () -> retry(caller, digest));
    }

    private void start(Attempt attempt) {
        if (mHealth[attempt.mInstance].isUsable(mTicker.nanos())) {
            step(attempt, new CallEvent.Submitted());
        } else {
            ServeError error = ServeError.refused(ErrorKind.STORE_UNAVAILABLE, Duration.ZERO);
            recordOutcome(attempt.mCaller, new CallOutcome.Failed(error));
            mNotRun.add(attempt.mNonce);
        }
    }

    /** Records the caller's latest outcome; an answer is never overwritten. */
    private static void recordOutcome(Caller caller, CallOutcome outcome) {
        if (!(caller.mLastOutcome instanceof CallOutcome.Answered)) {
            caller.mLastOutcome = outcome;
        }
    }

    private void retry(Caller caller, String digest) {
        boolean settled =
                caller.mLastOutcome instanceof CallOutcome.Answered
                        || caller.mLastOutcome instanceof CallOutcome.Failed failed
                                && failed.error().kind() == ErrorKind.KEY_REUSED;
        if (!settled || mRandom.nextInt(20) == 0) {
            submit(caller, digest);
        }
    }

    private void step(Attempt attempt, CallEvent event) {
        CallAction action = attempt.mJournal.on(mEventFilter.apply(event), mTicker.nanos());
        switch (action) {
            case CallAction.WriteRow write ->
                    runOperation(
                            attempt,
                            writeDelay(attempt),
                            () ->
                                    new CallEvent.WriteReturned(
                                            mStore.write(
                                                    write.key(),
                                                    write.expected(),
                                                    write.value().toByteArray())));
            case CallAction.ReadRow read ->
                    runOperation(
                            attempt, () -> new CallEvent.ReadReturned(mStore.read(read.key())));
            case CallAction.SendCall send -> runOperation(attempt, () -> send(attempt, send));
            case CallAction.LookUp lookUp ->
                    runOperation(attempt, () -> new CallEvent.LookupReturned(lookUp(attempt)));
            case CallAction.AskOwner ask ->
                    runOperation(attempt, () -> new CallEvent.OwnerAnswered(ask(ask)));
            case CallAction.Wait wait ->
                    onInstance(
                            attempt,
                            Math.max(0, wait.untilNanos() - mTicker.nanos()),
                            () -> step(attempt, new CallEvent.TimerFired()));
            case CallAction.Reply reply -> reply(attempt, reply.outcome());
            case CallAction.ReplyStored stored -> {
                Answer answer =
                        new Answer(
                                stored.stored().getStatus(),
                                stored.stored().getContentType(),
                                stored.stored().getBody().toByteArray());
                reply(attempt, new CallOutcome.Answered(answer, true));
            }
            case CallAction.Finish finish -> {}
        }
    }

    /** Runs an operation after a random delay; its result arrives after a second delay. */
    private void runOperation(Attempt attempt, Supplier<CallEvent> operation) {
        runOperation(attempt, 0, operation);
    }

    private void runOperation(Attempt attempt, long wait, Supplier<CallEvent> operation) {
        onInstance(
                attempt,
                wait + delay(30),
                () -> {
                    CallEvent event = operation.get();
                    mHealth[attempt.mInstance].report(event, mTicker.nanos());
                    onInstance(attempt, delay(30), () -> step(attempt, event));
                });
    }

    private long writeDelay(Attempt attempt) {
        long now = mTicker.nanos();
        return attempt.mReplied ? mPacers[attempt.mInstance].reserve(now) - now : 0;
    }

    private CallEvent send(Attempt attempt, CallAction.SendCall send) {
        if (mTicker.nanos() > send.notAfterNanos()) {
            return new CallEvent.CallReturned(new SendResult.NeverSent("paused"));
        }
        double draw = mRandom.nextDouble();
        if (draw < mOptions.faults() / 2) {
            return new CallEvent.CallReturned(new SendResult.NeverSent("refused"));
        }
        if (draw < mOptions.faults()) {
            return new CallEvent.CallReturned(new SendResult.Unknown("request lost"));
        }
        List<Answer> executed =
                mExecuted.computeIfAbsent(attempt.mCaller.mKey, k -> new ArrayList<>());
        String body = attempt.mCaller.mKey + "#" + executed.size();
        Answer answer = new Answer(200, "text/plain", body.getBytes(StandardCharsets.UTF_8));
        executed.add(answer);
        mSent.add(attempt.mNonce);
        mTotals.mExecutedWhileDown += mFaults.isDown() ? 1 : 0;
        return new CallEvent.CallReturned(
                draw < 2 * mOptions.faults()
                        ? new SendResult.Unknown("answer lost")
                        : new SendResult.Answered(answer));
    }

    private SendResult lookUp(Attempt attempt) {
        List<Answer> executed = mExecuted.getOrDefault(attempt.mCaller.mKey, List.of());
        if (!attempt.mCaller.mSupportsLookup || mRandom.nextDouble() < mOptions.faults()) {
            return new SendResult.Unknown("not supported");
        }
        return executed.isEmpty()
                ? new SendResult.NeverSent("not found")
                : new SendResult.Answered(executed.getFirst());
    }

    private CallAnswer ask(CallAction.AskOwner ask) {
        Attempt owner = mAttempts.get(ask.nonce());
        boolean reachable =
                owner != null
                        && owner.isAlive()
                        && mPausedUntil[owner.mInstance] <= mTicker.nanos()
                        && mRandom.nextDouble() >= mOptions.faults();
        return reachable ? owner.mJournal.answer() : CallAnswer.NOT_KNOWN;
    }

    private void reply(Attempt attempt, CallOutcome outcome) {
        attempt.mReplied = true;
        Caller caller = attempt.mCaller;
        recordOutcome(caller, outcome);
        if (outcome instanceof CallOutcome.Answered answered) {
            List<Answer> executed = mExecuted.getOrDefault(caller.mKey, List.of());
            boolean isOwnAnswer =
                    executed.stream()
                            .anyMatch(e -> Arrays.equals(e.body(), answered.answer().body()));
            mTotals.mWrongAnswers += isOwnAnswer ? 0 : 1;
        } else if (outcome instanceof CallOutcome.Failed failed
                && failed.error().outcome() == Outcome.NOT_RUN) {
            mNotRun.add(attempt.mNonce);
        }
        onInstance(attempt, 0, () -> step(attempt, new CallEvent.Replied()));
    }

    private CallTotals totals() {
        mStore.applyLateWrites();
        for (List<Answer> executed : mExecuted.values()) {
            mTotals.mExecuted += executed.size();
            mTotals.mExecutedTwice += executed.size() > 1 ? 1 : 0;
        }
        mTotals.mExecutedDespiteNotRun = (int) mNotRun.stream().filter(mSent::contains).count();
        for (Caller caller : mCallers) {
            if (caller.mLastOutcome instanceof CallOutcome.Answered) {
                mTotals.mAnswered++;
            } else if (caller.mLastOutcome instanceof CallOutcome.Failed failed) {
                boolean notRun = failed.error().outcome() == Outcome.NOT_RUN;
                boolean reused = failed.error().kind() == ErrorKind.KEY_REUSED;
                mTotals.mKeyReused += reused ? 1 : 0;
                mTotals.mNotRun += notRun && !reused ? 1 : 0;
                mTotals.mUnknown += notRun ? 0 : 1;
            } else {
                mTotals.mNoReply++;
            }
            if (mTable.read(CallRows.rowKey(caller.mKey)) instanceof ReadResult.Found found) {
                boolean open = isOpen(found.row());
                mTotals.mOpenIntents += open ? 1 : 0;
            }
        }
        mTotals.mEndSeconds = mTicker.nanos() / SECOND;
        mTotals.mReads = mStore.reads();
        mTotals.mWrites = mStore.writes();
        return mTotals;
    }

    private static boolean isOpen(Row row) {
        return CallRows.parse(row).orElseThrow().getState() == CallState.INTENT;
    }

    /**
     * Runs a task at the attempt's instance: postponed while it is paused, dropped after its
     * restart.
     */
    private void onInstance(Attempt attempt, long delay, Runnable task) {
        mTicker.schedule(
                mTicker.nanos() + delay,
                () -> {
                    if (!attempt.isAlive()) {
                        return;
                    }
                    long wait = mPausedUntil[attempt.mInstance] - mTicker.nanos();
                    if (wait > 0) {
                        onInstance(attempt, wait, task);
                    } else {
                        task.run();
                    }
                });
    }

    private long delay(int maxMillis) {
        return (long) (mRandom.nextDouble() * maxMillis * MILLI);
    }
}
