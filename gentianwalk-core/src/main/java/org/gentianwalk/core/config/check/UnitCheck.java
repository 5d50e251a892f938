package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.ValueType;
import org.gentianwalk.core.config.tree.Node;

/** Rejects numbers without the unit that their type requires, for example {@code deadline: 30}. */
public final class UnitCheck extends TreeCheck {
    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitValue(CheckRun run, String path, Spec.Value spec, Node.Scalar scalar) {
        ValueType type = spec.type();
        if (type.parse(scalar) instanceof ValueType.ParseResult.MissingUnit) {
            run.report(
                    scalar.source(),
                    path,
                    "unit.missing",
                    scalar.text(),
                    type.unit(),
                    type.example());
        }
    }
}
