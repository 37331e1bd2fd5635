package rillyard.loadgen;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A report as files: {@code report.json} and {@code report.html}. */
public final class ReportFiles {
    private ReportFiles() {}

    /** Writes both into a folder that is there. */
    public static void write(Path folder, RunReport report, String title) throws IOException {
        Files.writeString(
                folder.resolve("report.json"),
                new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report) + "\n");
        Files.writeString(folder.resolve("report.html"), ReportHtml.of(report, title));
    }
}
