package org.gentianwalk.gateway.traffic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits the bytes of a stream into complete events (text/event-stream). */
final class EventSplitter {
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    /** Maximum digits of an event number; any number of 18 digits fits into a long. */
    private static final int MAX_DIGITS = 18;

    private byte[] mBytes = new byte[512];
    private int mLength;
    private int mScanned;

    /** Adds bytes and returns the events that they complete. */
    List<StreamEvent> add(byte[] part) {
        if (mLength + part.length > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(mBytes.length * 2, mLength + part.length));
        }
        System.arraycopy(part, 0, mBytes, mLength, part.length);
        mLength += part.length;
        List<StreamEvent> events = new ArrayList<>(2);
        int start = 0;
        for (int i = mScanned; i < mLength; i++) {
            if (mBytes[i] == '\n' && endsEvent(start, i)) {
                byte[] bytes = Arrays.copyOfRange(mBytes, start, i + 1);
                events.add(new StreamEvent(parseNumber(bytes), bytes));
                start = i + 1;
            }
        }
        System.arraycopy(mBytes, start, mBytes, 0, mLength - start);
        mLength -= start;
        mScanned = mLength;
        return events;
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return Arrays.copyOf(mBytes, mLength);
    }

    /** Returns whether the bytes after the last complete event are more than empty lines. */
    boolean isWithinEvent() {
        for (int i = 0; i < mLength; i++) {
            if (mBytes[i] != '\n' && mBytes[i] != '\r') {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the line feed at {@code end} ends an empty line after a non-empty event. */
    private boolean endsEvent(int start, int end) {
        int before = end - 1;
        if (before >= start && mBytes[before] == '\r') {
            before--;
        }
        return before > start && mBytes[before] == '\n';
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
