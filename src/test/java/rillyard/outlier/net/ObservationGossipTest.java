package rillyard.outlier.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.SubsetPosition;
import rillyard.membership.MemberAttribute;
import rillyard.membership.net.FleetConfigReader;
import rillyard.membership.net.FleetMember;
import rillyard.outlier.FleetOutlierSettings;
import rillyard.proxy.dispatch.PeerGossip;

/** Five members over sockets that tell each other what they saw of hosts. */
@Timeout(60)
class ObservationGossipTest {
    private static final Set<String> HOSTS = Set.of("a", "b");

    /** What one proxy was told to heed. */
    private static final class Heeded implements PeerGossip.Listener {
        final List<String> left = new ArrayList<>();
        final List<String> back = new ArrayList<>();
        final List<String> lines = new ArrayList<>();
        SubsetPosition place;

        @Override
        public void eject(String host, double wait) {
            left.add(host);
        }

        @Override
        public void readmit(String host, double wait) {
            back.add(host);
        }

        @Override
        public void moveSubset(SubsetPosition position) {
            place = position;
        }

        @Override
        public void log(String line) {
            lines.add(line);
        }
    }

    @TempDir
    Path folder;

    private final List<FleetMember> members = new ArrayList<>();
    private final List<ObservationGossip> news = new ArrayList<>();
    private final List<Heeded> heeded = new ArrayList<>();

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void start(int n) throws Exception {
        int seed = 0;
        for (int i = 0; i < n; i++) {
            int port;
            try (DatagramSocket s = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
                port = s.getLocalPort();
            }
            seed = i == 0 ? port : seed;
            Path file = folder.resolve("p" + i + ".toml");
            Files.writeString(
                    file,
                    "seeds = \"127.0.0.1:" + seed + "\"\n[self]\nname = \"p" + i + "\"\nlisten = \"127.0.0.1:" + port
                            + "\"\n[membership]\ninterval_ms = 100\ntimeout_ms = 40\n");
            FleetMember member = new FleetMember(FleetConfigReader.read(file, Map.of()), i, System.err);
            news.add(new ObservationGossip(member, FleetOutlierSettings.USUAL, i));
            heeded.add(new Heeded());
            members.add(member);
            member.start();
        }
    }

    @AfterEach
    void end() {
        members.forEach(FleetMember::close);
    }

    private void stepAll() throws InterruptedException {
        for (int i = 0; i < news.size(); i++) {
            news.get(i).step(now(), HOSTS, heeded.get(i));
        }
        Thread.sleep(20); // between two looks
    }

    @Test
    void whoSawNothingLeavesTheHostThatThreeOthersSawFailAndComesBackWithThem() throws Exception {
        start(5);
        while (!members.stream()
                .allMatch(member -> member.snapshot().presentNames().size() == 5)) {
            stepAll();
        }
        while (heeded.get(4).left.isEmpty()) {
            for (int i = 0; i < 3; i++) {
                news.get(i).onAttemptEnded("a", AttemptOutcome.ERROR, now());
                news.get(i).onAttemptEnded("b", AttemptOutcome.OK, now());
                news.get(i).onAttemptEnded("stranger", AttemptOutcome.ERROR, now());
            }
            news.get(3).onAttemptEnded("a", AttemptOutcome.FULL, now()); // tells nothing
            stepAll();
        }
        assertThat(heeded.get(4).left).containsOnly("a");
        while (heeded.get(4).back.isEmpty()) {
            news.get(0).onAttemptEnded("a", AttemptOutcome.OK, now());
            news.get(1).onAttemptEnded("a", AttemptOutcome.OK, now());
            stepAll();
        }
        assertThat(heeded.get(4).back).containsOnly("a");
        assertThat(heeded.stream().flatMap(h -> h.left.stream())).containsOnly("a");
        while (heeded.get(0).place.weight() <= 1) {
            news.get(0).onAttemptEnded("a", AttemptOutcome.OK, now()); // the only one that sends still
            stepAll();
        }
        assertThat(heeded.get(0).place.proxyCount()).isEqualTo(5);
    }

    @Test
    void whatCantBeReadIsToldOnceAndPassedOver() throws Exception {
        start(2);
        while (heeded.get(0).lines.stream().noneMatch(l -> l.contains("p1 says what can't be read"))) {
            members.get(1).setAttribute(ObservationGossip.FIRST_KIND, new byte[] {1, 2, 3}, 60_000, true);
            stepAll();
        }
        stepAll();
        assertThat(heeded.get(0).lines.stream().filter(l -> l.contains("p1 says")))
                .hasSize(1);
        assertThat(heeded.get(0).left).isEmpty();
    }

    @Test
    void aMemberThatHasLeftSaysNothingMoreAndWhatItHeldGetsOlder() throws Exception {
        start(1);
        members.get(0).setAttribute(ObservationGossip.RATE, new byte[] {0, 0, 0, 0}, 60_000, true);
        while (members.get(0).snapshot().attributes(ObservationGossip.RATE).isEmpty()) {
            stepAll();
        }
        FleetMember ended = members.remove(0);
        ended.close();
        FleetMember.FleetSnapshot known = ended.snapshot();
        MemberAttribute fact = known.attributes(ObservationGossip.RATE).get("p0");
        double age = known.ageMillis(fact);
        news.get(0).onAttemptEnded("a", AttemptOutcome.ERROR, now());
        stepAll(); // while the proxy beside it drains
        assertThat(known.ageMillis(fact)).isGreaterThan(age);
    }
}
