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

/**
 * Exchanges observations of hosts between members over sockets.
 *
 * <p>Guards against a failing host that stays in use because observations are lost or not counted, against hosts that
 * are ejected though they are not listed, and against malformed attributes that end the exchange.
 */
@Timeout(60)
class ObservationGossipTest {
    private static final Set<String> HOSTS = Set.of("a", "b");

    /** Records the calls that the exchange of one proxy makes. */
    private static final class RecordingListener implements PeerGossip.Listener {
        final List<String> ejected = new ArrayList<>();
        final List<String> readmitted = new ArrayList<>();
        final List<String> logLines = new ArrayList<>();
        SubsetPosition subsetPosition;

        @Override
        public void eject(String host, double delayMillis) {
            ejected.add(host);
        }

        @Override
        public void readmit(String host, double delayMillis) {
            readmitted.add(host);
        }

        @Override
        public void moveSubset(SubsetPosition position) {
            subsetPosition = position;
        }

        @Override
        public void log(String line) {
            logLines.add(line);
        }
    }

    @TempDir
    Path folder;

    private final List<FleetMember> members = new ArrayList<>();
    private final List<ObservationGossip> gossips = new ArrayList<>();
    private final List<RecordingListener> listeners = new ArrayList<>();

    private static double nowMillis() {
        return System.nanoTime() / 1e6;
    }

    private void start(int count) throws Exception {
        int seed = 0;
        for (int i = 0; i < count; i++) {
            int port;
            try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                port = socket.getLocalPort();
            }
            seed = i == 0 ? port : seed;
            Path file = folder.resolve("p" + i + ".toml");
            Files.writeString(
                    file,
                    "seeds = \"127.0.0.1:" + seed + "\"\n[self]\nname = \"p" + i + "\"\nlisten = \"127.0.0.1:" + port
                            + "\"\n[membership]\ninterval_ms = 100\ntimeout_ms = 40\n");
            FleetMember member = new FleetMember(FleetConfigReader.read(file, Map.of()), i, System.err);
            gossips.add(new ObservationGossip(member, FleetOutlierSettings.DEFAULT, i));
            listeners.add(new RecordingListener());
            members.add(member);
            member.start();
        }
    }

    @AfterEach
    void end() {
        members.forEach(FleetMember::close);
    }

    private void stepAll() throws InterruptedException {
        for (int i = 0; i < gossips.size(); i++) {
            gossips.get(i).step(nowMillis(), HOSTS, listeners.get(i));
        }
        Thread.sleep(20); // the interval between two steps
    }

    @Test
    void hostReportedByThreePeersIsEjectedAndReadmitted() throws Exception {
        start(5);
        while (!members.stream()
                .allMatch(member -> member.snapshot().presentNames().size() == 5)) {
            stepAll();
        }
        while (listeners.get(4).ejected.isEmpty()) {
            for (int i = 0; i < 3; i++) {
                gossips.get(i).onAttemptEnded("a", AttemptOutcome.ERROR, nowMillis());
                gossips.get(i).onAttemptEnded("b", AttemptOutcome.OK, nowMillis());
                gossips.get(i).onAttemptEnded("unlisted", AttemptOutcome.ERROR, nowMillis());
            }
            gossips.get(3).onAttemptEnded("a", AttemptOutcome.REJECTED, nowMillis()); // says nothing about the host
            stepAll();
        }
        assertThat(listeners.get(4).ejected).containsOnly("a");
        while (listeners.get(4).readmitted.isEmpty()) {
            gossips.get(0).onAttemptEnded("a", AttemptOutcome.OK, nowMillis());
            gossips.get(1).onAttemptEnded("a", AttemptOutcome.OK, nowMillis());
            stepAll();
        }
        assertThat(listeners.get(4).readmitted).containsOnly("a");
        assertThat(listeners.stream().flatMap(listener -> listener.ejected.stream()))
                .containsOnly("a");
        while (listeners.get(0).subsetPosition.weight() <= 1) {
            gossips.get(0).onAttemptEnded("a", AttemptOutcome.OK, nowMillis()); // the only one that still sends
            stepAll();
        }
        assertThat(listeners.get(0).subsetPosition.proxyCount()).isEqualTo(5);
    }

    @Test
    void malformedAttributeIsLoggedOnceAndSkipped() throws Exception {
        start(2);
        while (listeners.get(0).logLines.stream()
                .noneMatch(line -> line.startsWith("fleet: malformed attribute, member=p1 "))) {
            members.get(1).setAttribute(ObservationGossip.FIRST_OBSERVATION_KIND, new byte[] {1, 2, 3}, 60_000, true);
            stepAll();
        }
        stepAll();
        assertThat(listeners.get(0).logLines.stream().filter(line -> line.contains("member=p1 ")))
                .hasSize(1);
        assertThat(listeners.get(0).ejected).isEmpty();
    }

    @Test
    void closedMemberPublishesNothingAndItsAttributesAge() throws Exception {
        start(1);
        members.get(0).setAttribute(ObservationGossip.RATE_KIND, new byte[] {0, 0, 0, 0}, 60_000, true);
        while (members.get(0).snapshot().attributes(ObservationGossip.RATE_KIND).isEmpty()) {
            stepAll();
        }
        FleetMember ended = members.remove(0);
        ended.close();
        FleetMember.FleetSnapshot known = ended.snapshot();
        MemberAttribute attribute =
                known.attributes(ObservationGossip.RATE_KIND).get("p0");
        double ageMillis = known.ageMillis(attribute);
        gossips.get(0).onAttemptEnded("a", AttemptOutcome.ERROR, nowMillis());
        stepAll(); // a draining proxy still steps after its member is closed
        assertThat(known.ageMillis(attribute)).isGreaterThan(ageMillis);
    }
}
