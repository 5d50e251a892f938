package org.gentianwalk.server.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.gentianwalk.core.lease.LeaseAction;
import org.gentianwalk.core.lease.LeaseEvent;
import org.gentianwalk.core.lease.LeaseHolder;
import org.gentianwalk.core.lease.LeaseTerm;
import org.gentianwalk.core.lease.OrderGate;
import org.gentianwalk.standin.platform.FaultyTable;
import org.gentianwalk.standin.platform.MemoryTable;
import org.gentianwalk.standin.platform.RandomFaults;
import org.gentianwalk.standin.platform.VirtualTime;

/**
 * Simulates three candidates for one lease on a virtual clock, with store faults and with pauses at
 * any point, also between the check of the lease and the order. Each candidate's clock runs up to
 * 0.5% fast or slow.
 */
final class LeaseSimulation {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final int CANDIDATES = 3;

    /** Options of a run; {@code pause} is the maximum length of a pause. */
    record Options(
            long seed,
            boolean fencing,
            boolean gated,
            Duration pause,
            double faults,
            long seconds) {}

    /** Counters of a run. */
    static final class Totals {
        int mOrders;
        int mRefused;
        int mHolderChanges;
        int mOldHolderOrders;
        long mHeldSeconds;
        long mReads;
        long mWrites;

        @Override
        public String toString() {
            return ("orders %d (refused %d), holders %d, old holders' orders after the new one's"
                            + " %d, held %d s; reads %d, writes %d")
                    .formatted(
                            mOrders,
                            mRefused,
                            mHolderChanges,
                            mOldHolderOrders,
                            mHeldSeconds,
                            mReads,
                            mWrites);
        }
    }

    private final class Candidate {
        final LeaseHolder mHolder;
        final double mRate;
        long mPausedUntil;

        Candidate(int id) {
            mHolder = new LeaseHolder("placement", "i" + id, 1, 0);
            mRate = 1 + (mRandom.nextDouble() - 0.5) / 100;
        }

        long now() {
            return (long) (mTicker.nanos() * mRate);
        }

        long toSimulationNanos(long ownNanos) {
            return (long) Math.ceil(ownNanos / mRate);
        }
    }

    private final Options mOptions;
    private final Random mRandom;
    private final VirtualTime mTicker = new VirtualTime();
    private final RandomFaults mFaults;
    private final FaultyTable mStore;
    private final List<Candidate> mCandidates = new ArrayList<>();
    private final Totals mTotals = new Totals();
    private long mHighestToken;

    LeaseSimulation(Options options) {
        mOptions = options;
        mRandom = new Random(options.seed());
        mFaults = new RandomFaults(mRandom, options.faults(), mTicker);
        mStore = new FaultyTable(new MemoryTable(), mFaults, mTicker, Duration.ofMillis(1500));
        for (int id = 0; id < CANDIDATES; id++) {
            mCandidates.add(new Candidate(id));
        }
    }

    /** Makes the store unavailable for some time. */
    LeaseSimulation withOutage(Duration from, Duration length) {
        mFaults.outage(from.toNanos(), from.plus(length).toNanos());
        return this;
    }

    Totals run() {
        long end = mOptions.seconds() * SECOND;
        for (Candidate candidate : mCandidates) {
            run(candidate, delay(1000), () -> step(candidate, new LeaseEvent.TimerFired()));
            run(candidate, delay(1000), () -> sendOrder(candidate));
        }
        boolean pauses = !mOptions.pause().isZero();
        for (long at = 0; pauses && at < end; at += 20 * SECOND) {
            mTicker.schedule(at + delay(20_000), this::injectFault);
        }
        for (long at = 0; at < end; at += SECOND) {
            mTicker.schedule(at, this::countHeld);
        }
        mTicker.run(end);
        mTotals.mReads = mStore.reads();
        mTotals.mWrites = mStore.writes();
        return mTotals;
    }

    private void injectFault() {
        if (mRandom.nextInt(10) == 0) {
            mFaults.outage(mTicker.nanos(), mTicker.nanos() + delay(30_000));
            return;
        }
        Candidate candidate = mCandidates.get(mRandom.nextInt(CANDIDATES));
        long pause = (long) (mRandom.nextDouble() * mOptions.pause().toNanos());
        // A pause that begins during another one would make both longer than the bound.
        if (candidate.mPausedUntil <= mTicker.nanos()) {
            candidate.mPausedUntil = mTicker.nanos() + pause;
        }
    }

    private void countHeld() {
        long holders =
                mCandidates.stream()
                        .filter(candidate -> candidate.mHolder.term(candidate.now()).isPresent())
                        .count();
        if (holders > 1) {
            throw new AssertionError("two holders at " + mTicker.nanos());
        }
        mTotals.mHeldSeconds += holders;
    }

    private void step(Candidate candidate, LeaseEvent event) {
        switch (candidate.mHolder.on(event, candidate.now())) {
            case LeaseAction.Wait wait -> {
                long remaining = candidate.toSimulationNanos(wait.untilNanos()) - mTicker.nanos();
                run(
                        candidate,
                        Math.max(0, remaining),
                        () -> step(candidate, new LeaseEvent.TimerFired()));
            }
            case LeaseAction.ReadRow read ->
                    run(
                            candidate,
                            delay(30),
                            () ->
                                    reply(
                                            candidate,
                                            new LeaseEvent.ReadReturned(mStore.read(read.key()))));
            case LeaseAction.WriteRow write ->
                    run(
                            candidate,
                            delay(30),
                            () ->
                                    reply(
                                            candidate,
                                            new LeaseEvent.WriteReturned(
                                                    mStore.write(
                                                            write.key(),
                                                            write.expected(),
                                                            write.value().toByteArray()))));
        }
    }

    private void reply(Candidate candidate, LeaseEvent event) {
        run(candidate, delay(30), () -> step(candidate, event));
    }

    /**
     * Checks the gate, and sends the order after a delay during which the candidate may be paused.
     */
    private void sendOrder(Candidate candidate) {
        OrderGate gate = new OrderGate();
        Optional<LeaseTerm> term = candidate.mHolder.term(candidate.now());
        boolean supported = mOptions.fencing() || !mOptions.gated();
        if (gate.decide(supported, term, candidate.now()) instanceof OrderGate.Decision.Send send) {
            run(
                    candidate,
                    delay(20),
                    () ->
                            mTicker.schedule(
                                    mTicker.nanos() + delay(1500), () -> receiveOrder(send)));
        }
        run(candidate, delay(1000), () -> sendOrder(candidate));
    }

    private void receiveOrder(OrderGate.Decision.Send send) {
        mTotals.mOrders++;
        if (send.fencing() < mHighestToken) {
            if (mOptions.fencing()) {
                mTotals.mRefused++;
            } else {
                mTotals.mOldHolderOrders++;
            }
            return;
        }
        mTotals.mHolderChanges += send.fencing() > mHighestToken ? 1 : 0;
        mHighestToken = send.fencing();
    }

    /** Runs a task at a candidate after a delay, or after its pause if it is paused then. */
    private void run(Candidate candidate, long delay, Runnable task) {
        mTicker.schedule(
                mTicker.nanos() + delay,
                () -> {
                    long wait = candidate.mPausedUntil - mTicker.nanos();
                    if (wait > 0) {
                        run(candidate, wait, task);
                    } else {
                        task.run();
                    }
                });
    }

    private long delay(int maxMillis) {
        return (long) (mRandom.nextDouble() * maxMillis * MILLI);
    }
}
