package org.gentianwalk.gateway.sockets;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A caller of the fault soak, which keeps its connection until the instance closes it. */
final class SoakCaller implements Callable<Void> {
    private static final List<String> PREFIXES = List.of("/safe/", "/once/", "/stream/", "/extra/");
    private static final List<String> KEYS = List.of("k0", "k1", "k2");

    private static final int SHORT_UPLOAD = 2;

    /** The longest body that the configuration allows; more than the sockets' buffers hold. */
    private static final int LONG_UPLOAD = 1 << 20;

    /** Number of requests of which one has a long body. */
    private static final int LONG_INTERVAL = 12;

    private static final int FIRST_ERROR = 400;
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Pause of a caller that is refused without a time to come back. */
    private static final long REFUSED_MILLIS = 300;

    /** Longest pause, so that a caller sends further requests within a soak. */
    private static final long MAX_PAUSE_MILLIS = 2_000;

    private final String mName;
    private final SoakHistory mHistory;
    private final List<SoakInstance> mInstances;
    private final Random mChoices;
    private final BooleanSupplier mRunning;

    /** Draws the lengths of bodies apart from the choices, which stay those of earlier seeds. */
    private final Random mUploadChoices;

    private int mSent;

    /** Target of a stream that was broken off, or null, and the events of it that arrived. */
    private String mBrokenStream;

    private int mLast;

    /** Pause before the next request, which a refusal prolongs. */
    private long mPauseMillis;

    SoakCaller(
            String name,
            SoakHistory history,
            List<SoakInstance> instances,
            Random choices,
            BooleanSupplier running) {
        mName = name;
        mHistory = history;
        mInstances = instances;
        mChoices = choices;
        mRunning = running;
        mUploadChoices = new Random(name.hashCode());
    }

    @Override
    public Void call() throws Exception {
        while (mRunning.getAsBoolean()) {
            SoakInstance instance = mInstances.get(mChoices.nextInt(mInstances.size()));
            try (RawCaller caller = instance.caller()) {
                long idleSince = 0;
                for (boolean open = true; open && mRunning.getAsBoolean(); ) {
                    open = send(caller, instance, idleSince);
                    idleSince = System.nanoTime();
                    Thread.sleep(mPauseMillis);
                }
            } catch (IOException e) {
                // The instance does not listen; another one is chosen.
                Thread.sleep(20);
            }
        }
        return null;
    }

    private boolean send(RawCaller caller, SoakInstance instance, long idleSince) {
        String target = mBrokenStream;
        int last = mLast;
        mBrokenStream = null;
        mLast = 0;
        mPauseMillis = mChoices.nextInt(60);
        String id = mName + "-" + mSent++;
        if (target == null) {
            target = PREFIXES.get(mChoices.nextInt(PREFIXES.size())) + id;
        }
        int limit = 1_000 + mChoices.nextInt(3_000);
        String key = KEYS.get(mChoices.nextInt(KEYS.size()));
        int length = mUploadChoices.nextInt(LONG_INTERVAL) == 0 ? LONG_UPLOAD : SHORT_UPLOAD;
        long start = System.nanoTime();
        long idle = idleSince == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(start - idleSince);
        SoakHistory.Request request =
                new SoakHistory.Request(id, target, key, last, limit, instance, start, idle);
        RawCaller.Response response;
        try {
            response =
                    caller.upload(
                            length,
                            target,
                            id,
                            "x-key: " + key,
                            "x-patience: " + limit,
                            "x-last: " + last);
        } catch (SocketTimeoutException e) {
            mHistory.unanswered(request, "nothing arrives");
            return false;
        } catch (IOException e) {
            mHistory.unanswered(request, String.valueOf(e.getMessage()));
            return false;
        }
        if (response == null) {
            mHistory.unanswered(request, "the connection was closed");
            return false;
        }
        int now = mHistory.answered(request, response);
        mPauseMillis = pauseMillis(response);
        if (request.isStream() && now > 0 && now < SoakUpstream.EVENTS) {
            mBrokenStream = target;
            mLast = now;
        }
        return response.complete() && !"close".equals(response.headers().get("connection"));
    }

    /** Returns the pause that an answer asks for, or a usual one. */
    private long pauseMillis(RawCaller.Response response) {
        int usual = mChoices.nextInt(60);
        if (response.status() < FIRST_ERROR) {
            return usual;
        }
        String retryAfter = response.headers().get("retry-after");
        long millis =
                retryAfter == null
                        ? REFUSED_MILLIS
                        : Math.round(Double.parseDouble(retryAfter) * MILLIS_PER_SECOND);
        return usual + Math.min(millis, MAX_PAUSE_MILLIS);
    }
}
