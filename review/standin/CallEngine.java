import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an engine of plain calls: a number of slots, a short queue, and a rejection with
 * Not-Executed beyond it. One request at a time is served on a channel.
 */
final class CallEngine {
    final String id;
    final int port;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    final AtomicInteger rejections = new AtomicInteger();
    final AtomicInteger extras = new AtomicInteger();
    private final Record mRecord;
    private final Semaphore mSlots;
    private final int mQueue;
    private final int mWorkMillis;
    private final int mBodyBytes;
    private final AtomicInteger mWaiting = new AtomicInteger();

    /** Share of the answers after which a second copy follows, late. */
    volatile double extraShare;

    CallEngine(Record record, String id, int slots, int queue, int workMillis, int bodyBytes)
            throws IOException {
        mRecord = record;
        this.id = id;
        mSlots = new Semaphore(slots, true);
        mQueue = queue;
        mWorkMillis = workMillis;
        mBodyBytes = bodyBytes;
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (true) {
                                try {
                                    Socket socket = server.accept();
                                    socket.setTcpNoDelay(true);
                                    Thread.ofVirtual().start(() -> serve(socket));
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] extra = null;
            for (Http.Message call = Http.request(in); call != null; call = Http.request(in)) {
                if (extra != null) {
                    // The extra answer comes where the next one is expected.
                    out.write(extra);
                    out.flush();
                    extra = null;
                }
                byte[] answer = answer(call);
                out.write(answer);
                out.flush();
                if (ThreadLocalRandom.current().nextDouble() < extraShare) {
                    extra = answer;
                    extras.incrementAndGet();
                    mRecord.add("extra   %s has a late extra answer to %s", id, attempt(call));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The channel was closed.
        }
    }

    private static String attempt(Http.Message call) {
        String id = call.header("Attempt-Id");
        return id == null ? "" : id;
    }

    private byte[] answer(Http.Message call) throws InterruptedException {
        String attempt = attempt(call);
        if (call.target().startsWith("/healthz")) {
            return Http.bytes("HTTP/1.1 200 OK", Http.list("Instance-Id: " + id), new byte[0]);
        }
        if (!id.equals(call.header("Expect-Instance"))) {
            return Http.bytes(
                    "HTTP/1.1 421 Misdirected Request",
                    Http.list("Attempt-Id: " + attempt, "Instance-Id: " + id),
                    new byte[0]);
        }
        String deadline = call.header("Deadline-Ms");
        if (!mSlots.tryAcquire()) {
            boolean admitted = mWaiting.incrementAndGet() <= mQueue;
            try {
                if (!admitted
                        || !mSlots.tryAcquire(
                                Long.parseLong(deadline), TimeUnit.MILLISECONDS)) {
                    rejections.incrementAndGet();
                    mRecord.add("reject  %s is full, has not run %s", id, attempt);
                    return Http.bytes(
                            "HTTP/1.1 503 Service Unavailable",
                            Http.list("Attempt-Id: " + attempt, "Not-Executed: 1"),
                            new byte[0]);
                }
            } finally {
                mWaiting.decrementAndGet();
            }
        }
        try {
            int run = runs.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
            mRecord.add("run     %s runs %s (run %d)", id, attempt, run);
            Thread.sleep(Math.min(mWorkMillis, Long.parseLong(deadline)));
        } finally {
            mSlots.release();
        }
        List<String> headers =
                Http.list("Attempt-Id: " + attempt, "Response-Signature: sig-" + attempt);
        return Http.bytes("HTTP/1.1 200 OK", headers, new byte[mBodyBytes]);
    }
}
