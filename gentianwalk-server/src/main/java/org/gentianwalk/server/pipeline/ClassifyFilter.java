package org.gentianwalk.server.pipeline;

import java.util.Optional;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.jspecify.annotations.Nullable;

/**
 * Looks up the rule for the team's kind of work, and checks the model and the output length against
 * it.
 */
public final class ClassifyFilter implements CallFilter {
    private static final String KIND = "Gentianwalk-Kind";

    @Override
    public @Nullable ServeError apply(CallContext call) {
        String kind = call.header(KIND);
        Optional<WorkRule> found = call.rules().workRule(call.team(), kind);
        if (found.isEmpty()) {
            String what = kind == null ? "the default kind" : "kind " + printable(kind);
            return ServeError.rejected(ErrorKind.FORBIDDEN, call.team(), what);
        }
        WorkRule rule = found.get();
        String model = call.json().path("model").textValue();
        boolean served = call.rules().engines().stream().anyMatch(e -> e.models().contains(model));
        if (!served) {
            return new ServeError.Rejected(
                    ErrorKind.MODEL_NOT_FOUND,
                    ServeError.rejected(ErrorKind.MODEL_NOT_FOUND, printable(model)).message(),
                    "model");
        }
        if (!rule.models().isEmpty() && !rule.models().contains(model)) {
            return ServeError.rejected(ErrorKind.FORBIDDEN, call.team(), "model " + model);
        }
        for (String name : new String[] {"max_tokens", "max_completion_tokens"}) {
            if (call.json().path(name).asInt(0) > rule.maxTokens()) {
                return ServeError.invalidParameter(
                        name, "Parameter " + name + " must be at most " + rule.maxTokens() + ".");
            }
        }
        call.rule(rule);
        return null;
    }

    private static String printable(String text) {
        String shortened = text.substring(0, Math.min(text.length(), 64));
        return shortened.replaceAll("[^\\p{Print}]", "?");
    }
}
