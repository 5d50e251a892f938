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
final class NonceMemory {
    /** Maximum finished attempts: 10 minutes at 80 calls per second, about 40 bytes each. */
    private static final int MAX_FINISHED = 50_000;

    private final ConcurrentHashMap<ByteString, CallJournal> mRunning = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<ByteString, CallAnswer> mFinished = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<ByteString> mOrder = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mSize = new AtomicInteger();

    void started(ByteString nonce, CallJournal journal) {
        mRunning.put(nonce, journal);
    }

    void finished(ByteString nonce, CallAnswer answer) {
        mFinished.put(nonce, answer);
        mRunning.remove(nonce);
        mOrder.add(nonce);
        if (mSize.incrementAndGet() > MAX_FINISHED) {
            ByteString oldest = mOrder.poll();
            if (oldest != null) {
                mFinished.remove(oldest);
                mSize.decrementAndGet();
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
