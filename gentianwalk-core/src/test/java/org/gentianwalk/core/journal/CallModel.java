package org.gentianwalk.core.journal;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.gentianwalk.core.error.Outcome;
import org.gentianwalk.core.journal.CallService.Answer;
import org.gentianwalk.core.journal.CallService.CallOutcome;
import org.gentianwalk.core.journal.CallService.SendResult;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.platform.ReadResult;
import org.gentianwalk.core.platform.Row;
import org.gentianwalk.core.platform.WriteResult;
import org.gentianwalk.proto.CallAnswer;

/**
 * Explores all interleavings of one call at two instances with one store and one service, breadth
 * first. The caller sends the call to both, and once more after a failure. An action takes effect
 * and returns in two separate transitions. Steps take no time; pauses and timers move the clock.
 * Each fault (lost answer, late write, refused connection, pause, crash) uses up one unit of the
 * budget.
 */
final class CallModel {
    private static final RequestKey KEY = new RequestKey("team", "key");
    private static final ByteString DIGEST = ByteString.copyFromUtf8("digest");
    private static final long PAUSE = Duration.ofSeconds(11).toNanos();

    /** Delay of polls and backoffs, long so that few of them fit into the wait for an owner. */
    private static final long LONG_WAIT = Duration.ofSeconds(6).toNanos();

    private static final int ATTEMPTS = 3;
    private static final SendResult ANSWERED =
            new SendResult.Answered(new Answer(200, "text/plain", new byte[0]));

    /** A write that takes effect after its answer was lost. */
    record Late(long expected, ByteString value) {}

    /** One attempt, its action, and the result of that action once it took effect. */
    record Actor(int id, CallStep step, CallAction action, CallEvent effect) {}

    /** A state of the whole system; version 0 means that there is no row. */
    record World(
            long now,
            int faults,
            int attempts,
            boolean failed,
            Row row,
            Set<Late> late,
            List<Actor> actors,
            List<Integer> executed,
            Set<Integer> notRun) {}

    /** A mutable copy of a world, in which one part is changed. */
    private static final class Draft {
        long mNow;
        int mFaults;
        int mAttempts;
        boolean mFailed;
        Row mRow;
        Set<Late> mLate;
        List<Actor> mActors;
        List<Integer> mExecuted;
        Set<Integer> mNotRun;

        Draft(World world) {
            mNow = world.now();
            mFaults = world.faults();
            mAttempts = world.attempts();
            mFailed = world.failed();
            mRow = world.row();
            mLate = world.late();
            mActors = world.actors();
            mExecuted = world.executed();
            mNotRun = world.notRun();
        }

        World world() {
            return new World(
                    mNow, mFaults, mAttempts, mFailed, mRow, mLate, mActors, mExecuted, mNotRun);
        }
    }

    /** Result of the search; the path leads to the first violation. */
    record Result(int states, int violations, boolean complete, List<String> path) {}

    /** One possible effect of an action, with the time until its result arrives. */
    private record Choice(String label, World world, CallEvent event, long nanos) {
        Choice(String label, World world, CallEvent event) {
            this(label, world, event, 0);
        }
    }

    private record Node(World world, Node parent, String label) {}

    private final boolean mLookup;
    private final UnaryOperator<CallEvent> mEventOperator;

    /** Rows by content: equal worlds share the same arrays, so they compare as equal. */
    private final Map<List<Object>, Row> mRows = new HashMap<>();

    /**
     * The operator changes events before the state machine gets them, to break a rule on purpose.
     */
    CallModel(boolean lookup, UnaryOperator<CallEvent> eventOperator) {
        mLookup = lookup;
        mEventOperator = eventOperator;
    }

    Result search(int faults, int depth) {
        List<Actor> actors = List.of(submit(0, 0), submit(1, 0));
        World start =
                new World(
                        0,
                        faults,
                        2,
                        false,
                        row(0, ByteString.EMPTY),
                        Set.of(),
                        actors,
                        List.of(),
                        Set.of());
        Set<World> known = new HashSet<>(Set.of(start));
        List<Node> frontier = List.of(new Node(start, null, "start"));
        int violations = 0;
        List<String> path = List.of();
        for (int level = 0; level < depth && !frontier.isEmpty(); level++) {
            List<Node> next = new ArrayList<>();
            for (Node node : frontier) {
                for (Node child : successors(node)) {
                    if (!known.add(child.world())) {
                        continue;
                    }
                    if (violatesRules(child.world())) {
                        violations++;
                        path = path.isEmpty() ? path(child) : path;
                    } else {
                        next.add(child);
                    }
                }
            }
            frontier = next;
        }
        return new Result(known.size(), violations, frontier.isEmpty(), path);
    }

