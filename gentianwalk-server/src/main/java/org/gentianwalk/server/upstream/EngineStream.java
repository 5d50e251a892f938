package org.gentianwalk.server.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import org.gentianwalk.server.upstream.EngineException.Reason;
import org.jspecify.annotations.Nullable;

/**
 * The output events of one request to an engine. Closing the stream early closes the connection.
 */
public final class EngineStream implements AutoCloseable {
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};
    private static final byte[] DONE = {'[', 'D', 'O', 'N', 'E', ']'};

    // Fits one typical event with its framing; the buffer grows for longer events.
    private static final int BUFFER_BYTES = 1024;

    // Limits memory; no valid event of the protocol has a longer line.
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final InputStream mInput;
    private byte[] mBuffer = new byte[BUFFER_BYTES];
    private int mStart;
    private int mEnd;

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
        try {
            int length = nextLine();
            while (length >= 0) {
                int from = mStart;
                mStart += length + 1;
                if (startsWith(from, length, DATA)) {
                    int begin = from + DATA.length;
                    while (begin < from + length && mBuffer[begin] == ' ') {
                        begin++;
                    }
                    int size = from + length - begin;
                    boolean done = startsWith(begin, size, DONE);
                    return done ? null : ChunkParser.parse(mBuffer, begin, size);
                }
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

    /**
     * Buffers a complete line beginning at {@code mStart}; returns its length, or -1 at the end of
     * the stream.
     */
    private int nextLine() throws IOException, EngineException {
        int scanned = mStart;
        while (true) {
            for (; scanned < mEnd; scanned++) {
                if (mBuffer[scanned] == '\n') {
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
            if (mBuffer.length >= MAX_LINE_BYTES) {
                throw new EngineException(Reason.BROKEN, "event is too long");
            }
            mBuffer = Arrays.copyOf(mBuffer, mBuffer.length * 2);
        }
        return moved;
    }

    private boolean startsWith(int from, int length, byte[] prefix) {
        return length >= prefix.length
                && Arrays.equals(mBuffer, from, from + prefix.length, prefix, 0, prefix.length);
    }
}
