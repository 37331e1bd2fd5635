package rillyard.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.audit.Violation;

/** Audits the request logs of a run. */
@Command(
        name = "audit",
        description = {
            "Checks the request logs of a run's clients and hosts against the rules of the protocol.",
            "Exits with 0 if all rules were kept and the logs prove it, otherwise with 1."
        },
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class AuditCommand implements Callable<Integer> {
    @Option(names = "--clients", required = true, description = "Request log of 'load'.")
    private Path clients;

    @Option(names = "--hosts", required = true, description = "Request log of 'stand-in'.")
    private Path hosts;

    @Option(
            names = "--settings",
            required = true,
            description = "The platform's settings (JSON), or a file that contains them, such as a ready file.")
    private Path settings;

    @Option(
            names = "--most",
            defaultValue = "20",
            description = "Maximum number of violations printed with their history (${DEFAULT-VALUE}).")
    private int most;

    @Override
    public Integer call() throws Exception {
        Audit.Verdict verdict = Audit.of(clients, hosts, AuditSettings.read(settings));
        print(verdict, most, System.out);
        return verdict.isClean() ? Cli.DONE : Cli.FAILED;
    }

    /** Prints the result of an audit with the history of at most {@code most} violations. */
    static void print(Audit.Verdict verdict, int most, PrintStream out) {
        for (int i = 0; i < Math.min(most, verdict.violations().size()); i++) {
            Violation violation = verdict.violations().get(i);
            out.println("BROKEN " + violation.rule() + ": " + violation.description());
            violation.history().forEach(line -> out.println("    " + line));
        }
        if (verdict.violations().size() > most) {
            out.println((verdict.violations().size() - most) + " more");
        }
        verdict.warnings().forEach(warning -> out.println("NOT PROVED: " + warning));
        for (Violation.Rule rule : Violation.Rule.values()) {
            long count = verdict.violations().stream()
                    .filter(violation -> violation.rule() == rule)
                    .count();
            out.printf("%-7s %s%n", rule, count == 0 ? "kept" : count + " times broken");
        }
        out.println("audit: " + verdict.attempts() + " tries of clients and " + verdict.executions()
                + " receipts of hosts, " + verdict.violations().size() + " breaches"
                + (verdict.warnings().isEmpty() ? "" : ", not proved"));
    }
}
