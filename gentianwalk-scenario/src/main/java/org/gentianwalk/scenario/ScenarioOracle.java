package org.gentianwalk.scenario;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.check.AnswerOracle;
import org.gentianwalk.standin.engine.TokenSequence;

/** Knows the answers of a scenario's requests, since the stand-in engines are deterministic. */
final class ScenarioOracle implements AnswerOracle {
    private final Map<RequestKey, ScenarioCallers.Request> mRequests = new ConcurrentHashMap<>();

    void add(ScenarioCallers.Request request) {
        mRequests.put(request.key(), request);
    }

    @Override
    public int firstError(RequestKey key, List<Integer> tokenIds, boolean complete) {
        ScenarioCallers.Request request = mRequests.get(key);
        if (request == null) {
            return 0;
        }
        List<Integer> expected =
                TokenSequence.start(ScenarioSettings.MODEL, request.seed(), request.prompt())
                        .take(request.tokens(), 0);
        for (int i = 0; i < tokenIds.size(); i++) {
            if (i >= expected.size() || !expected.get(i).equals(tokenIds.get(i))) {
                return i;
            }
        }
        return complete && tokenIds.size() < expected.size() ? tokenIds.size() : -1;
    }
}
