package org.gentianwalk.server.journal;

import com.google.protobuf.ByteString;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.journal.CallJournal;
import org.gentianwalk.proto.CallAnswer;

/**
 * Tracks the attempts of this instance, by nonce, to answer queries of other instances. The oldest
 * finished attempts are evicted first; a query for an evicted attempt gets no answer, and the other
 * instance waits for the full 10 s.
 */
final class AttemptTracker {
    /** Maximum finished attempts: 10 minutes at 80 calls per second, about 40 bytes each. */
    private static final int MAX_FINISHED = 50_000;

    private final ConcurrentHashMap<ByteString, CallJournal> mRunning = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<ByteString, CallAnswer> mFinished = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<ByteString> mFinishedOrder = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mFinishedCount = new AtomicInteger();

    void started(ByteString nonce, CallJournal journal) {
        mRunning.put(nonce, journal);
    }

    void finished(ByteString nonce, CallAnswer answer) {
        mFinished.put(nonce, answer);
        mRunning.remove(nonce);
        mFinishedOrder.add(nonce);
        if (mFinishedCount.incrementAndGet() > MAX_FINISHED) {
            ByteString oldest = mFinishedOrder.poll();
            if (oldest != null) {
                mFinished.remove(oldest);
                mFinishedCount.decrementAndGet();
            }
        }
    }

    CallAnswer answer(ByteString nonce) {
        CallJournal running = mRunning.get(nonce);
        if (running != null) {
            return running.answer();
        }
        return mFinished.getOrDefault(nonce, CallAnswer.NOT_KNOWN);
    }
}
