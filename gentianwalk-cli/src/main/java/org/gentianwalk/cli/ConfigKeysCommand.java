package org.gentianwalk.cli;

import org.gentianwalk.core.config.schema.FolderSchema;
import org.gentianwalk.core.config.schema.InstanceSchema;
import org.gentianwalk.core.config.schema.Reference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk config keys}: prints the reference of the settings. */
@Command(
        name = "keys",
        description = "Prints all keys with type, unit, default and range as Markdown tables.")
public final class ConfigKeysCommand extends BaseCommand {
    @Option(names = "--of-instance", description = "The keys of instance.yaml.")
    private boolean mOfInstance;

    @Override
    public Integer call() {
        out().print(Reference.markdown(mOfInstance ? InstanceSchema.ROOT : FolderSchema.ROOT));
        out().flush();
        return DONE;
    }
}
