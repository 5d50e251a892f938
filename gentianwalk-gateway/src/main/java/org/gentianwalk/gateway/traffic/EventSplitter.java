package org.gentianwalk.gateway.traffic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of a stream into complete blocks (text/event-stream). Lines end with LF, CR or
 * CRLF. Retains at most {@link #MAX_EVENT_BYTES} of an incomplete block. Empty lines between blocks
 * and a byte order mark at the start are dropped, since they belong to no block.
 */
final class EventSplitter {
    /**
     * Maximum size of one event, bytes. An event holds the output of one step of an engine, some
     * hundred bytes; this is also the size up to which a response that is not a stream is buffered.
     * Fifty streams with an event of this size take 12.5 MB, an eighth of an instance's heap.
     */
    static final int MAX_EVENT_BYTES = 256 << 10;

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xef, (byte) 0xbb, (byte) 0xbf};

    /** Initial capacity, bytes. A larger array is released once its event is complete. */
    private static final int INITIAL_CAPACITY = 512;

    private byte[] mBytes = new byte[INITIAL_CAPACITY];
    private int mLength;
    private boolean mExceeded;
    private boolean mStarted;
    private Line mLine = Line.EMPTY;

    /** What precedes the next byte. */
    private enum Line {
        /** The end of a line, or of a block, that is complete. */
        EMPTY,
        /** A part of a line. */
        PARTIAL,
        /** The CR of a line with content, which a LF may follow. */
        ENDED_BY_CR,
        /** The CR of the empty line that ends a block whose other lines have a LF. */
        BLOCK_ENDED_BY_CR,
        /** A block whose lines end with CR only, which was returned; a LF after it is dropped. */
        AFTER_CR_BLOCK
    }

    /**
     * Adds bytes and returns the blocks that they complete. None is returned after one that exceeds
     * the maximum size.
     */
    List<StreamEvent> add(byte[] part) {
        List<StreamEvent> events = new ArrayList<>(2);
        int start = 0;
        for (int i = 0; i < part.length && !mExceeded; i++) {
            byte next = part[i];
            if (mLine == Line.BLOCK_ENDED_BY_CR) {
                int end = next == '\n' ? i + 1 : i;
                complete(part, start, end, events);
                start = end;
                if (next == '\n') {
                    continue;
                }
            } else if (mLine == Line.AFTER_CR_BLOCK && next == '\n') {
                mLine = Line.EMPTY;
                start = i + 1;
                continue;
            } else if (mLine == Line.ENDED_BY_CR && next == '\n') {
                mLine = Line.EMPTY;
                continue;
            }
            if (next != '\n' && next != '\r') {
                mLine = Line.PARTIAL;
            } else if (mLine == Line.PARTIAL) {
                mLine = next == '\r' ? Line.ENDED_BY_CR : Line.EMPTY;
            } else if (mLength == 0 && start == i) {
                start++;
            } else if (next == '\n') {
                complete(part, start, i + 1, events);
                start = i + 1;
            } else if (mLine == Line.ENDED_BY_CR) {
                // The next event may be far off, so a LF after it is not waited for.
                complete(part, start, i + 1, events);
                mLine = Line.AFTER_CR_BLOCK;
                start = i + 1;
            } else {
                mLine = Line.BLOCK_ENDED_BY_CR;
            }
        }
        retain(part, start, part.length);
        return events;
    }

    /** Returns the block that the end of the stream completes: one whose last byte is a CR. */
    @Nullable StreamEvent end() {
        return mLine == Line.BLOCK_ENDED_BY_CR && !mExceeded ? takeEvent() : null;
    }

    /** Returns whether the stream has an event that exceeds the maximum size. */
    boolean isExceeded() {
        return mExceeded;
    }

    /** Returns the bytes after the last complete block, without empty lines that follow it. */
    byte[] remainder() {
        return Arrays.copyOf(mBytes, mLength);
    }

    /** Returns whether the bytes after the last complete block are more than empty lines. */
    boolean isWithinEvent() {
        return mLength > 0 || mExceeded;
    }

    /** Returns the number of bytes that the splitter occupies. */
    int capacity() {
        return mBytes.length;
    }

    private void complete(byte[] part, int start, int end, List<StreamEvent> events) {
        retain(part, start, end);
        if (!mExceeded) {
            events.add(takeEvent());
        }
    }

    private void retain(byte[] part, int start, int end) {
        int length = mLength + end - start;
        if (mExceeded || length > MAX_EVENT_BYTES) {
            mExceeded = true;
            release();
            return;
        }
        if (length > mBytes.length) {
            int doubled = Math.min(mBytes.length * 2, MAX_EVENT_BYTES);
            mBytes = Arrays.copyOf(mBytes, Math.max(doubled, length));
        }
        System.arraycopy(part, start, mBytes, mLength, end - start);
        mLength = length;
    }

    private StreamEvent takeEvent() {
        int start = !mStarted && hasByteOrderMark() ? BYTE_ORDER_MARK.length : 0;
        byte[] bytes = Arrays.copyOfRange(mBytes, start, mLength);
        mStarted = true;
        mLine = Line.EMPTY;
        release();
        return EventParser.parse(bytes);
    }

    private boolean hasByteOrderMark() {
        int length = BYTE_ORDER_MARK.length;
        return mLength >= length && Arrays.equals(mBytes, 0, length, BYTE_ORDER_MARK, 0, length);
    }

    private void release() {
        mLength = 0;
        if (mBytes.length > INITIAL_CAPACITY) {
            mBytes = new byte[INITIAL_CAPACITY];
        }
    }
}
