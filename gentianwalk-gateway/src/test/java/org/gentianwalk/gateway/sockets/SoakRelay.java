package org.gentianwalk.gateway.sockets;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Passes connections on to a port on loopback, and may delay, silence or reset them. */
final class SoakRelay implements AutoCloseable {
    private final ServerSocket mListener;
    private static final Pattern ID = Pattern.compile("(?i)\\r\\nx-id: ([^\\r]+)\\r\\n");

    private static final Pattern LEFT = Pattern.compile("(?i)\\r\\nx-left: (\\d+)\\r\\n");

    /** Small, so that a long request that the upstream does not read stays at the instance. */
    private static final int BUFFER_BYTES = 64 << 10;

    private final int mTarget;
    private final String mProcess;
    private final SoakAttempts mAttempts;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    /** The last request on each connection of an instance. */
    private final Map<Socket, String> mRequests = new ConcurrentHashMap<>();

    private volatile long mDelayMillis;
    private volatile long mSilentUntil = System.nanoTime();
    private volatile boolean mRequestsHeld;
    private volatile boolean mResponsesHeld;

    /**
     * Listens at a free port.
     *
     * @param target port that connections are passed on to
     * @param process the process there
     * @param attempts records what becomes of requests
     */
    SoakRelay(int target, String process, SoakAttempts attempts) throws IOException {
        mTarget = target;
        mProcess = process;
        mAttempts = attempts;
        mListener = new ServerSocket();
        mListener.setReceiveBufferSize(BUFFER_BYTES);
        mListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    void delay(long millis) {
        mDelayMillis = millis;
    }

    /** Holds back the bytes of one direction, or of none. */
    void hold(boolean requests, boolean responses) {
        mRequestsHeld = requests;
        mResponsesHeld = responses;
    }

    /** Passes nothing on until a time, in neither direction. */
    void silence(long untilNanos) {
        mSilentUntil = untilNanos;
    }

    void reset() {
        reset("reset");
    }

    private void reset(String why) {
        mRequests.forEach((socket, id) -> mAttempts.connectionLost(id, mProcess, why));
        mSockets.forEach(SoakRelay::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket near = mListener.accept();
                Socket far;
                try {
                    far = new Socket();
                    far.setSendBufferSize(BUFFER_BYTES);
                    far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), mTarget));
                } catch (IOException e) {
                    reset(near);
                    continue;
                }
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                mSockets.add(near);
                mSockets.add(far);
                Thread.ofVirtual().start(() -> pass(near, far, true));
                Thread.ofVirtual().start(() -> pass(far, near, false));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pass(Socket from, Socket to, boolean requests) {
        byte[] bytes = new byte[8192];
        try {
            InputStream input = from.getInputStream();
            for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
                if (requests) {
                    recordRequest(from, new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
                }
                Thread.sleep(mDelayMillis);
                while ((requests ? mRequestsHeld : mResponsesHeld)
                        || mSilentUntil - System.nanoTime() > 0) {
                    Thread.sleep(10);
                }
                to.getOutputStream().write(bytes, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        } finally {
            mSockets.remove(from);
            mRequests.remove(from);
        }
    }

    /** Records a request, which instances write at once. */
    private void recordRequest(Socket connection, String bytes) {
        Matcher id = ID.matcher(bytes);
        if (id.find()) {
            mRequests.put(connection, id.group(1));
            Matcher left = LEFT.matcher(bytes);
            long millisLeft = left.find() ? Long.parseLong(left.group(1)) : 0;
            mAttempts.sent(id.group(1), mProcess, millisLeft);
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        reset("process ended");
    }
}
