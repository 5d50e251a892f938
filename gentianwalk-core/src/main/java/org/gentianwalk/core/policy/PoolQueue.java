package org.gentianwalk.core.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.policy.admission.FairQueue;
import org.jspecify.annotations.Nullable;

/**
 * Queue of one pool: for each rank a fair queue of new work and, served before it, a FIFO queue of
 * continuations of interrupted generations. New work is bounded by its tokens; when the queue is
 * full, the team with the most queued work relative to its weight loses its newest work.
 */
final class PoolQueue {
    private final Map<Rank, FairQueue<ScheduledWork>> mNew = new EnumMap<>(Rank.class);
    private final Map<Rank, Deque<ScheduledWork>> mContinuations = new EnumMap<>(Rank.class);

    PoolQueue() {
        for (Rank rank : Rank.values()) {
            mNew.put(rank, new FairQueue<>());
            mContinuations.put(rank, new ArrayDeque<>());
        }
    }

    FairQueue<ScheduledWork> newWork(Rank rank) {
        FairQueue<ScheduledWork> queue = mNew.get(rank);
        if (queue == null) {
            throw new IllegalStateException("no queue for " + rank);
        }
        return queue;
    }

    Deque<ScheduledWork> continuations(Rank rank) {
        Deque<ScheduledWork> queue = mContinuations.get(rank);
        if (queue == null) {
            throw new IllegalStateException("no queue for " + rank);
        }
        return queue;
    }

    boolean isEmpty() {
        for (Rank rank : Rank.values()) {
            if (newWork(rank).size() > 0 || !continuations(rank).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    boolean hasWork(Rank rank) {
        return newWork(rank).size() > 0 || !continuations(rank).isEmpty();
    }

    double queuedTokens() {
        return newWork(Rank.URGENT).queuedTokens() + newWork(Rank.STANDARD).queuedTokens();
    }

    void add(ScheduledWork work) {
        if (work.isContinuation()) {
            continuations(work.mItem.rank()).addLast(work);
        } else {
            newWork(work.mItem.rank())
                    .add(work.mItem.team(), work.mShare.weight(), work, work.mEstimate);
        }
    }

    boolean remove(ScheduledWork work) {
        if (work.isContinuation()) {
            return continuations(work.mItem.rank()).remove(work);
        }
        return newWork(work.mItem.rank()).remove(work.mItem.team(), work);
    }

    /** Returns the work to drop, or null while the rank's queue is within the bound. */
    @Nullable ScheduledWork dropCandidate(Rank rank, double bound) {
        FairQueue<ScheduledWork> queue = newWork(rank);
        return queue.queuedTokens() > bound && queue.size() > 1 ? queue.dropCandidate() : null;
    }

    /** Removes and returns new work that was queued before a time. */
    List<ScheduledWork> removeOlderNewWork(long nanos) {
        List<ScheduledWork> removed = new ArrayList<>();
        for (Rank rank : Rank.values()) {
            boolean found = true;
            while (found) {
                found = false;
                for (ScheduledWork work : newWork(rank).heads()) {
                    if (work.mQueuedAt < nanos) {
                        remove(work);
                        removed.add(work);
                        found = true;
                    }
                }
            }
        }
        return removed;
    }

    /** Removes and returns continuations that were queued before a time. */
    List<ScheduledWork> removeOlderContinuations(long nanos) {
        List<ScheduledWork> removed = new ArrayList<>();
        for (Deque<ScheduledWork> queue : mContinuations.values()) {
            for (ScheduledWork work : List.copyOf(queue)) {
                if (work.mQueuedAt < nanos) {
                    queue.remove(work);
                    removed.add(work);
                }
            }
        }
        return removed;
    }
}
