package org.gentianwalk.gateway.sockets;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.core.dispatch.Upstream;

/** An upstream of the fault soak, which may be silent, end and be replaced by another process. */
final class SoakUpstream implements AutoCloseable {
    static final int EVENTS = 12;

    /** Time between two silences, in which what waits is read; without it they would be one. */
    private static final long GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Number of requests of which one gets each kind of garbage. */
    private static final int GARBAGE_INTERVAL = 30;

    /** Number of streams of which one gets a wrong event in addition. */
    private static final int WRONG_EVENT_INTERVAL = 6;

    /** Number of long uploads of which one is answered before it is read. */
    private static final int EARLY_ANSWER_INTERVAL = 3;

    private final String mId;
    private final String mService;
    private final SoakHistory mHistory;
    private final SoakAttempts mAttempts;
    private final Random mChoices;

    /** Draws garbage apart from the choices, which stay those of earlier seeds. */
    private final Random mGarbageChoices;

    private final boolean mLosing;
    private final AtomicInteger mRuns = new AtomicInteger();
    private volatile long mGarblingUntil = System.nanoTime();
    private volatile long mSilentUntil = System.nanoTime() - GAP_NANOS;
    private volatile Running mRunning;
    private long mIncarnation;

    /**
     * Starts an upstream.
     *
     * @param id its identifier
     * @param service its service
     * @param history records what it does with each request
     * @param seed draws what it does
     * @param losing whether it resets connections and breaks streams off
     */
    SoakUpstream(String id, String service, SoakHistory history, long seed, boolean losing)
            throws IOException {
        mId = id;
        mService = service;
        mHistory = history;
        mAttempts = history.attempts();
        mChoices = new Random(seed);
        mGarbageChoices = new Random(~seed);
        mLosing = losing;
        mRunning = new Running();
    }

    String service() {
        return mService;
    }

    /** Returns its entry in the list; it is reached through its relay. */
    Upstream entry(boolean draining) {
        String zone = mId.hashCode() % 2 == 0 ? "a" : "b";
        String address = "127.0.0.1:" + mRunning.mRelay.port();
        return new Upstream(mId, mIncarnation, mService, address, zone, 100, draining);
    }

    String id() {
        return mId;
    }

    SoakRelay relay() {
        return mRunning.mRelay;
    }

    /**
     * Lets the process read and write nothing for a time. A silence in progress is not prolonged,
     * since one may last 1.3 s at most; another one may follow it.
     */
    synchronized void silence(long millis) {
        long now = System.nanoTime();
        if (now - mSilentUntil >= GAP_NANOS) {
            mSilentUntil = now + TimeUnit.MILLISECONDS.toNanos(millis);
            mRunning.mRelay.silence(mSilentUntil);
        }
    }

