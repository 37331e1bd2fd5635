package rillyard.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rillyard.audit.Audit;
import rillyard.demo.Demo;
import rillyard.loadgen.ReportTable;

/** Runs the demo. */
@Command(
        name = "demo",
        description = {
            "Discovery, eight hosts, one proxy and a surge of 20 s, in which one host hangs and one drains.",
            "Ends with 0 only if no rule was broken."
        },
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--keep", description = "A folder that gets the ledgers and the report.")
    private Path keep;

    @Override
    public Integer call() throws Exception {
        Demo.Result result = new Demo(System.out).run(keep);
        System.out.print(ReportTable.of(result.report()));
        AuditCommand.print(result.verdict(), 5, System.out);
        Audit.Verdict verdict = result.verdict();
        return verdict.isClean() ? Cli.DONE : Cli.FAILED;
    }
}
