package org.gentianwalk.core.config.check;

import java.util.Comparator;
import java.util.Optional;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects keys that are not in the schema, for example {@code limits.max-bdy}. */
public final class UnknownKeyCheck extends TreeCheck {
    /** Maximum edit distance at which a known key is suggested. */
    private static final int MAX_EDIT_DISTANCE = 3;

    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitUnknownKey(CheckRun run, String path, Spec.Section schema, Node node) {
        String key = path.substring(path.lastIndexOf('.') + 1);
        Optional<String> suggestion =
                schema.keys().keySet().stream()
                        .filter(known -> editDistance(key, known) <= MAX_EDIT_DISTANCE)
                        .min(Comparator.comparingInt(known -> editDistance(key, known)));
        String accepted = String.join(", ", schema.keys().keySet());
        if (suggestion.isPresent()) {
            run.report(node.source(), path, "unknown-key.similar", key, suggestion.get(), accepted);
        } else {
            run.report(node.source(), path, "unknown-key", key, accepted);
        }
    }

    private static int editDistance(String first, String second) {
        int[] previous = new int[second.length() + 1];
        for (int j = 0; j < previous.length; j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int[] row = new int[second.length() + 1];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int change = first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1;
                row[j] = Math.min(previous[j - 1] + change, 1 + Math.min(previous[j], row[j - 1]));
            }
            previous = row;
        }
        return previous[second.length()];
    }
}