    private static boolean violatesRules(World world) {
        return world.executed().size() > 1
                || world.executed().stream().anyMatch(world.notRun()::contains);
    }

    private List<Node> successors(Node node) {
        World world = node.world();
        List<Node> result = new ArrayList<>();
        for (Late late : world.late()) {
            WriteResult ignored = effect(world, late.expected(), late.value());
            Set<Late> rest = new HashSet<>(world.late());
            rest.remove(late);
            add(result, node, "late write", with(written(world, ignored, late.value()), rest));
        }
        if (world.failed() && world.attempts() < ATTEMPTS) {
            List<Actor> actors = new ArrayList<>(world.actors());
            actors.add(submit(world.attempts(), world.now()));
            add(result, node, "caller retries", withActors(world, actors, world.attempts() + 1));
        }
        for (Actor actor : world.actors()) {
            if (world.faults() > 0) {
                List<Actor> rest = new ArrayList<>(world.actors());
                rest.remove(actor);
                World crashed = failed(withActors(spendFault(world), rest, world.attempts()));
                add(result, node, actor.id() + " crashes", crashed);
            }
            if (actor.effect() == null) {
                takeEffect(result, node, actor);
            } else {
                add(result, node, actor.id() + " gets its result", deliver(world, actor, 0));
                add(result, node, actor.id() + " resumes", deliver(world, actor, PAUSE));
            }
        }
        return result;
    }

    /**
     * Lets the action take effect. Its result arrives at once, since steps of other actors in
     * between would change neither; a late result costs one fault.
     */
    private void takeEffect(List<Node> result, Node node, Actor actor) {
        String name = actor.id() + " " + actor.action().getClass().getSimpleName() + " ";
        for (Choice choice : choices(node.world(), actor)) {
            World held = with(choice.world(), actor, choice.event());
            Actor waiting = held.actors().get(node.world().actors().indexOf(actor));
            add(result, node, name + choice.label(), deliver(held, waiting, choice.nanos()));
            add(result, node, name + choice.label() + ", delayed", spendFault(held));
        }
    }

    private List<Choice> choices(World world, Actor actor) {
        return switch (actor.action()) {
            case CallAction.WriteRow write -> writes(world, write);
            case CallAction.SendCall send -> sends(world, actor, send);
            case CallAction.ReadRow read -> {
                ReadResult found =
                        world.row().version() == 0
                                ? new ReadResult.Missing()
                                : new ReadResult.Found(world.row());
                CallEvent lost = new CallEvent.ReadReturned(new ReadResult.Unavailable(""));
                yield List.of(
                        new Choice("ok", world, new CallEvent.ReadReturned(found)),
                        new Choice("lost", spendFault(world), lost));
            }
            case CallAction.LookUp lookUp -> {
                SendResult answer = new SendResult.Unknown("");
                if (mLookup) {
                    boolean ran = !world.executed().isEmpty();
                    answer = ran ? ANSWERED : new SendResult.NeverSent("");
                }
                yield List.of(new Choice("ok", world, new CallEvent.LookupReturned(answer)));
            }
            case CallAction.AskOwner ask -> asks(world, ask);
            case CallAction.Wait wait -> {
                long due = wait.untilNanos() - world.now();
                long nanos = due >= CallRules.POLL_INTERVAL_NANOS ? LONG_WAIT : Math.max(0, due);
                yield List.of(new Choice("over", world, new CallEvent.TimerFired(), nanos));
            }
            case CallAction.Reply reply ->
                    List.of(
                            new Choice(
                                    reply.toString(),
                                    replied(world, actor, reply),
                                    new CallEvent.Replied()));
            case CallAction.ReplyStored reply ->
                    List.of(new Choice("stored", world, new CallEvent.Replied()));
            case CallAction.Finish finish -> List.of();
        };
    }

    private List<Choice> writes(World world, CallAction.WriteRow write) {
        ByteString value = write.value().toByteString();
        WriteResult done = effect(world, write.expected(), value);
        World after = written(world, done, value);
        CallEvent lost = new CallEvent.WriteReturned(new WriteResult.Unknown(""));
        CallEvent refused = new CallEvent.WriteReturned(new WriteResult.NotSent(""));
        Set<Late> late = new HashSet<>(world.late());
        late.add(new Late(write.expected(), value));
        return List.of(
                new Choice("ok", after, new CallEvent.WriteReturned(done)),
                new Choice("answer lost", spendFault(after), lost),
                new Choice("late", with(spendFault(world), late), lost),
                new Choice("refused", spendFault(world), refused));
    }

