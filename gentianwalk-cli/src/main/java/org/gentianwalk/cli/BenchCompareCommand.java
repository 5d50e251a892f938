package org.gentianwalk.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.gentianwalk.bench.report.PolicyComparison;
import org.gentianwalk.bench.report.PolicyPage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code gentianwalk bench compare}: two reports of the policy experiments side by side. */
@Command(
        name = "compare",
        description = "Compares two JSON reports of 'bench policy'; fails on a regression.")
public final class BenchCompareCommand extends BaseCommand {
    @Parameters(index = "0", paramLabel = "BEFORE", description = "Report of the earlier version.")
    private Path mBefore = Path.of("before.json");

    @Parameters(index = "1", paramLabel = "AFTER", description = "Report of the later version.")
    private Path mAfter = Path.of("after.json");

    @Override
    public Integer call() throws IOException {
        PolicyComparison comparison =
                new PolicyComparison(PolicyPage.read(mBefore), PolicyPage.read(mAfter));
        comparison.print(System.out);
        boolean worse = comparison.changes().stream().anyMatch(each -> each.isRegression());
        return worse ? FAILED : DONE;
    }
}
