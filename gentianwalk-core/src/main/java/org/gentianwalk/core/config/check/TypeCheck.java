package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.ValueType;
import org.gentianwalk.core.config.schema.ValueTypes;
import org.gentianwalk.core.config.tree.Node;

/** Rejects values of the wrong type, for example {@code max-attempts: many}. */
public final class TypeCheck extends TreeCheck {
    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitValue(CheckRun run, String path, Spec.Value spec, Node.Scalar scalar) {
        ValueType type = spec.type();
        if (!(type.parse(scalar) instanceof ValueType.ParseResult.WrongType)) {
            return;
        }
        if (scalar.type() == Node.ScalarType.EMPTY) {
            run.report(scalar.source(), path, "type.empty", type.name(), type.example());
        } else {
            String displayed = type == ValueTypes.SECRET ? "(hidden)" : scalar.text();
            run.report(scalar.source(), path, "type.wrong", displayed, type.name(), type.example());
        }
    }
}
