package org.gentianwalk.gateway.fleet;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.core.time.Ticker;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.TableChanges;
import org.gentianwalk.gateway.store.TableFeed;
import org.gentianwalk.gateway.store.TableWatcher;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.TableNews;
import org.gentianwalk.proto.TablePull;
import org.gentianwalk.proto.TableRow;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jspecify.annotations.Nullable;

/**
 * Lets a few instances of each region read the shared store for all of them. These readers tell
 * what has changed, and twice a second that nothing has, so that a follower notices within a second
 * that it has to ask the store itself. Confined to the control thread.
 */
final class TableExchange implements TableFeed {
    /** Readers of each region: one more than may fail unnoticed for a moment. */
    private static final int READERS = 2;

    private static final long BEAT_NANOS = Duration.ofMillis(500).toNanos();

    /** Age of the store's last answer up to which a reader speaks for the store. */
    private static final long ANSWER_NANOS = Duration.ofMillis(3_500).toNanos();

    private static final Duration PULL_TIMEOUT = Duration.ofMillis(700);

    /**
     * Longest row that is passed on. A configuration of many routes is read from the store by each
     * instance, since a reader's link could not carry it to all others in time.
     */
    private static final int MAX_ROW_BYTES = 4_096;

    private final MeshNode mMesh;
    private final Member mSelf;
    private final Executor mControl;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Map<String, TableWatcher> mWatchers = new HashMap<>();
    private final Map<String, Told> mTold = new HashMap<>();
    private List<Member> mRegion = List.of();
    private List<Member> mOthers = List.of();
    private boolean mReader = true;

    TableExchange(
            MeshNode mesh, Member self, Executor control, Ticker ticker, RandomGenerator random) {
        mMesh = mesh;
        mSelf = self;
        mControl = control;
        mTicker = ticker;
        mRandom = random;
        mesh.registerHandler(
                MessageType.TABLE_NEWS,
                TableNews.parser(),
                (sender, news, reply) -> control.execute(() -> received(news)));
        mesh.registerHandler(
                MessageType.TABLE_PULL,
                TablePull.parser(),
                (sender, pull, reply) ->
                        control.execute(
                                () -> {
                                    TableNews whole = whole(pull.getTable());
                                    if (whole != null) {
                                        reply.send(MessageType.TABLE_NEWS, whole);
                                    }
                                }));
    }

    /** What this instance has told of a table. */
    private static final class Told {
        long mVersion;
        long mKnown;
        long mAnsweredAt;
        long mSentAt;
        boolean mAvailable;
    }

    void watchers(List<TableWatcher> watchers) {
        watchers.forEach(watcher -> mWatchers.put(watcher.table(), watcher));
    }

    void members(MemberView view) {
        List<Member> region = new ArrayList<>();
        List<Member> others = new ArrayList<>();
        int before = 0;
        for (Member member : view.members()) {
            if (member.id().equals(mSelf.id())) {
                continue;
            }
            others.add(member);
            if (member.location().region().equals(mSelf.location().region())) {
                region.add(member);
                before += member.usable() && member.id().compareTo(mSelf.id()) < 0 ? 1 : 0;
            }
        }
        mRegion = region;
        mOthers = others;
        mReader = before < READERS;
    }

    /** Sends what is due. To be called at least every 50 ms. */
    void advance() {
        long now = mTicker.nanos();
        mTold.forEach(
                (table, told) -> {
                    boolean speaks = mReader && told.mAvailable;
                    if (speaks
                            && now - told.mAnsweredAt < ANSWER_NANOS
                            && now - told.mSentAt >= BEAT_NANOS) {
                        tell(table, told, List.of());
                    }
                });
    }

    @Override
    public void read(String table, long version, List<Row> rows) {
        Told told = mTold.computeIfAbsent(table, name -> new Told());
        told.mKnown = version;
        told.mAnsweredAt = mTicker.nanos();
        told.mAvailable = true;
        if (!mReader) {
            told.mVersion = version;
        } else if (!rows.isEmpty()) {
            tell(table, told, rows);
        }
    }

    @Override
    public void lost(String table) {
        Told told = mTold.get(table);
        if (told != null && told.mAvailable) {
            told.mAvailable = false;
            if (mReader) {
                broadcast(encode(new TableChanges(table, 0, 0, List.of(), false)));
            }
        }
    }

    @Override
    public boolean isReader() {
        return mReader;
    }

    @Override
    public CompletionStage<Result> pull(String table) {
        Result none = new Result.Failed("no other instance has the table", false);
        if (mOthers.isEmpty()) {
            return CompletableFuture.completedFuture(none);
        }
        Member from = mOthers.get(mRandom.nextInt(mOthers.size()));
        return mMesh.request(
                        MeshPeer.of(from),
                        MessageType.TABLE_PULL,
                        TablePull.newBuilder().setTable(table).build(),
                        TableNews.parser(),
                        PULL_TIMEOUT)
                .handle(
                        (news, failure) ->
                                news == null
                                        ? none
                                        : new Result.Rows(
                                                decode(news).rows(), false, news.getToVersion()));
    }

    private void received(TableNews news) {
        TableWatcher watcher = mWatchers.get(news.getTable());
        if (watcher != null) {
            watcher.fed(decode(news));
        }
    }

    private @Nullable TableNews whole(String table) {
        TableWatcher watcher = mWatchers.get(table);
        TableChanges whole = watcher == null ? null : watcher.whole();
        return whole == null ? null : encode(whole);
    }

    private void tell(String table, Told told, List<Row> rows) {
        boolean small = rows.stream().allMatch(row -> row.value().length <= MAX_ROW_BYTES);
        long from = small ? told.mVersion : told.mKnown;
        told.mVersion = told.mKnown;
        told.mSentAt = mTicker.nanos();
        broadcast(
                encode(new TableChanges(table, from, told.mKnown, small ? rows : List.of(), true)));
    }

    private void broadcast(TableNews news) {
        for (Member member : mRegion) {
            mMesh.send(MeshPeer.of(member), MessageType.TABLE_NEWS, news);
        }
    }

    private static TableNews encode(TableChanges changes) {
        TableNews.Builder news =
                TableNews.newBuilder()
                        .setTable(changes.table())
                        .setFromVersion(changes.from())
                        .setToVersion(changes.to())
                        .setAvailable(changes.available());
        for (Row row : changes.rows()) {
            news.addRows(
                    TableRow.newBuilder()
                            .setKey(row.key())
                            .setValue(ByteString.copyFrom(row.value()))
                            .setRemoved(row.removed())
                            .setVersion(row.version()));
        }
        return news.build();
    }

    private static TableChanges decode(TableNews news) {
        List<Row> rows = new ArrayList<>(news.getRowsCount());
        for (TableRow row : news.getRowsList()) {
            rows.add(
                    new Row(
                            row.getKey(),
                            row.getValue().toByteArray(),
                            row.getRemoved(),
                            row.getVersion()));
        }
        return new TableChanges(
                news.getTable(),
                news.getFromVersion(),
                news.getToVersion(),
                rows,
                news.getAvailable());
    }
}
