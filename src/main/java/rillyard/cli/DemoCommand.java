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
            "Runs discovery, eight hosts and a proxy under a load surge of 20 s; one host hangs and one drains.",
            "Exits with 0 only if no rule was broken."
        },
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--keep", description = "Folder to which the request logs and the report are written.")
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
