import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;

/**
 * An engine of a plain service, as PROTOCOL.md describes it: it registers itself in the store, serves
 * one request at a time on a channel, and works on as many requests as it has slots.
 */
final class Engine {
    private final Supplier<Store> mStore;
    private final String mService;
    private final String mId;
    private final int mSlots;
    private final Work mWork;
    private final Semaphore mFree;
    private final ServerSocket mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mEnded;
    private volatile String mState = "ready";
    private long mSequence;

    /** What the engine does with a request; called with its head before the body is read. */
    interface Work {
        /** Pauses between two reads of 64 KiB of the body, ms; 0 reads at once. */
        default long readPauseMillis(Http.Head head) {
            return 0;
        }

        /** Runs the request and returns the body of the answer. */
        byte[] run(Http.Head head, byte[] body) throws InterruptedException;

        /** Called when a request is in; whether it crashes the engine that begins to run it. */
        default boolean crashes(Engine engine, Http.Head head) {
            return false;
        }

        /** Version of the weights of a model engine; 0 for another one. */
        default int weights() {
            return 0;
        }

        /** Number of events of the answer to a streaming request; 0 for another answer. */
        default int events(Http.Head head) {
            return 0;
        }
    }

    Engine(Store store, String service, String id, int slots, Work work) throws IOException {
        this(() -> store, service, id, slots, work);
    }

    /** Creates an engine that checks in at the store of the moment. */
    Engine(Supplier<Store> store, String service, String id, int slots, Work work) throws IOException {
        mStore = store;
        mService = service;
        mId = id;
        mSlots = slots;
        mWork = work;
        mFree = new Semaphore(slots);
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Thread.ofVirtual().start(this::accept);
        beat();
        Thread.ofVirtual().start(this::beatOn);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    String id() {
        return mId;
    }

    void drain() {
        mState = "draining";
        beat();
    }

    private void beat() {
        mSequence++;
        mStore.get().put(
                "servers",
                mId,
                "{\"service\":\"" + mService + "\",\"address\":\"" + address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + mSlots
                        + ",\"state\":\"" + mState + "\",\"cold_remaining_ms\":0,\"sequence\":" + mSequence + "}");
    }

    private void beatOn() {
        try {
            while (!mEnded) {
                Thread.sleep(1_200);
                beat();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!mEnded) {
            try {
                Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        mSockets.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                answer(head, in, out);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left; a request whose channel closes is dropped.
        } finally {
            mSockets.remove(socket);
        }
    }

    private void answer(Http.Head head, InputStream in, OutputStream out) throws IOException, InterruptedException {
        String id = head.header("attempt-id");
        String expected = head.header("expect-instance");
        if (expected != null && !expected.equals(mId)) {
            Http.readBody(head, in);
            write(out, 421, "Not-Executed: 1\r\nInstance-Id: " + mId + "\r\n" + echo(id), new byte[0]);
            return;
        }
        if (head.line().startsWith("GET /healthz ")) {
            write(out, 200, "Instance-Id: " + mId + "\r\n" + load(), new byte[0]);
            return;
        }
        if (head.line().startsWith("GET /gentianwalk/report ")) {
            write(out, 200, "Content-Type: application/json\r\n", Http.bytes("{\"stage\":\"hybrid\",\"models\":[],\"busy\":false,\"sequence\":0}"));
            return;
        }
        if (id == null) {
            Http.readBody(head, in);
            write(out, 400, "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String version = head.header("expect-version");
        if (version != null && mWork.weights() > 0 && !version.equals(String.valueOf(mWork.weights()))) {
            Http.readBody(head, in);
            write(out, 421, "Not-Executed: 1\r\nInstance-Id: " + mId + "\r\nWeight-Versions: " + mWork.weights() + "\r\n" + echo(id), new byte[0]);
            return;
        }
        byte[] body = readSlowly(head, in);
        mFree.acquire();
        try {
            if (mWork.crashes(this, head)) {
                crash();
                return;
            }
            int events = mWork.events(head);
            if (events > 0) {
                stream(head, id, events, out);
                return;
            }
            byte[] answer = mWork.run(head, body);
            write(out, 200, echo(id) + "Response-Signature: " + mId + "." + id + "\r\n" + load(), answer);
        } finally {
            mFree.release();
        }
    }

    private byte[] readSlowly(Http.Head head, InputStream in) throws IOException, InterruptedException {
        long pause = mWork.readPauseMillis(head);
        if (pause == 0) {
            return Http.readBody(head, in);
        }
        byte[] body = new byte[head.length()];
        for (int at = 0; at < body.length; ) {
            Thread.sleep(pause);
            int read = in.readNBytes(body, at, Math.min(64 << 10, body.length - at));
            if (read <= 0) {
                throw new IOException("a body is cut");
            }
            at += read;
        }
        return body;
    }

    private String load() {
        return "Instance-Load: " + (mSlots - mFree.availablePermits()) + "," + mFree.getQueueLength() + "," + mSlots + "\r\n";
    }

    private static String echo(String id) {
        return id == null ? "" : "Attempt-Id: " + id + "\r\n";
    }

    private static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        byte[] head = Http.bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Keep-Alive: timeout=20\r\nContent-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
    }

    /** Answers with a series of events, which goes on after the last one that the caller has. */
    private void stream(Http.Head head, String id, int events, OutputStream out) throws IOException, InterruptedException {
        String last = head.header("last-event-id");
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + echo(id) + "Response-Signature: " + mId + "." + id + "\r\n" + load()
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int number = last == null ? 1 : Integer.parseInt(last) + 1; number <= events; number++) {
            Thread.sleep(50);
            String event = "id: " + number + "\ndata: " + id + "." + number + "\n\n";
            out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
        }
        out.write(Http.bytes("0\r\n\r\n"));
    }

    /** Ends the process: nothing listens any more, and all its channels are reset. */
    void crash() {
        close();
        for (Socket socket : mSockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It ends in any case.
            }
        }
    }

    void close() {
        mEnded = true;
        try {
            mServer.close();
        } catch (IOException e) {
            // It ends in any case.
        }
    }
}
