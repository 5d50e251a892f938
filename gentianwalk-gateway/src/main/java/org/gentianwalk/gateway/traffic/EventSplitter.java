package org.gentianwalk.gateway.traffic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of a stream into complete events (text/event-stream). Retains at most {@link
 * #MAX_EVENT_BYTES} of an incomplete event. Empty lines between events are dropped, since they
 * belong to no event.
 */
final class EventSplitter {
    /**
     * Maximum size of one event, bytes. An event holds the output of one step of an engine, some
     * hundred bytes; this is also the size up to which a response that is not a stream is buffered.
     * Fifty streams with an event of this size take 12.5 MB, an eighth of an instance's heap.
     */
    static final int MAX_EVENT_BYTES = 256 << 10;

    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    /** Maximum digits of an event number; any number of 18 digits fits into a long. */
    private static final int MAX_DIGITS = 18;

    /** Initial capacity, bytes. A larger array is released once its event is complete. */
    private static final int INITIAL_CAPACITY = 512;

    private byte[] mBytes = new byte[INITIAL_CAPACITY];
    private int mLength;
    private boolean mExceeded;

    /**
     * Adds bytes and returns the events that they complete. No events are returned after one that
     * exceeds the maximum size.
     */
    List<StreamEvent> add(byte[] part) {
        List<StreamEvent> events = new ArrayList<>(2);
        int start = 0;
        for (int i = 0; i < part.length && !mExceeded; i++) {
            if (start == i && mLength == 0 && isLineEnd(part[i])) {
                start++;
            } else if (part[i] == '\n' && endsEvent(part, start, i)) {
                retain(part, start, i + 1);
                if (!mExceeded) {
                    events.add(takeEvent());
                }
                start = i + 1;
            }
        }
        retain(part, start, part.length);
        return events;
    }

    /** Returns whether the stream has an event that exceeds the maximum size. */
    boolean isExceeded() {
        return mExceeded;
    }

    /** Returns the bytes after the last complete event, without empty lines that follow it. */
    byte[] remainder() {
        return Arrays.copyOf(mBytes, mLength);
    }

    /** Returns whether the bytes after the last complete event are more than empty lines. */
    boolean isWithinEvent() {
        return mLength > 0 || mExceeded;
    }

    /** Returns the number of bytes that the splitter occupies. */
    int capacity() {
        return mBytes.length;
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
        byte[] bytes = Arrays.copyOf(mBytes, mLength);
        release();
        return new StreamEvent(parseNumber(bytes), bytes);
    }

    private void release() {
        mLength = 0;
        if (mBytes.length > INITIAL_CAPACITY) {
            mBytes = new byte[INITIAL_CAPACITY];
        }
    }

    /** Returns whether the line feed at {@code end} of a part ends an empty line of an event. */
    private boolean endsEvent(byte[] part, int start, int end) {
        int before = end - 1;
        if (byteAt(part, start, before) == '\r') {
            before--;
        }
        return byteAt(part, start, before) == '\n';
    }

    /** Returns the byte at an index of a part, or of the retained bytes before its start. */
    private byte byteAt(byte[] part, int start, int index) {
        if (index >= start) {
            return part[index];
        }
        int retained = mLength - (start - index);
        return retained >= 0 ? mBytes[retained] : 0;
    }

    private static boolean isLineEnd(byte value) {
        return value == '\n' || value == '\r';
    }

    /** Parses the number of an event from its bytes, which avoids a string for each line. */
    private static long parseNumber(byte[] event) {
        boolean lineStart = true;
        for (int i = 0; i < event.length; i++) {
            if (lineStart && startsWith(event, i)) {
                return parseDigits(event, i + ID_FIELD.length);
            }
            lineStart = event[i] == '\n';
        }
        return StreamEvent.UNNUMBERED;
    }

    private static boolean startsWith(byte[] event, int from) {
        int end = from + ID_FIELD.length;
        return end <= event.length && Arrays.equals(event, from, end, ID_FIELD, 0, ID_FIELD.length);
    }

    /** Parses an id field; a value that is not a number leaves the event unnumbered. */
    private static long parseDigits(byte[] event, int from) {
        int i = from;
        while (i < event.length && event[i] == ' ') {
            i++;
        }
        long number = 0;
        int count = 0;
        for (; i < event.length && event[i] >= '0' && event[i] <= '9'; i++) {
            number = number * 10 + event[i] - '0';
            count++;
        }
        while (i < event.length && (event[i] == ' ' || event[i] == '\r')) {
            i++;
        }
        boolean valid = count > 0 && count <= MAX_DIGITS && i < event.length && event[i] == '\n';
        return valid ? number : StreamEvent.UNNUMBERED;
    }
}
