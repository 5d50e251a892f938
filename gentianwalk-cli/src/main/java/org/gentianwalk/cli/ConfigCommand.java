package org.gentianwalk.cli;

import picocli.CommandLine.Command;

/** {@code gentianwalk config}: groups the commands for the settings folder. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Checks, shows and applies the settings folder.",
        subcommands = {
            ConfigCheckCommand.class,
            ConfigShowCommand.class,
            ConfigApplyCommand.class,
            ConfigFetchCommand.class,
            ConfigHashKeyCommand.class,
            ConfigKeysCommand.class
        })
public final class ConfigCommand extends CommandGroup {}
