package org.gentianwalk.cli;

import picocli.CommandLine.Command;

/** {@code gentianwalk bench}: groups the experiments and measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs experiments and measurements on loopback or on a virtual clock.",
        subcommands = {
            BenchPolicyCommand.class,
            BenchFleetCommand.class,
            BenchPathCommand.class,
            BenchCompareCommand.class
        })
public final class BenchCommand extends CommandGroup {}
