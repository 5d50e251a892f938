package org.gentianwalk.gateway.fleet;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.gateway.store.RowStore.Result;
import org.gentianwalk.gateway.store.RowStore.Row;
import org.gentianwalk.gateway.store.StoreVersion;
import org.gentianwalk.gateway.store.TableAnnouncer;
import org.gentianwalk.gateway.store.TableChanges;
import org.gentianwalk.gateway.store.TableFeed;
import org.gentianwalk.gateway.store.TableWatcher;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.proto.TableNews;
import org.gentianwalk.proto.TablePull;
import org.gentianwalk.proto.TableRow;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;

/**
 * Lets a few instances of each region, the readers, poll the shared store for all instances of the
 * region. A reader broadcasts what each response of the store contains, also when nothing has
 * changed. A follower thus knows how old the last response is, and polls the store itself before
 * that exceeds the time within which changes must be in force. Confined to the control thread.
 */
final class TableExchange implements TableFeed {
    /** Readers of each region: two, so that one may fail before its failure is detected. */
    private static final int READERS = 2;

    private static final Duration PULL_TIMEOUT = Duration.ofMillis(700);

    /** Instances that are asked for a table at the same time while none is known to be alive. */
    private static final int MAX_ASKED = 3;

    private static final Result NO_TABLE =
            new Result.Failed("no other instance has the table", false);

    private final MeshNode mMesh;
    private final Member mSelf;
    private final Executor mControl;
    private final Random mRandom;
    private final Map<String, TableWatcher> mWatchers = new HashMap<>();
    private final Map<String, TableState> mStates = new HashMap<>();
    private List<Member> mRegionMembers = List.of();
    private List<Member> mOtherMembers = List.of();
    private boolean mReader = true;

    /** The instances that the store lists, which may have ended; open until they are read. */
    private final CompletableFuture<List<MeshPeer>> mListed = new CompletableFuture<>();

    TableExchange(MeshNode mesh, Member self, Executor control, Random random) {
        mMesh = mesh;
        mSelf = self;
        mControl = control;
        mRandom = random;
        mesh.registerHandler(
                MessageType.TABLE_NEWS,
                TableNews.parser(),
                (sender, news, reply) -> control.execute(() -> receive(news)));
        mesh.registerHandler(
                MessageType.TABLE_PULL,
                TablePull.parser(),
                (sender, pull, reply) ->
                        control.execute(
                                () ->
                                        reply.send(
                                                MessageType.TABLE_NEWS,
                                                snapshot(pull.getTable()))));
    }

    /** State of one table. */
    private static final class TableState {
        final TableAnnouncer mAnnouncer;
        boolean mReachable;

        TableState(String table) {
            mAnnouncer = new TableAnnouncer(table);
        }
    }

    void setWatchers(List<TableWatcher> watchers) {
        watchers.forEach(watcher -> mWatchers.put(watcher.table(), watcher));
    }

    void updateMembers(MemberView view) {
        List<Member> region = new ArrayList<>();
        List<Member> others = new ArrayList<>();
        int precedingMembers = 0;
        for (Member member : view.members()) {
            if (member.id().equals(mSelf.id())) {
                continue;
            }
            others.add(member);
            if (member.location().region().equals(mSelf.location().region())) {
                region.add(member);
                precedingMembers +=
                        member.isUsable() && member.id().compareTo(mSelf.id()) < 0 ? 1 : 0;
            }
        }
        mRegionMembers = region;
        mOtherMembers = others;
        mReader = precedingMembers < READERS;
    }

    @Override
    public void reportRead(String table, StoreVersion from, StoreVersion to, List<Row> rows) {
        TableState state = mStates.computeIfAbsent(table, TableState::new);
        state.mAnnouncer.recordRead(from, to);
        state.mReachable = true;
        if (!mReader) {
            state.mAnnouncer.skip();
        } else {
            broadcast(encode(state.mAnnouncer.announce(rows)));
        }
    }

