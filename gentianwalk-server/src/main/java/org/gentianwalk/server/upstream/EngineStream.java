package org.gentianwalk.server.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.gentianwalk.server.upstream.EngineException.Reason;
import org.jspecify.annotations.Nullable;

/**
 * The output events of one request to an engine, read by the grammar of text/event-stream: lines
 * end with LF, CR or CRLF, an empty line ends an event, its data lines are joined, and an event
 * that the end of the connection cuts does not count. Closing the stream early closes the
 * connection.
 */
public final class EngineStream implements AutoCloseable {
    private static final byte[] BYTE_ORDER_MARK = "\uFEFF".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA = "data".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    /** Other fields of the format; they have no effect on the output. */
    private static final byte[][] IGNORED = {
        "event".getBytes(StandardCharsets.US_ASCII),
        "id".getBytes(StandardCharsets.US_ASCII),
        "retry".getBytes(StandardCharsets.US_ASCII)
    };

    // Fits one typical event with its framing; the buffers grow for longer events.
    private static final int BUFFER_BYTES = 1024;

    // Limits memory; no valid event of the protocol is longer.
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final InputStream mInput;

    /** Bytes that were received; those from {@code mStart} to {@code mEnd} are not read yet. */
    private byte[] mBuffer = new byte[BUFFER_BYTES];

    private int mStart;
    private int mEnd;
    private boolean mFirstLine = true;

    /** Whether the last line ended with CR, so that an LF after it belongs to its end. */
    private boolean mAfterReturn;

    /** Data of the event that is being read, each line followed by LF. */
    private byte[] mData = new byte[BUFFER_BYTES];

    private int mDataLength;

    /** Whether the event that is being read has a field that is not of the format. */
    private boolean mUnknownField;

    EngineStream(InputStream input) {
        mInput = input;
    }

    /**
     * Waits for the next event.
     *
     * @return the event, or null after the last one
     * @throws EngineException if the connection broke or the event is malformed
     */
    public @Nullable EngineChunk next() throws EngineException {
        mDataLength = 0;
        mUnknownField = false;
        try {
            int length = nextLine();
            while (length >= 0) {
                int from = mStart;
                mAfterReturn = mBuffer[from + length] == '\r';
                mStart += length + 1;
                if (length == 0 && mDataLength > 0) {
                    return isDone() ? null : ChunkParser.parse(mData, 0, mDataLength);
                }
                if (length == 0 && mUnknownField) {
                    // Such a line may be data with a wrong byte, so a token would be lost.
                    throw new EngineException(Reason.BROKEN, "bytes that are no event");
                }
                readLine(from, from + length);
                length = nextLine();
            }
        } catch (IOException e) {
            throw new EngineException(Reason.BROKEN, "connection broke: " + e.getMessage());
        }
        throw new EngineException(Reason.BROKEN, "connection ended before the last event");
    }

    @Override
    public void close() {
        try {
            mInput.close();
        } catch (IOException ignored) {
            // The connection is discarded in any case.
        }
    }

    private void readLine(int lineStart, int end) throws EngineException {
        int from = lineStart;
        if (mFirstLine && startsWith(from, end, BYTE_ORDER_MARK)) {
            from += BYTE_ORDER_MARK.length;
        }
        mFirstLine = false;
        int colon = from;
        while (colon < end && mBuffer[colon] != ':') {
            colon++;
        }
        if (colon == from) {
            return;
        }
        if (!isField(from, colon, DATA)) {
            mUnknownField |= !isIgnored(from, colon);
            return;
        }
        int value = Math.min(colon + 1, end);
        if (value < end && mBuffer[value] == ' ') {
            value++;
        }
        addData(value, end);
    }

    private void addData(int from, int end) throws EngineException {
        int needed = mDataLength + end - from + 1;
        if (needed > MAX_EVENT_BYTES) {
            throw new EngineException(Reason.BROKEN, "event is too long");
        }
        if (needed > mData.length) {
            mData = Arrays.copyOf(mData, Math.max(needed, mData.length * 2));
        }
        System.arraycopy(mBuffer, from, mData, mDataLength, end - from);
        mData[needed - 1] = '\n';
        mDataLength = needed;
    }

    private boolean isDone() {
        return Arrays.equals(mData, 0, mDataLength - 1, DONE, 0, DONE.length);
    }

    private boolean isIgnored(int from, int end) {
        for (byte[] field : IGNORED) {
            if (isField(from, end, field)) {
                return true;
            }
        }
        return false;
    }

    private boolean isField(int from, int end, byte[] name) {
        return Arrays.equals(mBuffer, from, end, name, 0, name.length);
    }

    private boolean startsWith(int from, int end, byte[] prefix) {
        return end - from >= prefix.length && isField(from, from + prefix.length, prefix);
    }

    /**
     * Buffers a complete line beginning at {@code mStart}; returns its length, or -1 at the end of
     * the stream.
     */
    private int nextLine() throws IOException, EngineException {
        int scanned = mStart;
        while (true) {
            if (mAfterReturn && mStart < mEnd) {
                mAfterReturn = false;
                mStart += mBuffer[mStart] == '\n' ? 1 : 0;
                scanned = mStart;
            }
            for (; scanned < mEnd; scanned++) {
                if (mBuffer[scanned] == '\n' || mBuffer[scanned] == '\r') {
                    return scanned - mStart;
                }
            }
            scanned -= makeRoom();
            int count = mInput.read(mBuffer, mEnd, mBuffer.length - mEnd);
            if (count < 0) {
                return -1;
            }
            mEnd += count;
        }
    }

    /**
     * Frees space at the end of the buffer; returns the number of bytes by which its content moved.
     */
    private int makeRoom() throws EngineException {
        int moved = mStart;
        if (moved > 0) {
            System.arraycopy(mBuffer, moved, mBuffer, 0, mEnd - moved);
            mStart = 0;
            mEnd -= moved;
        }
        if (mEnd == mBuffer.length) {
            if (mBuffer.length >= MAX_EVENT_BYTES) {
                throw new EngineException(Reason.BROKEN, "event is too long");
            }
            mBuffer = Arrays.copyOf(mBuffer, mBuffer.length * 2);
        }
        return moved;
    }
}
