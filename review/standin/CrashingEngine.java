import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for an engine that crashes when it begins to run a certain request: all its channels are
 * reset, and it listens again, under the same id and address, some seconds later.
 */
final class CrashingEngine {
    private static final int DOWN_MS = 2_000;

    final String id;
    final int port;
    private final Record mRecord;
    private final Listener mListener;
    private final int mWorkMillis;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mServer;

    /** Whether the request makes the engine crash. */
    volatile boolean crashes;

    /** Hears of runs and of starts. */
    interface Listener {
        void ran(CrashingEngine engine, String attempt, boolean poison);

        void started(CrashingEngine engine);
    }

    CrashingEngine(Record record, String id, int workMillis, Listener listener)
            throws IOException {
        mRecord = record;
        this.id = id;
        mWorkMillis = workMillis;
        mListener = listener;
        port = Deployment.freePort();
        listen();
    }

    private void listen() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(
                new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        mServer = server;
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (true) {
                                try {
                                    Socket socket = server.accept();
                                    socket.setTcpNoDelay(true);
                                    mSockets.add(socket);
                                    Thread.ofVirtual().start(() -> serve(socket));
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
    }

    private void crash() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            // Closing with this option resets the channel.
            socket.setSoLinger(true, 0);
            socket.close();
        }
        mSockets.clear();
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                Thread.sleep(DOWN_MS);
                                listen();
                                mListener.started(this);
                            } catch (IOException | InterruptedException e) {
                                mRecord.say("engine %s doesn't start again: %s", id, e);
                            }
                        });
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                String attempt = String.valueOf(call.header("Attempt-Id"));
                if (!id.equals(call.header("Expect-Instance"))) {
                    Http.write(
                            socket.getOutputStream(),
                            "HTTP/1.1 421 Misdirected Request",
                            Http.list("Attempt-Id: " + attempt, "Instance-Id: " + id),
                            new byte[0]);
                    continue;
                }
                boolean poison = call.target().contains("poison");
                mRecord.add("run     %s runs %s%s", id, attempt, poison ? " (the request)" : "");
                mListener.ran(this, attempt, poison);
                if (poison && crashes) {
                    mRecord.add("crash   %s crashes under %s", id, attempt);
                    crash();
                    return;
                }
                Thread.sleep(mWorkMillis);
                Http.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 200 OK",
                        Http.list("Attempt-Id: " + attempt, "Response-Signature: sig-" + attempt),
                        new byte[800]);
            }
        } catch (IOException | InterruptedException e) {
            // The channel was closed.
        } finally {
            mSockets.remove(socket);
        }
    }
}