    @Override
    public void reportUnreachable(String table) {
        TableState state = mStates.get(table);
        if (state != null && state.mReachable) {
            state.mReachable = false;
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
        if (!mOtherMembers.isEmpty()) {
            Member from = mOtherMembers.get(mRandom.nextInt(mOtherMembers.size()));
            return pull(MeshPeer.of(from), table);
        }
        // Members are known only some time after the start.
        return mListed.copy()
                .completeOnTimeout(List.of(), PULL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenComposeAsync(listed -> pullAny(listed, table), mControl);
    }

    /** Sets the instances that the store lists, when they are first read. */
    void setListed(List<MeshPeer> listed) {
        mListed.complete(List.copyOf(listed));
    }

    /** Returns the first table of some of the instances, or a failure if none has it. */
    private CompletionStage<Result> pullAny(List<MeshPeer> listed, String table) {
        List<MeshPeer> peers = new ArrayList<>(listed);
        Collections.shuffle(peers, mRandom);
        List<MeshPeer> asked = peers.subList(0, Math.min(MAX_ASKED, peers.size()));
        CompletableFuture<Result> first = new CompletableFuture<>();
        CompletableFuture<?>[] calls = new CompletableFuture<?>[asked.size()];
        for (int i = 0; i < calls.length; i++) {
            calls[i] =
                    pull(asked.get(i), table)
                            .thenAccept(
                                    result -> {
                                        if (result instanceof Result.Rows) {
                                            first.complete(result);
                                        }
                                    })
                            .toCompletableFuture();
        }
        CompletableFuture.allOf(calls).whenComplete((done, failure) -> first.complete(NO_TABLE));
        return first;
    }

    private CompletionStage<Result> pull(MeshPeer from, String table) {
        return mMesh.request(
                        from,
                        MessageType.TABLE_PULL,
                        TablePull.newBuilder().setTable(table).build(),
                        TableNews.parser(),
                        PULL_TIMEOUT)
                .handle(
                        (news, failure) ->
                                news == null || news.getToVersion() == 0
                                        ? NO_TABLE
                                        : new Result.Rows(
                                                decode(news).rows(),
                                                false,
                                                new StoreVersion(
                                                        news.getEra(), news.getToVersion())));
    }

    private void receive(TableNews news) {
        TableWatcher watcher = mWatchers.get(news.getTable());
        if (watcher != null) {
            watcher.applyPeerChanges(decode(news));
        }
    }

    /** Returns the local table, or one without a version when there is none yet. */
    private TableNews snapshot(String table) {
        TableWatcher watcher = mWatchers.get(table);
        TableChanges snapshot = watcher == null ? null : watcher.snapshot();
        return encode(
                snapshot == null ? new TableChanges(table, 0, 0, List.of(), false) : snapshot);
    }

    private void broadcast(TableNews news) {
        for (Member member : mRegionMembers) {
            mMesh.send(MeshPeer.of(member), MessageType.TABLE_NEWS, news);
        }
    }

    private static TableNews encode(TableChanges changes) {
        TableNews.Builder news =
                TableNews.newBuilder()
                        .setTable(changes.table())
                        .setEra(changes.era())
                        .setFromVersion(changes.from())
                        .setToVersion(changes.to())
                        .setAvailable(changes.available());
        for (Row row : changes.rows()) {
            news.addRows(
                    TableRow.newBuilder()
                            .setKey(row.key())
                            .setValue(ByteString.copyFrom(row.value()))
                            .setRemoved(row.removed())
                            .setVersion(row.version())
                            .setEra(row.written().era())
                            .setCarried(row.carried()));
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
                            new StoreVersion(row.getEra(), row.getVersion()),
                            row.getCarried()));
        }
        return new TableChanges(
                news.getTable(),
                news.getEra(),
                news.getFromVersion(),
                news.getToVersion(),
                rows,
                news.getAvailable());
    }
}
