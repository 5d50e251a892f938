package org.gentianwalk.scenario;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import org.gentianwalk.proto.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * A TCP relay in front of one process that can stop forwarding, as a network partition does: no
 * connection is reset, and bytes flow again when the partition heals.
 *
 * <p>Example: {@code relay.freeze(peer -> peer.equals("instance-2"))} cuts off one peer.
 */
final class LinkRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_FRAME_BYTES = 4 << 20;

    private final InetSocketAddress mTarget;
    private final boolean mMesh;
    private final ServerSocket mListener;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Object mLock = new Object();
    private Predicate<String> mFrozen = peer -> false;

    /**
     * Creates a relay that listens on a free loopback port.
     *
     * @param target where connections are forwarded to
     * @param mesh true when the connections are mesh connections, whose first frame names the peer
     */
    LinkRelay(InetSocketAddress target, boolean mesh) throws IOException {
        mTarget = target;
        mMesh = mesh;
        mListener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    /**
     * Sets the peers whose bytes are held back, in both directions.
     *
     * @param peers matches identifiers of instances; the name is empty on other connections
     */
    void freeze(Predicate<String> peers) {
        synchronized (mLock) {
            mFrozen = peers;
            mLock.notifyAll();
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
        mThreads.shutdownNow();
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket client = mListener.accept();
                mSockets.add(client);
                mThreads.execute(() -> connect(client));
            } catch (IOException ignored) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        try (client;
                Socket server = new Socket()) {
            mSockets.add(server);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            byte @Nullable [] first = mMesh ? firstFrame(client) : null;
            String peer = first == null ? "" : sender(first);
            awaitThawed(peer);
            server.connect(mTarget);
            if (first != null) {
                OutputStream out = server.getOutputStream();
                out.write(ByteBuffer.allocate(Integer.BYTES).putInt(first.length).array());
                out.write(first);
            }
            mThreads.execute(() -> copy(server, client, peer));
            copy(client, server, peer);
        } catch (IOException ignored) {
            // The other side is gone; both sockets are closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(client);
        }
    }

    private static byte[] firstFrame(Socket client) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        int length = in.readInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("frame of " + length + " bytes");
        }
        byte[] frame = new byte[length];
        in.readFully(frame);
        return frame;
    }

    private static String sender(byte[] frame) throws IOException {
        return Envelope.parseFrom(frame).getSender();
    }

    private void copy(Socket from, Socket to, String peer) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                awaitThawed(peer);
                out.write(buffer, 0, count);
                count = in.read(buffer);
            }
        } catch (IOException ignored) {
            // One side is gone; the other one is closed below.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private void awaitThawed(String peer) throws InterruptedException {
        synchronized (mLock) {
            while (mFrozen.test(peer)) {
                mLock.wait();
            }
        }
    }

    private void closeQuietly(Socket socket) {
        mSockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
