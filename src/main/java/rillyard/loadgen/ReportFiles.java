package rillyard.loadgen;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes a report as {@code report.json} and {@code report.html}. */
public final class ReportFiles {
    private ReportFiles() {}

    /**
     * Writes both files into an existing folder.
     *
     * @throws IOException if a file cannot be written
     */
    public static void write(Path folder, RunReport report, String title) throws IOException {
        Files.writeString(
                folder.resolve("report.json"),
                new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report) + "\n");
        Files.writeString(folder.resolve("report.html"), ReportHtml.of(report, title));
    }
}
