package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Literal;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.ValueType;
import org.gentianwalk.core.config.schema.ValueTypes;
import org.gentianwalk.core.config.tree.Node;

/** Rejects names with characters that are not allowed in paths, logs and store keys. */
public final class NameCheck extends TreeCheck {
    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitName(CheckRun run, String path, String name, Node node) {
        if (ValueTypes.NAME.parse(Literal.of(name)) instanceof ValueType.ParseResult.WrongType) {
            run.report(node.source(), path, "name", name, ValueTypes.NAME.name());
        }
    }
}