    /** Lets the process send garbage to each request for a time. */
    void garble(long millis) {
        mGarblingUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns what is sent beside or in place of an answer, or null for nothing. */
    private Garbage drawGarbage(boolean stream) {
        boolean garbling = mGarblingUntil - System.nanoTime() > 0;
        if (!garbling && stream && draw(WRONG_EVENT_INTERVAL) == 0) {
            return Garbage.EVENT;
        }
        int kind = draw(garbling ? Garbage.values().length : GARBAGE_INTERVAL);
        return kind < Garbage.values().length ? Garbage.values()[kind] : null;
    }

    private <T> T draw(T[] values) {
        return values[draw(values.length)];
    }

    private int draw(int bound) {
        synchronized (mGarbageChoices) {
            return mGarbageChoices.nextInt(bound);
        }
    }

    /** Ends the process and starts another one at another port. */
    void replace() throws IOException {
        close();
        mRunning = new Running();
    }

    @Override
    public void close() throws IOException {
        Running running = mRunning;
        running.mEnded = true;
        mAttempts.processEnded(running.mProcess);
        running.mRelay.close();
        running.mServer.close();
    }

    /** What an upstream sends that is not its answer. */
    private enum Garbage {
        /** Among the events of a stream; for a call the same as {@link #ANSWER}. */
        EVENT,
        /** In place of an answer. */
        ANSWER,
        /** After a complete answer. */
        EXTRA_BYTES
    }

    /** A process, from its start to its end. */
    private final class Running {
        private final String mProcess;
        private final ScriptedUpstream mServer;
        private final SoakRelay mRelay;

        /** When extra bytes followed an answer on a connection. */
        private final Map<ScriptedUpstream.Connection, Long> mExtraBytesAt =
                new ConcurrentHashMap<>();

        private volatile boolean mEnded;

        Running() throws IOException {
            mIncarnation++;
            mProcess = mId + "/" + mIncarnation;
            mServer = new ScriptedUpstream(mId, this::respond);
            mServer.readsBodies(false);
            String address = mServer.entry(mService, "a").address();
            int port = Integer.parseInt(address.split(":")[1]);
            mRelay = new SoakRelay(port, mProcess, mAttempts);
        }

        private void awaitSound() throws Exception {
            while (mSilentUntil - System.nanoTime() > 0) {
                Thread.sleep(10);
            }
            if (mEnded) {
                throw new IOException("the process has ended");
            }
        }

        private void respond(
                ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
                throws Exception {
            awaitSound();
            if (request.id().isEmpty()) {
                connection.write("HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (request.target().startsWith("/version/")) {
                String team = request.headers().getOrDefault("x-team", "");
                connection.write(ScriptedUpstream.success(request, team));
                return;
            }
            mAttempts.received(request.id(), request.target(), mProcess);
            if (request.unread() > 0) {
                if (draw(EARLY_ANSWER_INTERVAL) == 0) {
                    answerEarly(request, connection);
                }
                connection.readRest(request);
            }
            Long extraBytesAt = mExtraBytesAt.get(connection);
            if (extraBytesAt != null
                    && System.nanoTime() - extraBytesAt < SoakAttempts.UNDER_WAY_NANOS) {
                // It may have been sent before these bytes arrived at the instance.
                mAttempts.garbled(request.id(), mProcess, "extra bytes of an earlier answer");
            }
            int choice;
            int millis;
            synchronized (mChoices) {
                choice = mChoices.nextInt(80);
                millis = mChoices.nextInt(choice < 4 ? 1_500 : 30);
            }
            if (choice == 4) {
                connection.write(ScriptedUpstream.refusal(request));
                mAttempts.refused(request.id(), mProcess);
                return;
            }
            mHistory.executed(request.id(), request.target());
            if (choice == 5 && mLosing) {
                mAttempts.lost(request.id(), mProcess, "reset");
                connection.reset();
                return;
            }
            Thread.sleep(millis);
            awaitSound();
            boolean stream = request.target().startsWith("/stream/");
            Garbage garbage = drawGarbage(stream);
            if (garbage == Garbage.ANSWER || garbage == Garbage.EVENT && !stream) {
                WrongAnswer wrong = draw(WrongAnswer.values());
                mHistory.count("wrong answers");
                mAttempts.garbled(request.id(), mProcess, "sent answer " + wrong);
                connection.write(wrong.bytes(request.id()));
                return;
            }
            if (stream) {
                boolean breaksOff = choice == 6 && mLosing;
                if (!stream(request, connection, breaksOff, garbage == Garbage.EVENT)) {
                    return;
                }
            }
            String end =
                    stream
                            ? "0\r\n\r\n"
                            : ScriptedUpstream.success(request, request.id() + request.target());
            if (garbage == Garbage.EXTRA_BYTES) {
                writeWithExtraBytes(request, connection, end);
            } else {
                connection.write(end);
            }
            mAttempts.answered(request.id(), mProcess);
        }

        /** Sends a part of an answer without a length, and ends without reading the upload. */
        private void answerEarly(
                ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
                throws Exception {
            mHistory.count("early answers");
            mHistory.executed(request.id(), request.target());
            mAttempts.garbled(request.id(), mProcess, "sent a part of an answer to an upload");
            connection.write(ScriptedUpstream.streamHead(request));
            if (request.target().startsWith("/stream/")) {
                int number = Integer.parseInt(request.headers().getOrDefault("x-last", "0")) + 1;
                String run = mProcess + "#" + mRuns.incrementAndGet();
                // A caller that has all events asks for the end only.
                if (number <= EVENTS) {
                    mAttempts.eventSent(request.id(), run, number);
                    connection.write(SoakEvents.event(number, request.target(), run));
                }
            } else {
                connection.write(request.id());
            }
            Thread.sleep(draw(20));
            if (draw(2) == 0) {
                connection.socket().shutdownOutput();
                Thread.sleep(draw(20));
            }
            connection.socket().close();
            throw new IOException("the connection has ended");
        }

        private void writeWithExtraBytes(
                ScriptedUpstream.Request request,
                ScriptedUpstream.Connection connection,
                String end)
                throws Exception {
            String extra = draw(ExtraBytes.values()).bytes(request.id());
            mHistory.count("extra bytes");
            mExtraBytesAt.put(connection, System.nanoTime());
            if (draw(2) == 0) {
                connection.write(end + extra);
                return;
            }
            connection.write(end);
            Thread.sleep(draw(20));
            mExtraBytesAt.put(connection, System.nanoTime());
            connection.write(extra);
        }

        /**
         * Streams the events after the last one, without the end of the body if they are sound.
         *
         * @param garbles whether something else comes before one of them or at their end
         * @return whether all events were sent, and nothing else
         */
        private boolean stream(
                ScriptedUpstream.Request request,
                ScriptedUpstream.Connection connection,
                boolean breaksOff,
                boolean garbles)
                throws Exception {
            connection.write(
                    "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nx-events: 1\r\n"
                                    .formatted(request.id())
                            + "Transfer-Encoding: chunked\r\n\r\n");
            String run = mProcess + "#" + mRuns.incrementAndGet();
            int last = Integer.parseInt(request.headers().getOrDefault("x-last", "0"));
            int wrongBefore = garbles ? last + 1 + draw(EVENTS + 1 - last) : 0;
            for (int number = last + 1; number <= EVENTS; number++) {
                awaitSound();
                if (number == wrongBefore && isEndAfterWrongEvent(request, connection, number)) {
                    return false;
                }
                mAttempts.eventSent(request.id(), run, number);
                writeChunk(connection, SoakEvents.event(number, request.target(), run));
                if (breaksOff && number == EVENTS / 2) {
                    mAttempts.lost(request.id(), mProcess, "broke off");
                    connection.reset();
                    return false;
                }
                Thread.sleep(15);
            }
            if (wrongBefore > EVENTS) {
                isEndAfterWrongEvent(request, connection, wrongBefore);
                return false;
            }
            if (garbles) {
                connection.write("0\r\n\r\n");
            }
            return !garbles;
        }

        /** Sends a wrong event, and may end the stream after it. */
        private boolean isEndAfterWrongEvent(
                ScriptedUpstream.Request request, ScriptedUpstream.Connection connection, int due)
                throws IOException {
            WrongEvent wrong = draw(WrongEvent.values());
            boolean ends = due > EVENTS || draw(3) == 0;
            mHistory.count("wrong events");
            String end = ends ? " and the end" : "";
            mAttempts.garbled(
                    request.id(), mProcess, "sent %s before %d%s".formatted(wrong, due, end));
            writeChunk(connection, wrong.bytes(due));
            if (ends) {
                connection.write("0\r\n\r\n");
            }
            return ends;
        }

        private static void writeChunk(ScriptedUpstream.Connection connection, String bytes)
                throws IOException {
            connection.write(Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n");
        }
    }
}
