package org.gentianwalk.gateway.traffic;

import java.util.Arrays;
import org.gentianwalk.gateway.traffic.StreamEvent.Form;

/**
 * Parses the fields of one block of a stream (text/event-stream). Works on bytes, which avoids a
 * string for each line. Stateless.
 */
final class EventParser {
    private static final String DATA = "data";
    private static final String ID = "id";

    /** Maximum digits of an event number; any number of 18 digits fits into a long. */
    private static final int MAX_DIGITS = 18;

    private EventParser() {}

    /**
     * Parses a block. The last id counts; one that contains NUL is ignored, as the format states.
     *
     * @param block the lines of the block, including the empty line that ends it
     */
    static StreamEvent parse(byte[] block) {
        boolean hasData = false;
        boolean hasId = false;
        long number = StreamEvent.UNNUMBERED;
        int start = 0;
        while (start < block.length) {
            int end = lineEnd(block, start);
            int colon = indexOf(block, ':', start, end);
            if (end > start && colon != start) {
                if (isField(block, start, colon, ID)) {
                    int value = valueStart(block, colon, end);
                    if (indexOf(block, '\0', value, end) == end) {
                        hasId = true;
                        number = parseNumber(block, value, end);
                    }
                } else if (isField(block, start, colon, DATA)) {
                    hasData = true;
                } else if (!isOtherField(block, start, colon, end)) {
                    return new StreamEvent(Form.MALFORMED, StreamEvent.UNNUMBERED, block);
                }
            }
            start = end + 1;
        }
        Form form = hasData ? Form.EVENT : hasId ? Form.MALFORMED : Form.NO_EVENT;
        return new StreamEvent(form, number, block);
    }

    /** Returns whether a block consists of one data field with a value. */
    static boolean isData(byte[] block, byte[] value) {
        int end = lineEnd(block, 0);
        int colon = indexOf(block, ':', 0, end);
        if (!isField(block, 0, colon, DATA)) {
            return false;
        }
        int from = valueStart(block, colon, end);
        if (!Arrays.equals(block, from, end, value, 0, value.length)) {
            return false;
        }
        for (int i = end; i < block.length; i++) {
            if (block[i] != '\n' && block[i] != '\r') {
                return false;
            }
        }
        return true;
    }

    private static int lineEnd(byte[] block, int from) {
        int end = from;
        while (end < block.length && block[end] != '\n' && block[end] != '\r') {
            end++;
        }
        return end;
    }

    private static int indexOf(byte[] block, char wanted, int from, int end) {
        int index = from;
        while (index < end && block[index] != wanted) {
            index++;
        }
        return index;
    }

    private static boolean isField(byte[] block, int start, int end, String name) {
        if (end - start != name.length()) {
            return false;
        }
        for (int i = start; i < end; i++) {
            if (block[i] != name.charAt(i - start)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a line is a field that callers ignore. The format allows any bytes there, but
     * no upstream uses a name that is not a token, so such a line is taken for a broken one.
     */
    private static boolean isOtherField(byte[] block, int start, int colon, int end) {
        if (colon == end) {
            return isField(block, start, end, "event") || isField(block, start, end, "retry");
        }
        for (int i = start; i < colon; i++) {
            byte c = block[i];
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
            if (!letter && !(c >= '0' && c <= '9') && c != '-' && c != '_') {
                return false;
            }
        }
        return true;
    }

    /** Returns the start of a field's value: one space after the colon is not part of it. */
    private static int valueStart(byte[] block, int colon, int end) {
        if (colon == end) {
            return end;
        }
        int start = colon + 1;
        return start < end && block[start] == ' ' ? start + 1 : start;
    }

    /** Parses a number from 1, without sign or leading zeros. */
    private static long parseNumber(byte[] block, int start, int end) {
        if (start == end || end - start > MAX_DIGITS || block[start] == '0') {
            return StreamEvent.UNNUMBERED;
        }
        long number = 0;
        for (int i = start; i < end; i++) {
            if (block[i] < '0' || block[i] > '9') {
                return StreamEvent.UNNUMBERED;
            }
            number = number * 10 + block[i] - '0';
        }
        return number;
    }
}
