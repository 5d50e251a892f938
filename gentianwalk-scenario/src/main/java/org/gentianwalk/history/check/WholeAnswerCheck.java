package org.gentianwalk.history.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.HistoryEvent.Completed;
import org.gentianwalk.history.HistoryEvent.Invoked;
import org.gentianwalk.history.HistoryEvent.TokenDelivered;

/**
 * P1 and P3: each caller receives every position of its own answer exactly once and in order, over
 * all its connections, and a completed answer is whole.
 *
 * <p>Options: the oracle that knows the answers. Example: {@code new WholeAnswerCheck(oracle)}.
 */
public final class WholeAnswerCheck extends HistoryCheck {
    private final AnswerOracle mOracle;

    /**
     * Creates the checker.
     *
     * @param oracle knows the answers
     */
    public WholeAnswerCheck(AnswerOracle oracle) {
        super("P1");
        mOracle = oracle;
    }

    @Override
    protected void inspect(History history) {
        Map<Long, Invoked> invocations = new HashMap<>();
        Map<Reader, List<Integer>> answers = new HashMap<>();
        Set<Reader> damaged = new HashSet<>();
        for (HistoryEvent event : history.events()) {
            switch (event) {
                case Invoked invoked -> invocations.put(invoked.invocation(), invoked);
                case TokenDelivered token -> deliver(token, invocations, answers, damaged);
                case Completed end -> complete(end, invocations, answers, damaged);
                default -> {}
            }
        }
    }

    private void deliver(
            TokenDelivered token,
            Map<Long, Invoked> invocations,
            Map<Reader, List<Integer>> answers,
            Set<Reader> damaged) {
        Invoked invoked = invocations.get(token.invocation());
        if (invoked == null || !invoked.key().equals(token.key())) {
            report(token.timeNanos(), "token of %s on a foreign connection", token.key());
            return;
        }
        Reader reader = new Reader(invoked.caller(), token.key());
        List<Integer> answer = answers.computeIfAbsent(reader, unused -> new ArrayList<>());
        if (token.position() != answer.size()) {
            String fault = token.position() < answer.size() ? "repeated" : "missing";
            report(
                    token.timeNanos(),
                    "%s: token %s, position %d after %d tokens",
                    token.key(),
                    fault,
                    token.position(),
                    answer.size());
            damaged.add(reader);
            return;
        }
        answer.add(token.tokenId());
    }

    private void complete(
            Completed end,
            Map<Long, Invoked> invocations,
            Map<Reader, List<Integer>> answers,
            Set<Reader> damaged) {
        Invoked invoked = invocations.get(end.invocation());
        if (invoked == null) {
            report(end.timeNanos(), "end of %s on a foreign connection", end.key());
            return;
        }
        Reader reader = new Reader(invoked.caller(), end.key());
        if (damaged.contains(reader)) {
            return;
        }
        List<Integer> answer = answers.getOrDefault(reader, List.of());
        int error = mOracle.firstError(end.key(), answer, true);
        if (error >= 0) {
            report(
                    end.timeNanos(),
                    "%s: answer of %d tokens is wrong from position %d",
                    end.key(),
                    answer.size(),
                    error);
        }
    }

    /** A caller's view of one answer. */
    private record Reader(String caller, RequestKey key) {}
}
