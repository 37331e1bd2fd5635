package rillyard.demo;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.audit.Breach;
import rillyard.ledger.Ledger;
import rillyard.ledger.LedgerHead;
import rillyard.load.LoadPlanReader;
import rillyard.load.LoadRun;
import rillyard.standin.StandIn;
import rillyard.standin.StandInPlanReader;

/**
 * Real runs in which rules are broken, as no proxy stands between: clients that go on sending to a
 * host that drains, flood a cold one, are cut off, and repeat what must not be repeated.
 */
class FoundTest {
    @TempDir
    Path folder;

    private Set<Breach.Rule> broken(String hosts, String plan) throws Exception {
        Path h = folder.resolve("h");
        Path c = folder.resolve("c");
        AuditSettings settings;
        try (Ledger hostLedger = Ledger.open(h, new LedgerHead("hosts", 1, 1));
                Ledger ledger = Ledger.open(c, new LedgerHead("clients", 1, 1));
                StandIn s = new StandIn(
                        StandInPlanReader.parse("h", hosts, 0),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        1,
                        hostLedger,
                        System.err)) {
            s.start();
            settings = AuditSettings.of(
                    new ObjectMapper().readTree(s.ready().path("settings").toString()));
            LoadRun run = new LoadRun(LoadPlanReader.parse("p", plan, folder), List.of(s.address("s-0")), ledger, null);
            s.startTimetable();
            run.run();
        }
        Audit.Verdict v = Audit.of(c, h, settings);
        assertThat(v.doubts()).isEmpty();
        return v.breaches().stream().map(Breach::rule).collect(Collectors.toSet());
    }

    private static String plan(String more, int rate) {
        return "lateness_ms = 5000\n" + more + "[[shape]]\nkind = 'poisson'\nfor_s = 1.5\nrate = " + rate + "\n";
    }

    @Test
    void aRunWithoutFaultsIsClean() throws Exception {
        assertThat(broken("", plan("", 100))).isEmpty();
    }

    @Test
    void sendingOnToAHostThatDrainsIsFound() throws Exception {
        assertThat(broken(
                        "[rules]\ndrain_grace_ms = 0\n[discovery]\nnotice_ms = 0\n"
                                + "[[fault]]\nkind = 'drain'\nhost = 's-0'\nfor_s = 60\n",
                        // What counts is what discovery has to tell, and nobody watches: 6 s at the latest.
                        plan("", 100).replace("for_s = 1.5", "for_s = 7")))
                .containsExactly(Breach.Rule.DRAIN);
    }

    @Test
    void aFloodToAColdHostIsFound() throws Exception {
        assertThat(broken("[hosts]\ncores = 1\nqueue = 1000\nstarts_cold = true\n", plan("", 500)))
                .contains(Breach.Rule.COLD);
    }

    @Test
    void answersThatAreCutOffAreFound() throws Exception {
        assertThat(broken("[[fault]]\nkind = 'reset'\nhost = 's-0'\nsize = 0.3\n", plan("", 100)))
                .containsExactly(Breach.Rule.ANSWER);
    }

    @Test
    void clientsThatRepeatWhatMayHaveRunAreFound() throws Exception {
        assertThat(broken(
                        "[[fault]]\nkind = 'errors'\nhost = 's-0'\nsize = 0.5\n",
                        plan("[[class]]\nname = 'claim'\nsemantics = 'keyed-everywhere'\n", 100)))
                .containsExactly(Breach.Rule.EFFECT);
    }
}
