package org.gentianwalk.server.log;

import java.io.OutputStream;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ThreadFactory;
import java.util.logging.Handler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.OutputStreamHandler;
import org.jspecify.annotations.Nullable;

/**
 * Configures the logging of a process. Example: {@code try (Logging logging =
 * Logging.start("kvali-1", "info", System.err)) { ... }}.
 */
public final class Logging implements AutoCloseable {
    /** Maximum lines queued for a slow reader of the output; further lines are dropped. */
    private static final int QUEUE_LINES = 8192;

    /** Maximum wait on close for a slow reader of the output. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final Handler mHandler;
    private final Handler mStream;
    private final WriterThread mWriter;
    private final Handler[] mPreviousHandlers;
    private final Logger mRoot;

    private Logging(Logger root, Handler handler, Handler stream, WriterThread writer) {
        mRoot = root;
        mHandler = handler;
        mStream = stream;
        mWriter = writer;
        mPreviousHandlers = root.getHandlers();
    }

    /**
     * Writes all logs of the process to a stream, one JSON object per line. Logging never blocks on
     * the stream: lines are dropped when its reader is too slow.
     *
     * @param instance name of the instance, part of each line
     * @param level {@code error}, {@code warn}, {@code info} or {@code debug}
     * @param output the output stream; not closed
     * @return a handle; closing it restores the previous logging
     */
    public static Logging start(String instance, String level, OutputStream output) {
        OutputStreamHandler stream =
                new OutputStreamHandler(
                        new NonClosingOutputStream(output), new JsonLineFormatter(instance));
        stream.setAutoFlush(true);
        WriterThread writer = new WriterThread();
        AsyncHandler handler = new AsyncHandler(QUEUE_LINES, writer);
        handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        handler.addHandler(stream);
        // The handler may close before its thread has written the queued lines.
        handler.setCloseChildren(false);
        Logger root = LogContext.getLogContext().getLogger("");
        Logging logging = new Logging(root, handler, stream, writer);
        root.setLevel(level(level));
        root.setHandlers(new Handler[] {handler});
        return logging;
    }

    /** Writes the queued lines and restores the previous handlers. */
    @Override
    public void close() {
        mRoot.setHandlers(mPreviousHandlers);
        mHandler.close();
        try {
            mWriter.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mStream.close();
    }

    private static java.util.logging.Level level(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "error" -> Level.ERROR;
            case "warn" -> Level.WARN;
            case "info" -> Level.INFO;
            case "debug" -> Level.DEBUG;
            default -> throw new IllegalArgumentException("no log level " + name);
        };
    }

    /** Creates the writer thread and waits for its end. */
    private static final class WriterThread implements ThreadFactory {
        private volatile @Nullable Thread mThread;

        @Override
        public Thread newThread(Runnable task) {
            Thread thread = Thread.ofPlatform().name("log-writer").daemon().unstarted(task);
            mThread = thread;
            return thread;
        }

        void join() throws InterruptedException {
            Thread thread = mThread;
            // The thread is started by the first line.
            if (thread != null && thread.getState() != Thread.State.NEW) {
                thread.join(CLOSE_TIMEOUT);
            }
        }
    }

    /** Delegates to a stream without closing it. */
    private static final class NonClosingOutputStream extends java.io.FilterOutputStream {
        NonClosingOutputStream(OutputStream output) {
            super(output);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws java.io.IOException {
            out.write(bytes, offset, length);
        }

        @Override
        public void close() throws java.io.IOException {
            flush();
        }
    }
}
