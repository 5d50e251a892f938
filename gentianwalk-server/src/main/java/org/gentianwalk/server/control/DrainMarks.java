package org.gentianwalk.server.control;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.proto.UpstreamMark;

/**
 * The operators' drain marks on upstreams. The highest version of a mark wins; of two marks with
 * the same version, the draining one wins. All instances therefore converge on the same marks, in
 * whatever order they receive them. Confined to one thread.
 *
 * <p>Example: {@code marks.set("engine-3", true, System.currentTimeMillis())}
 */
public final class DrainMarks {
    /** Maximum number of marks; bounds the memory that messages can fill. */
    static final int MAX_MARKS = 4096;

    /** Time after which the mark of an undrained upstream is removed. */
    static final long UNDRAINED_RETENTION_MS = 24L * 60 * 60 * 1000;

    /**
     * Maximum lead of a version over the wall clock; no command could supersede an arbitrarily high
     * version.
     */
    static final long MAX_VERSION_LEAD_MS = 60L * 60 * 1000;

    private final TreeMap<String, UpstreamMark> mMarks = new TreeMap<>();
    private String mLastSent = "";

    /** Creates an empty table. */
    public DrainMarks() {}

    /**
     * Sets an operator's mark, with a higher version than the previous one.
     *
     * @param upstream the upstream
     * @param drained true to stop its new work
     * @param epochMillis the wall clock
     * @return the mark
     */
    public UpstreamMark set(String upstream, boolean drained, long epochMillis) {
        UpstreamMark previous = mMarks.get(upstream);
        long version =
                previous == null ? epochMillis : Math.max(previous.getVersion() + 1, epochMillis);
        UpstreamMark mark =
                UpstreamMark.newBuilder()
                        .setUpstream(upstream)
                        .setVersion(version)
                        .setDrained(drained)
                        .build();
        mMarks.put(upstream, mark);
        return mark;
    }

    /**
     * Merges the marks of another instance.
     *
     * @param marks the marks
     * @param epochMillis the wall clock
     * @return true when one of them replaced or added a mark
     */
    public boolean merge(Collection<UpstreamMark> marks, long epochMillis) {
        boolean changed = false;
        for (UpstreamMark mark : marks) {
            UpstreamMark previous = mMarks.get(mark.getUpstream());
            boolean newer =
                    previous == null
                            ? mMarks.size() < MAX_MARKS && !isExpired(mark, epochMillis)
                            : mark.getVersion() > previous.getVersion()
                                    || mark.getVersion() == previous.getVersion()
                                            && mark.getDrained()
                                            && !previous.getDrained();
            if (newer
                    && !mark.getUpstream().isEmpty()
                    && mark.getVersion() - epochMillis <= MAX_VERSION_LEAD_MS) {
                mMarks.put(mark.getUpstream(), mark);
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Returns the next marks to repeat, and removes expired ones.
     *
     * @param max maximum number of marks
     * @param epochMillis the wall clock
     * @return marks by name of the upstream, continuing after the last call's ones
     */
    public Collection<UpstreamMark> next(int max, long epochMillis) {
        mMarks.values().removeIf(mark -> isExpired(mark, epochMillis));
        Set<UpstreamMark> next = new LinkedHashSet<>();
        while (next.size() < Math.min(max, mMarks.size())) {
            Map.Entry<String, UpstreamMark> entry = mMarks.higherEntry(mLastSent);
            if (entry == null) {
                entry = mMarks.firstEntry();
            }
            mLastSent = entry.getKey();
            next.add(entry.getValue());
        }
        return next;
    }

    /**
     * Returns the drained upstreams.
     *
     * @return their identifiers
     */
    public Set<String> drained() {
        Set<String> drained = new LinkedHashSet<>();
        for (UpstreamMark mark : mMarks.values()) {
            if (mark.getDrained()) {
                drained.add(mark.getUpstream());
            }
        }
        return drained;
    }

    private static boolean isExpired(UpstreamMark mark, long epochMillis) {
        return !mark.getDrained() && epochMillis - mark.getVersion() > UNDRAINED_RETENTION_MS;
    }
}
