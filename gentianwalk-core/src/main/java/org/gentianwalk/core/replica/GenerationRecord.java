package org.gentianwalk.core.replica;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.proto.GenerationHeader;
import org.gentianwalk.proto.GenerationKey;
import org.gentianwalk.proto.LineageEntry;
import org.gentianwalk.proto.ReplicaOpen;
import org.gentianwalk.proto.TokenRun;

/**
 * Header, lineage and tokens of one generation, at its owner or a holder. Confined to one thread.
 */
final class GenerationRecord {
    /** Heap bytes of a token besides its text: a record, a string, its array and a reference. */
    private static final int TOKEN_BYTES = 80;

    /** Heap bytes of a record besides its variable parts. */
    private static final int RECORD_BYTES = 600;

    private final GenerationHeader mHeader;
    private final List<LineageEntry> mLineage;
    private final List<GenerationState.Token> mTokens = new ArrayList<>();
    private long mTextBytes;
    private String mFinishReason = "";

    GenerationRecord(GenerationHeader header, List<LineageEntry> lineage) {
        mHeader = header;
        mLineage = new ArrayList<>(lineage);
    }

    static GenerationRecord of(ReplicaOpen open) {
        GenerationRecord record = new GenerationRecord(open.getHeader(), open.getLineageList());
        record.append(open.getTokens());
        return record;
    }

    static GenerationRecord of(GenerationState state, String self, long incarnation) {
        List<LineageEntry> lineage = new ArrayList<>();
        for (GenerationState.LineageEntry entry : state.lineage()) {
            lineage.add(
                    LineageEntry.newBuilder()
                            .setAttempt(entry.attempt())
                            .setStart(entry.start())
                            .setOwner(entry.owner())
                            .setOwnerIncarnation(entry.owner().equals(self) ? incarnation : 0)
                            .build());
        }
        GenerationHeader header =
                GenerationHeader.newBuilder()
                        .setKey(keyOf(state.key()))
                        .setRequestDigest(ByteString.copyFrom(state.requestDigest()))
                        .setRequest(ByteString.copyFrom(state.request()))
                        .setModel(state.model())
                        .setKind(state.kind())
                        .setUrgent(state.rank() == Rank.URGENT)
                        .setSeed(state.seed())
                        .setDeadlineEpochMs(state.deadlineEpochMillis())
                        .build();
        GenerationRecord record = new GenerationRecord(header, lineage);
        state.tokens().forEach(record::add);
        if (state.finishReason() != null) {
            record.finish(state.finishReason());
        }
        return record;
    }

    static GenerationKey keyOf(RequestKey key) {
        return GenerationKey.newBuilder().setTeam(key.team()).setKey(key.key()).build();
    }

    GenerationKey key() {
        return mHeader.getKey();
    }

    int size() {
        return mTokens.size();
    }

    int attempt() {
        return mLineage.getLast().getAttempt();
    }

    List<LineageEntry> lineage() {
        return mLineage;
    }

    String finishReason() {
        return mFinishReason;
    }

    boolean isFinished() {
        return !mFinishReason.isEmpty();
    }

    void finish(String reason) {
        mFinishReason = reason;
    }

    void add(GenerationState.Token token) {
        mTokens.add(token);
        mTextBytes += token.text().length();
    }

    /**
     * Appends the tokens that the record does not have yet; the run must start at or before its
     * end.
     */
    void append(TokenRun run) {
        int skip = mTokens.size() - run.getPosition();
        for (int i = Math.max(skip, 0); i < run.getTokenIdsCount(); i++) {
            add(new GenerationState.Token(run.getTokenIds(i), run.getTexts(i)));
        }
    }

    void truncate(int size) {
        while (mTokens.size() > size) {
            mTextBytes -= mTokens.removeLast().text().length();
        }
    }

    void addAttempt(LineageEntry entry) {
        mLineage.add(entry);
    }

    long bytes() {
        return RECORD_BYTES
                + mHeader.getRequest().size()
                + 64L * mLineage.size()
                + TOKEN_BYTES * (long) mTokens.size()
                + mTextBytes;
    }

    static long bytesOf(TokenRun run) {
        long bytes = TOKEN_BYTES * (long) run.getTokenIdsCount();
        for (String text : run.getTextsList()) {
            bytes += text.length();
        }
        return bytes;
    }

    TokenRun tokensFrom(int from) {
        TokenRun.Builder run = TokenRun.newBuilder().setPosition(from);
        for (GenerationState.Token token : mTokens.subList(from, mTokens.size())) {
            run.addTokenIds(token.id()).addTexts(token.text());
        }
        return run.build();
    }

    /**
     * Returns the record with the tokens from a position on; the holder must have the earlier ones.
     */
    ReplicaOpen toOpen(int from) {
        return ReplicaOpen.newBuilder()
                .setHeader(mHeader)
                .addAllLineage(mLineage)
                .setTokens(tokensFrom(from))
                .build();
    }

    /** Returns the lineage without tokens, for an instance that only needs to find the owner. */
    ReplicaOpen toLineageOnly() {
        return ReplicaOpen.newBuilder().addAllLineage(mLineage).build();
    }

    GenerationState toState() {
        List<GenerationState.LineageEntry> lineage = new ArrayList<>();
        for (LineageEntry entry : mLineage) {
            lineage.add(
                    new GenerationState.LineageEntry(
                            entry.getAttempt(), entry.getStart(), entry.getOwner()));
        }
        return new GenerationState(
                new RequestKey(mHeader.getKey().getTeam(), mHeader.getKey().getKey()),
                mHeader.getRequestDigest().toByteArray(),
                mHeader.getRequest().toByteArray(),
                mHeader.getModel(),
                mHeader.getKind(),
                mHeader.getUrgent() ? Rank.URGENT : Rank.STANDARD,
                mHeader.getSeed(),
                mHeader.getDeadlineEpochMs(),
                lineage,
                mTokens,
                isFinished() ? mFinishReason : null);
    }
}
