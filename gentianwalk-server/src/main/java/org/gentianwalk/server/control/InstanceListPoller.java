package org.gentianwalk.server.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.platform.PlatformException;
import org.gentianwalk.server.guard.FailureGuard;
import org.jboss.logging.Logger;

/**
 * Polls the platform's instance list and passes its entries to a listener.
 *
 * <p>Options: the pause between two polls. Example: {@code new InstanceListPoller(list,
 * InstanceListPoller.PERIOD, listener).start()}.
 */
public final class InstanceListPoller implements AutoCloseable {
    /** A third of the 3 s after which a leaving upstream must get no new work. */
    public static final Duration PERIOD = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(InstanceListPoller.class);

    private final FailureGuard mGuard = FailureGuard.logging();
    private final InstanceList mList;
    private final Duration mPeriod;
    private final Listener mListener;
    private final ScheduledExecutorService mExecutor =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("instance-list").factory());
    private final Set<String> mLeaving = new HashSet<>();

    /** Receives the entries of the list, on the poller's thread. */
    public interface Listener {
        /**
         * Called with the instances of the list after each poll.
         *
         * @param instances entries of kind {@link InstanceList.Kind#INSTANCE}
         */
        void instances(List<InstanceList.Entry> instances);

        /**
         * Called when an upstream starts to leave, or is live again after it was leaving.
         *
         * @param upstream its identifier
         * @param leaving true when it is leaving
         */
        void upstream(String upstream, boolean leaving);
    }

    /**
     * Creates a poller that does not run yet.
     *
     * @param list the list
     * @param period pause between two polls
     * @param listener receives the entries
     */
    public InstanceListPoller(InstanceList list, Duration period, Listener listener) {
        mList = list;
        mPeriod = period;
        mListener = listener;
    }

    /** Starts to poll; the first poll begins at once. */
    public void start() {
        mExecutor.scheduleWithFixedDelay(
                mGuard.guarded("instance list", this::poll),
                0,
                mPeriod.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private void poll() {
        try {
            List<InstanceList.Entry> entries = mList.entries();
            mListener.instances(
                    entries.stream()
                            .filter(entry -> entry.kind() == InstanceList.Kind.INSTANCE)
                            .toList());
            for (InstanceList.Entry entry : entries) {
                if (entry.kind() == InstanceList.Kind.UPSTREAM) {
                    reportUpstream(entry);
                }
            }
        } catch (PlatformException e) {
            // The list may be unavailable for a long time; membership then relies on heartbeats.
            LOG.debugf(e, "failed to read the instance list");
        }
    }

    private void reportUpstream(InstanceList.Entry entry) {
        boolean leaving = entry.state() == InstanceList.State.LEAVING;
        boolean changed = leaving ? mLeaving.add(entry.id()) : mLeaving.remove(entry.id());
        if (changed) {
            mListener.upstream(entry.id(), leaving);
        }
    }
}
