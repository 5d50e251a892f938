package org.gentianwalk.server.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.replica.OwnerSession;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.ReplicaAckEntry;
import org.gentianwalk.proto.ReplicaBatch;
import org.gentianwalk.proto.ReplicaBatchAck;
import org.gentianwalk.proto.ReplicaDrop;

/**
 * Queue of the items for one replica holder. While a frame is in flight, further items wait and
 * share the next frame (group commit); an idle link sends at once. Confined to the event loop of
 * the service.
 */
final class HolderLink {
    /** A frame is closed above this size, well below the 4 MiB that the mesh accepts. */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    private final Map<MeshSession, OwnerSession.Item> mWaiting = new LinkedHashMap<>();
    private final List<ReplicaDrop> mDrops = new ArrayList<>();
    private Member mHolder;
    private boolean mBusy;

    HolderLink(Member holder) {
        mHolder = holder;
    }

    Member holder() {
        return mHolder;
    }

    void add(MeshSession session, OwnerSession.Item item) {
        mHolder = item.holder();
        mWaiting.put(session, item);
    }

    void remove(MeshSession session) {
        mWaiting.remove(session);
    }

    void add(ReplicaDrop drop) {
        mDrops.add(drop);
    }

    boolean isReady() {
        return !mBusy && !(mWaiting.isEmpty() && mDrops.isEmpty());
    }

    boolean isIdle() {
        return !mBusy && mWaiting.isEmpty() && mDrops.isEmpty();
    }

    /**
     * Removes the waiting items up to the size of a frame; the link is busy until {@link
     * #frameDone}.
     */
    Frame takeFrame() {
        mBusy = true;
        ReplicaBatch.Builder batch = ReplicaBatch.newBuilder().addAllDrops(mDrops);
        mDrops.clear();
        Map<MeshSession, Long> items = new HashMap<>();
        int bytes = 0;
        var waiting = mWaiting.entrySet().iterator();
        while (waiting.hasNext() && bytes < MAX_BATCH_BYTES) {
            Map.Entry<MeshSession, OwnerSession.Item> next = waiting.next();
            OwnerSession.Item item = next.getValue();
            int size =
                    (item.open() == null ? 0 : item.open().getSerializedSize())
                            + (item.append() == null ? 0 : item.append().getSerializedSize());
            if (bytes > 0 && bytes + size > MAX_BATCH_BYTES) {
                break;
            }
            bytes += size;
            waiting.remove();
            if (item.open() != null) {
                batch.addOpens(item.open());
            }
            if (item.append() != null) {
                batch.addAppends(item.append());
            }
            items.put(next.getKey(), item.id());
        }
        return new Frame(batch.build(), items);
    }

    void frameDone() {
        mBusy = false;
    }

    /** A batch and the items in it. */
    record Frame(ReplicaBatch batch, Map<MeshSession, Long> items) {
        static Map<GenerationKey, List<ReplicaAckEntry>> byKey(ReplicaBatchAck ack) {
            Map<GenerationKey, List<ReplicaAckEntry>> entries = new HashMap<>();
            for (ReplicaAckEntry entry : ack.getEntriesList()) {
                entries.computeIfAbsent(entry.getKey(), key -> new ArrayList<>()).add(entry);
            }
            return entries;
        }
    }
}
