package org.gentianwalk.core.policy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Start-time fair queueing between teams. A team's virtual time advances by its charged work
 * divided by its weight; the backlogged team with the lowest virtual time is served next. An idle
 * team keeps a bounded credit.
 *
 * <p>Example: {@code queue.add("a", 1, work, 300); queue.nextItem(t -> true); queue.started("a", 1,
 * 300);}
 *
 * @param <T> type of the queued work
 */
public final class FairQueue<T> {
    /**
     * Maximum number of teams examined to find one that passes the filter, to bound the cost of a
     * decision.
     */
    private static final int MAX_EXAMINED = 256;

    /**
     * Tokens for each unit of weight by which an idle team may lag behind and still catch up.
     * Queues hold two seconds of work, so a team with few requests often has none queued when the
     * next item is chosen; without credit, permanently backlogged teams took its share.
     */
    private static final double MAX_CREDIT = 4_000;

    private final Map<String, Team<T>> mTeams = new HashMap<>();
    private final TreeSet<Team<T>> mBacklogged =
            new TreeSet<>(
                    Comparator.comparingDouble((Team<T> team) -> team.mVirtualTime)
                            .thenComparing(team -> team.mName));
    private double mVirtualTime;
    private double mQueuedTokens;
    private int mSize;

    /**
     * Appends work.
     *
     * @param team its team
     * @param weight the team's weight
     * @param item the work
     * @param cost its estimated tokens
     */
    public void add(String team, double weight, T item, double cost) {
        Team<T> state = mTeams.computeIfAbsent(team, this::newTeam);
        state.mWeight = weight;
        if (state.mItems.isEmpty()) {
            state.mVirtualTime = Math.max(state.mVirtualTime, mVirtualTime - MAX_CREDIT);
            mBacklogged.add(state);
        }
        state.mItems.addLast(new Item<>(item, cost));
        state.mQueuedTokens += cost;
        mQueuedTokens += cost;
        mSize++;
    }

    /**
     * Returns the work to serve next without removing it.
     *
     * @param filter whether a team's first item may be served
     * @return the first item of the first team that passes, or null
     */
    public @Nullable T nextItem(Predicate<T> filter) {
        return nextItem(filter, item -> false);
    }

    /**
     * Returns the work to serve next without removing it.
     *
     * @param filter whether a team's first item may be served
     * @param held whether an item has to wait without holding up the team's other items
     * @return the first item of the first team that passes, or null
     */
    public @Nullable T nextItem(Predicate<T> filter, Predicate<T> held) {
        int examined = 0;
        for (Team<T> team : mBacklogged) {
            T first = firstItem(team, held);
            if (first != null && filter.test(first)) {
                return first;
            }
            if (++examined == MAX_EXAMINED) {
                return null;
            }
        }
        return null;
    }

    /**
     * Removes work, wherever it is in the team's queue.
     *
     * @param team its team
     * @param item the work
     * @return whether it was queued
     */
    public boolean remove(String team, T item) {
        Team<T> state = mTeams.get(team);
        if (state == null) {
            return false;
        }
        for (var items = state.mItems.iterator(); items.hasNext(); ) {
            Item<T> entry = items.next();
            if (entry.item().equals(item)) {
                items.remove();
                updateAfterRemoval(state, entry);
                return true;
            }
        }
        return false;
    }

    /**
     * Charges work that starts and advances the queue's virtual time.
     *
     * @param team the team
     * @param weight its weight
     * @param tokens estimated tokens
     */
    public void charge(String team, double weight, double tokens) {
        Team<T> state = mTeams.computeIfAbsent(team, this::newTeam);
        mVirtualTime = Math.max(mVirtualTime, state.mVirtualTime);
        adjustCharge(team, weight, tokens);
    }

    /**
     * Corrects the charge of started work.
     *
     * @param team the team
     * @param weight its weight
     * @param tokens tokens to add; negative after an overestimate
     */
    public void adjustCharge(String team, double weight, double tokens) {
        Team<T> state = mTeams.computeIfAbsent(team, this::newTeam);
        boolean backlogged = mBacklogged.remove(state);
        state.mVirtualTime = Math.max(0, state.mVirtualTime + tokens / weight);
        if (backlogged) {
            mBacklogged.add(state);
        }
    }

    /**
     * Returns the newest work of the team with the most queued work relative to its weight. A
     * team's only item is dropped only when no team has more than one; the team with the highest
     * virtual time is then chosen.
     *
     * @return the work to drop first, or null when the queue is empty
     */
    public @Nullable T dropCandidate() {
        Team<T> longest = null;
        for (Team<T> team : mBacklogged) {
            if (longest == null || team.isLongerThan(longest)) {
                longest = team;
            }
        }
        return longest == null ? null : longest.mItems.getLast().item();
    }

    /**
     * Removes idle teams whose credit is at its bound, so that memory is proportional to the number
     * of active teams.
     */
    public void removeIdleTeams() {
        mTeams.values()
                .removeIf(
                        team ->
                                team.mItems.isEmpty()
                                        && (team.mVirtualTime <= mVirtualTime - MAX_CREDIT));
    }

    /**
     * Returns the first item of every backlogged team.
     *
     * @return the oldest item of each team
     */
    public List<T> heads() {
        List<T> heads = new ArrayList<>(mBacklogged.size());
        for (Team<T> team : mBacklogged) {
            heads.add(team.mItems.getFirst().item());
        }
        return heads;
    }

    /**
     * Returns the queued work of one team.
     *
     * @param team the team
     * @return tokens
     */
    public double queuedTokens(String team) {
        Team<T> state = mTeams.get(team);
        return state == null ? 0 : state.mQueuedTokens;
    }

    /**
     * Returns the queued work.
     *
     * @return tokens
     */
    public double queuedTokens() {
        return mQueuedTokens;
    }

    /**
     * Returns the number of queued items.
     *
     * @return items
     */
    public int size() {
        return mSize;
    }

    /**
     * Returns the number of teams with queued work.
     *
     * @return teams
     */
    public int backloggedTeams() {
        return mBacklogged.size();
    }

    private static <T> @Nullable T firstItem(Team<T> team, Predicate<T> held) {
        for (Item<T> entry : team.mItems) {
            if (!held.test(entry.item())) {
                return entry.item();
            }
        }
        return null;
    }

    private Team<T> newTeam(String name) {
        Team<T> team = new Team<>(name);
        team.mVirtualTime = mVirtualTime;
        return team;
    }

    private void updateAfterRemoval(Team<T> state, Item<T> entry) {
        state.mQueuedTokens -= entry.cost();
        mQueuedTokens -= entry.cost();
        mSize--;
        if (mSize == 0) {
            mQueuedTokens = 0;
        }
        if (state.mItems.isEmpty()) {
            state.mQueuedTokens = 0;
            mBacklogged.remove(state);
        }
    }

    private record Item<T>(T item, double cost) {}

    /** Queue and virtual time of one team. */
    private static final class Team<T> {
        final String mName;
        final Deque<Item<T>> mItems = new ArrayDeque<>();
        double mWeight = 1;
        double mVirtualTime;
        double mQueuedTokens;

        Team(String name) {
            mName = name;
        }

        boolean isLongerThan(Team<T> other) {
            boolean several = mItems.size() > 1;
            if (several != other.mItems.size() > 1) {
                return several;
            }
            return several
                    ? mQueuedTokens / mWeight > other.mQueuedTokens / other.mWeight
                    : mVirtualTime > other.mVirtualTime;
        }
    }
}
