package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Literal;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.ValueType;
import org.gentianwalk.core.config.tree.Node;

/** Rejects values outside their range, for example {@code standard-share: 95%}. */
public final class RangeCheck extends TreeCheck {
    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitValue(CheckRun run, String path, Spec.Value spec, Node.Scalar scalar) {
        if (spec.minimum() == null || spec.maximum() == null) {
            return;
        }
        if (spec.type().parse(scalar) instanceof ValueType.ParseResult.Accepted accepted
                && (accepted.magnitude() < Literal.magnitude(spec.type(), spec.minimum())
                        || accepted.magnitude() > Literal.magnitude(spec.type(), spec.maximum()))) {
            run.report(
                    scalar.source(), path, "range", scalar.text(), spec.minimum(), spec.maximum());
        }
    }
}
