package org.gentianwalk.gateway.sockets;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One instance of the fault soak, in a process of its own that is only ended by its id. */
final class SoakInstance implements AutoCloseable {
    static final int GRACE_SECONDS = 4;

    private static final int MAX_STARTS = 5;

    /** Time after which another request is sent for certain after an earlier one was read. */
    private static final long READ_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long READY_MILLIS = 30_000;
    private static final String HOST = "127.0.0.1";
    private static final AtomicInteger PORTS =
            new AtomicInteger(12_000 + (int) (ProcessHandle.current().pid() % 40) * 500);

    private final Object mSignals = new Object();
    private final String mName;
    private final Process mProcess;
    private final InetSocketAddress mCallers;
    private final long mStartedAt = System.nanoTime();
    private volatile boolean mKilled;
    private volatile long mKilledAt;
    private volatile boolean mPausing;
    private volatile long mResumedAt;
    private volatile boolean mEverPaused;
    private volatile boolean mStopping;
    private volatile long mStoppedAt;
    private volatile long mShownVersion;
    private final List<Shown> mShown = new CopyOnWriteArrayList<>();

    /**
     * A version that an answer showed.
     *
     * @param sentAt when the request was sent
     * @param answeredAt when its answer had arrived
     * @param version the version
     */
    private record Shown(long sentAt, long answeredAt, long version) {}

    private SoakInstance(String name, Process process, InetSocketAddress callers) {
        mName = name;
        mProcess = process;
        mCallers = callers;
    }

    /** Starts a process and waits until it serves. */
    static SoakInstance start(String name, String store, Path folder) throws Exception {
        for (int attempt = 1; attempt <= MAX_STARTS; attempt++) {
            int port = freePort();
            Path settings = folder.resolve(name + ".yaml");
            Files.writeString(settings, settings(name, port, store));
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx48m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                                    "--sun-misc-unsafe-memory-access=allow",
                                    "-cp",
                                    System.getProperty(
                                            "surefire.test.class.path",
                                            System.getProperty("java.class.path")),
                                    SoakMain.class.getName(),
                                    settings.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(folder.resolve(name + ".log").toFile())
                            .start();
            // No process outlives the soak, however it ends.
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            InetSocketAddress callers = new InetSocketAddress(HOST, port);
            SoakInstance instance = new SoakInstance(name, process, callers);
            if (instance.awaitServing()) {
                return instance;
            }
            instance.close();
        }
        throw new IOException("instance " + name + " does not start, see its log in " + folder);
    }

    private static String settings(String name, int port, String store) throws IOException {
        return """
        name: %s
        zone: a
        region: region
        zones: { a: region, b: region }
        callers: "127.0.0.1:%d"
        readiness: "127.0.0.1:%d"
        mesh: "127.0.0.1:%d"
        mesh_keys: { key: 0123456789abcdef }
        store: "%s"
        retry_ratio: 0.8
        retry_slack: 150
        stop_grace_s: %d
        """
                .formatted(name, port, freePort(), freePort(), store, GRACE_SECONDS);
    }

    /**
     * Returns a free port below those that the system gives out. Another soak could be given one of
     * these before the process has bound it, and callers would reach an instance of that soak.
     */
    private static int freePort() throws IOException {
        for (int port = PORTS.getAndIncrement(); ; port = PORTS.getAndIncrement()) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    private boolean awaitServing() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (System.nanoTime() - end < 0 && mProcess.isAlive()) {
            try (RawCaller caller = caller()) {
                RawCaller.Response response = caller.call("/none/", "warm-up");
                if (response != null && response.status() != 503) {
                    // 503 states that it has no configuration yet.
                    return true;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        return false;
    }

    RawCaller caller() throws IOException {
        return new RawCaller(mCallers);
    }

    String name() {
        return mName;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    boolean isStopping() {
        return mStopping;
    }

    /** Returns whether the process was started after a time. */
    boolean isStartedAfter(long nanos) {
        return mStartedAt - nanos > 0;
    }

    /** Records the version that an answer shows; returns false when it is older than before. */
    boolean showsVersion(long version, long sentAt) {
        mShown.add(new Shown(sentAt, System.nanoTime(), version));
        boolean forward = version >= mShownVersion;
        mShownVersion = version;
        return forward;
    }

    /** Returns the latest version that was in force before a time for certain, or 0. */
    long versionBefore(long nanos) {
        return mShown.stream()
                .filter(shown -> shown.answeredAt() - nanos <= 0)
                .mapToLong(Shown::version)
                .max()
                .orElse(0);
    }

    /** Returns the earliest version that was in force after a request of a time was read. */
    long versionAfter(long nanos) {
        return mShown.stream()
                .filter(shown -> shown.sentAt() - nanos >= READ_NANOS)
                .mapToLong(Shown::version)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    boolean isKilled() {
        return mKilled;
    }

    /** Returns whether the process was killed before a time. */
    boolean isKilledBy(long nanos) {
        return mKilled && nanos - mKilledAt >= 0;
    }

    /** Returns whether the process was told to stop a duration before a time, or earlier. */
    boolean isStoppedFor(Duration duration, long nanos) {
        return mStopping && nanos - mStoppedAt >= duration.toNanos();
    }

    /** Returns whether requests since a time may be answered late or in part. */
    boolean isExcused(long sinceNanos) {
        return mKilled || mPausing || mEverPaused && mResumedAt - sinceNanos > 0;
    }

    /**
     * Pauses the process unless it is stopping or paused; overlapping pauses would last too long.
     *
     * @return whether it has to be resumed
     */
    boolean pauseIfRunning() throws Exception {
        synchronized (mSignals) {
            if (mStopping || mPausing) {
                return false;
            }
            pause();
            return true;
        }
    }

    void pause() throws Exception {
        synchronized (mSignals) {
            mPausing = true;
            signal("STOP");
        }
    }

    void resume() throws Exception {
        synchronized (mSignals) {
            signal("CONT");
            // The instance needs a moment for what has waited meanwhile.
            mResumedAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
            mEverPaused = true;
            mPausing = false;
        }
    }

    void stop() throws Exception {
        mStoppedAt = System.nanoTime();
        mStopping = true;
        signal("TERM");
    }

    void kill() {
        mKilledAt = System.nanoTime();
        mKilled = true;
        mProcess.destroyForcibly();
    }

    void reload() throws Exception {
        signal("HUP");
    }

    private void signal(String signal) throws Exception {
        if (mProcess.isAlive()) {
            new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(mProcess.pid())))
                    .start()
                    .waitFor();
        }
    }

    /** Returns what is wrong with the end of the process, or null. */
    String endingViolation() {
        if (mKilled) {
            return null;
        }
        if (!mStopping) {
            return mProcess.isAlive() ? null : mName + " ended by itself: " + mProcess.exitValue();
        }
        try {
            if (!mProcess.waitFor(GRACE_SECONDS + 3, TimeUnit.SECONDS)) {
                return mName + " has not ended after SIGTERM";
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return mProcess.exitValue() == 0 ? null : mName + " ended with " + mProcess.exitValue();
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }
}
