package org.gentianwalk.standin.engine;

import java.util.PriorityQueue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** The engine's batch slots and its own queue, ordered by priority, then by arrival. */
final class SlotQueue {
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final PriorityQueue<Waiter> mWaiting = new PriorityQueue<>();
    private final int mSlots;
    private int mRunning;
    private long mArrivals;

    SlotQueue(int slots) {
        mSlots = slots;
    }

    /** Waits for a slot; false when the request was cancelled first. */
    boolean acquire(int priority, EngineRequest request) throws InterruptedException {
        mLock.lock();
        Waiter waiter = new Waiter(priority, mArrivals++);
        mWaiting.add(waiter);
        try {
            while (mRunning >= mSlots || mWaiting.peek() != waiter) {
                if (request.isCancelled()) {
                    return false;
                }
                mChanged.await();
            }
            mRunning++;
            return true;
        } finally {
            mWaiting.remove(waiter);
            mChanged.signalAll();
            mLock.unlock();
        }
    }

    void release() {
        mLock.lock();
        try {
            mRunning--;
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Wakes the waiting requests so that a cancelled one leaves. */
    void wake() {
        mLock.lock();
        try {
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    int running() {
        mLock.lock();
        try {
            return mRunning;
        } finally {
            mLock.unlock();
        }
    }

    int waiting() {
        mLock.lock();
        try {
            return mWaiting.size();
        } finally {
            mLock.unlock();
        }
    }

    private record Waiter(int priority, long arrival) implements Comparable<Waiter> {
        @Override
        public int compareTo(Waiter other) {
            int byPriority = Integer.compare(priority, other.priority);
            return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
        }
    }
}
