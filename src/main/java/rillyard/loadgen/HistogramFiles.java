package rillyard.loadgen;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;

/** Writes histograms in HdrHistogram's percentile format, in milliseconds, for its plotter. */
final class HistogramFiles {
    private static final int TICKS_PER_HALF_DISTANCE = 10;

    private HistogramFiles() {}

    /**
     * Writes the files {@code *.hgrm} of a run into an existing folder.
     *
     * @throws IOException if a file cannot be written
     */
    static void write(Path folder, RunStatistics statistics) throws IOException {
        write(folder.resolve("latency.hgrm"), statistics.total().latency);
        write(folder.resolve("service.hgrm"), statistics.total().service);
        write(folder.resolve("lateness.hgrm"), statistics.lateness());
        for (RunStatistics.ClassStatistics row : statistics.rows()) {
            String name = row.tenant == null ? row.requestClass.name() : row.requestClass.name() + "." + row.tenant;
            write(folder.resolve("latency." + name + ".hgrm"), row.latency);
        }
    }

    private static void write(Path file, Histogram histogram) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8)) {
            histogram.outputPercentileDistribution(out, TICKS_PER_HALF_DISTANCE, 1_000.0);
            if (out.checkError()) {
                throw new IOException(file + " can't be written");
            }
        }
    }
}