    /** After the send window, only an instance that paused after the check still sends. */
    private List<Choice> sends(World world, Actor actor, CallAction.SendCall send) {
        CallEvent skipped = new CallEvent.CallReturned(new SendResult.NeverSent(""));
        CallEvent lost = new CallEvent.CallReturned(new SendResult.Unknown(""));
        boolean late = world.now() > send.notAfterNanos();
        World ran = executed(late ? spendFault(world) : world, actor.id());
        return List.of(
                new Choice("ok", ran, new CallEvent.CallReturned(ANSWERED)),
                new Choice("answer lost", spendFault(ran), lost),
                new Choice("lost", spendFault(world), lost),
                new Choice("not sent", late ? world : spendFault(world), skipped));
    }

    private List<Choice> asks(World world, CallAction.AskOwner ask) {
        CallEvent unreachable = new CallEvent.OwnerAnswered(CallAnswer.NOT_KNOWN);
        for (Actor peer : world.actors()) {
            if (nonce(peer.id()).equals(ask.nonce())) {
                CallEvent answer = new CallEvent.OwnerAnswered(peer.step().answer());
                return List.of(
                        new Choice("ok", world, answer),
                        new Choice("unreachable", spendFault(world), unreachable));
            }
        }
        return List.of(new Choice("unreachable", world, unreachable));
    }

    private static World replied(World world, Actor actor, CallAction.Reply reply) {
        if (!(reply.outcome() instanceof CallOutcome.Failed failed)) {
            return world;
        }
        return failed.error().outcome() == Outcome.NOT_RUN
                ? notRun(failed(world), actor.id())
                : failed(world);
    }

    private World deliver(World world, Actor actor, long pause) {
        long now = world.now() + pause;
        CallStep.Transition next = actor.step().on(mEventOperator.apply(actor.effect()), now);
        Actor moved = new Actor(actor.id(), next.next(), next.action(), null);
        return edit(replace(world, actor, moved), draft -> draft.mNow = now);
    }

    private Actor submit(int id, long now) {
        CallContext context = new CallContext(KEY, DIGEST, "i" + id, 1, nonce(id), 0);
        CallStep.Transition first = new StartStep(context).on(new CallEvent.Submitted(), now);
        return new Actor(id, first.next(), first.action(), null);
    }

    private static ByteString nonce(int id) {
        return ByteString.copyFromUtf8("nonce" + id);
    }

    private WriteResult effect(World world, long expected, ByteString value) {
        return world.row().version() == expected
                ? new WriteResult.Written(expected + 1)
                : new WriteResult.Conflict(world.row());
    }

    private World written(World world, WriteResult result, ByteString value) {
        return result instanceof WriteResult.Written written
                ? edit(world, draft -> draft.mRow = row(written.version(), value))
                : world;
    }

    private Row row(long version, ByteString value) {
        return mRows.computeIfAbsent(
                List.of(version, value), key -> new Row("row", version, value.toByteArray()));
    }

    private static World with(World world, Set<Late> late) {
        return edit(world, draft -> draft.mLate = late);
    }

    private static World with(World world, Actor actor, CallEvent effect) {
        Actor moved = new Actor(actor.id(), actor.step(), actor.action(), effect);
        return replace(world, actor, moved);
    }

    private static World replace(World world, Actor actor, Actor moved) {
        List<Actor> actors = new ArrayList<>(world.actors());
        actors.set(actors.indexOf(actor), moved);
        return edit(world, draft -> draft.mActors = actors);
    }

    private static World withActors(World world, List<Actor> actors, int attempts) {
        World changed = edit(world, draft -> draft.mActors = actors);
        return edit(changed, draft -> draft.mAttempts = attempts);
    }

    private static World spendFault(World world) {
        return edit(world, draft -> draft.mFaults--);
    }

    private static World failed(World world) {
        return edit(world, draft -> draft.mFailed = true);
    }

    private static World executed(World world, int id) {
        List<Integer> executed = new ArrayList<>(world.executed());
        executed.add(id);
        return edit(world, draft -> draft.mExecuted = executed);
    }

    private static World notRun(World world, int id) {
        Set<Integer> notRun = new HashSet<>(world.notRun());
        notRun.add(id);
        return edit(world, draft -> draft.mNotRun = notRun);
    }

    private static World edit(World world, Consumer<Draft> change) {
        Draft draft = new Draft(world);
        change.accept(draft);
        return draft.world();
    }

    private static void add(List<Node> result, Node parent, String label, World world) {
        if (world.faults() >= 0) {
            result.add(new Node(world, parent, label));
        }
    }

    private static List<String> path(Node node) {
        List<String> path = new ArrayList<>();
        for (Node step = node; step != null; step = step.parent()) {
            path.addFirst(step.label());
        }
        return path;
    }
}
