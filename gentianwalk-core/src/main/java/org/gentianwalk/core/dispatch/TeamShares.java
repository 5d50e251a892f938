package org.gentianwalk.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Prompt tokens that were placed for each team of a rank over the last seconds. Older ones fade
 * out, so that a team that was served much before is not held back for it.
 */
final class TeamShares {
    private static final double FADING_NANOS = Duration.ofSeconds(5).toNanos();

    /** Amount below which a team is forgotten, so that it no longer counts as competing. */
    private static final double MIN_TOKENS = 500;

    private final Map<Member, Double> mTokens = new HashMap<>();
    private final Map<Integer, Double> mFairTokens = new HashMap<>();
    private boolean mHasFaded;
    private long mFadedAt;

    private record Member(int rank, String team) {}

    void recordStart(StreamRun run, long nowNanos) {
        fade(nowNanos);
        mTokens.merge(member(run), (double) run.promptTokens(), Double::sum);
    }

    /** Computes the equal shares of the teams that wait or were served. */
    void compareTeams(Iterable<StreamRun> waiting, long nowNanos) {
        fade(nowNanos);
        Set<Member> members = new HashSet<>(mTokens.keySet());
        waiting.forEach(run -> members.add(member(run)));
        Map<Integer, Integer> teams = new HashMap<>();
        members.forEach(member -> teams.merge(member.rank(), 1, Integer::sum));
        mFairTokens.clear();
        mTokens.forEach((member, tokens) -> mFairTokens.merge(member.rank(), tokens, Double::sum));
        mFairTokens.replaceAll((rank, tokens) -> tokens / teams.getOrDefault(rank, 1));
    }

    /**
     * Returns by how much the team of a generation is ahead of an equal share at the last
     * comparison, as a fraction of what it got.
     */
    double excess(StreamRun run) {
        double tokens = mTokens.getOrDefault(member(run), 0.0);
        double fair = mFairTokens.getOrDefault(run.work().priority(), tokens);
        return tokens <= fair ? 0 : 1 - fair / tokens;
    }

    private void fade(long nowNanos) {
        double kept = mHasFaded ? Math.exp((mFadedAt - nowNanos) / FADING_NANOS) : 1;
        mHasFaded = true;
        mFadedAt = nowNanos;
        mTokens.replaceAll((member, tokens) -> tokens * kept);
        mTokens.values().removeIf(tokens -> tokens < MIN_TOKENS);
    }

    private static Member member(StreamRun run) {
        return new Member(run.work().priority(), run.work().team());
    }
}
