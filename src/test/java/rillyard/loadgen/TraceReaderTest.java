package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.config.ConfigProblem;
import rillyard.config.InvalidConfigException;

class TraceReaderTest {
    private static final List<LoadClass> CLASSES = List.of(
            new LoadClass("list", 1, LoadClass.Semantics.IDEMPOTENT, 400, 800, 0, 0, 0),
            new LoadClass("claim", 1, LoadClass.Semantics.AT_MOST_ONCE, 400, 800, 0, 0, 0));

    @TempDir
    Path folder;

    private RecordedTrace read(TraceReader.Format format, String text) throws Exception {
        Path path = Files.writeString(folder.resolve("t"), text);
        return TraceReader.read(path, format, CLASSES, 2);
    }

    private InvalidConfigException fails(TraceReader.Format format, String text) {
        return catchThrowableOfType(InvalidConfigException.class, () -> read(format, text));
    }

    @Test
    void csvIsReadInAnyColumnAndLineOrder() throws Exception {
        RecordedTrace trace =
                read(TraceReader.Format.CSV, "class,time_ms,tenant\nclaim,1500.5,t1\nlist,1000,\n\nlist,3000,t2\n");
        assertThat(trace.entries())
                .extracting(request -> request.requestClass().name())
                .containsExactly("list", "claim", "list");
        assertThat(trace.entries())
                .extracting(RecordedTrace.RecordedRequest::tenant)
                .containsExactly(null, "t1", "t2");
        assertThat(trace.sendAtNanos(trace.entries().get(1))).isEqualTo(250_250_000L); // at twice the speed
        assertThat(trace.seconds()).isEqualTo(1.0);
    }

    @Test
    void jsonLinesAreRead() throws Exception {
        RecordedTrace trace = read(
                TraceReader.Format.JSONL,
                "{\"time_ms\":5,\"class\":\"list\",\"client\":\"c1\",\"route_key\":\"r\"}\n"
                        + "{\"time_ms\":6.5,\"class\":\"claim\"}\n");
        assertThat(trace.entries())
                .containsExactly(
                        new RecordedTrace.RecordedRequest(5_000, CLASSES.get(0), null, "c1", "r"),
                        new RecordedTrace.RecordedRequest(6_500, CLASSES.get(1), null, null, null));
    }

    @Test
    void httplogLinesAreRead() throws Exception {
        String before = "Nov 30 08:14:14 lb haproxy[14389]: ";
        RecordedTrace trace = read(
                TraceReader.Format.HAPROXY,
                before + "10.0.1.2:33317 [30/Nov/2026:08:14:14.655] http-in static/srv1 10/0/30/69/109 "
                        + "200 2750 - - ---- 1/1/1/1/0 0/0 {1wt.eu} {} \"GET /list?x=1 HTTP/1.1\"\n"
                        + before + "10.0.1.3:33318 [30/Nov/2026:08:14:14.155] http-in~ b/<NOSRV> -1/-1/-1/-1/0 "
                        + "503 212 - - SC-- 0/0/0/0/0 0/0 \"POST http://roster.example.org/claim HTTP/1.1\"\n"
                        + before + "10.0.1.4:33319 [30/Nov/2026:08:14:15.000] http-in b/s 1/0/3/6/+10 "
                        + "200 +2750 - - ---- 1/1/1/1/0 0/0 \"GET /images/a.png HTTP/1.1\"\n"
                        + before + "10.0.1.5:33320 [30/Nov/2026:08:14:16.000] http-in http-in/<NOSRV> "
                        + "-1/-1/-1/-1/2 400 187 - - PR-- 0/0/0/0/0 0/0 \"<BADREQ>\"\n");
        assertThat(trace.entries())
                .extracting(request -> request.requestClass().name())
                .containsExactly("claim", "list");
        assertThat(trace.entries())
                .extracting(RecordedTrace.RecordedRequest::client)
                .containsExactly("10.0.1.3", "10.0.1.2");
        assertThat(trace.seconds()).isEqualTo(0.25);
    }

    @Test
    void eachUnreadableLineIsNamed() {
        assertThat(fails(TraceReader.Format.CSV, "class,when\nlist,1\n").getMessage())
                .contains(":1: expected column names with 'time_ms' among them");
        assertThat(fails(TraceReader.Format.CSV, "class,time_ms\nlist,x\nlist\nlsit,4\nlist,-1\nlist,NaN\n")
                        .problems())
                .extracting(ConfigProblem::line)
                .containsExactly(2, 3, 4, 5, 6);
        assertThat(fails(TraceReader.Format.JSONL, "{\"class\":\"list\"}\n[1]\n{\n")
                        .problems())
                .extracting(ConfigProblem::line)
                .containsExactly(1, 2, 3);
        assertThat(fails(TraceReader.Format.HAPROXY, "nothing of that kind\n").problems())
                .hasSize(1);
        assertThat(fails(TraceReader.Format.CSV, "").getMessage()).contains("expected at least one request");
    }

    @Test
    void scheduleReplaysTraceAtRecordedTimes() throws Exception {
        Files.writeString(folder.resolve("t.csv"), "time_ms,class,client\n1000,list,a\n1400,claim,b\n1500,list,a\n");
        LoadPlan plan = LoadPlanReader.parse("p", "[trace]\nfile = 't.csv'\nspeed = 0.5\n", folder);
        List<ScheduledRequest> all = new ArrayList<>();
        new RequestSchedule(plan).forEachRemaining(all::add);
        assertThat(all).extracting(ScheduledRequest::atNanos).containsExactly(0L, 800_000_000L, 1_000_000_000L);
        assertThat(all.get(0).client()).isEqualTo(all.get(2).client());
    }
}
