package rillyard.membership.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.config.InvalidConfigException;
import rillyard.membership.MembershipSettings;

/** Tests the reading of a member's configuration, and the problems that are reported. */
class FleetConfigReaderTest {
    @TempDir
    Path folder;

    private FleetConfig read(String text) throws Exception {
        return FleetConfigReader.read(
                Files.writeString(folder.resolve("fleet.toml"), text), Map.of("BALANCER_NAME", "app-17"));
    }

    @Test
    void deployedFileIsValid() throws Exception {
        FleetConfig config = FleetConfigReader.read(Path.of("deploy/fleet.toml"), Map.of("BALANCER_NAME", "app-17"));
        assertThat(config.identity().name()).isEqualTo("app-17");
        assertThat(config.seeds()).hasSize(3);
        assertThat(config.membership()).isEqualTo(MembershipSettings.DEFAULT);
        assertThat(config.history()).isNull();
        assertThat(config.outlierGossip()).as("outlier gossip").isFalse();
        assertThat(read("[self]\nlisten = \"127.0.0.1:7400\"\n[spread]\nnews = true\n")
                        .outlierGossip())
                .isTrue();
    }

    @Test
    void identityHasAdvertisedAddress() throws Exception {
        FleetConfig config = read("[self]\nlisten = \"127.0.0.1:7400\"\nadvertise = \"10.9.8.7:65535\"\n");
        assertThat(config.identity().address()).hasToString("10.9.8.7:65535");
        assertThat(config.listen().getPort()).isEqualTo(7400);
    }

    @Test
    void keysAreReadFromPrivateFileOnly() throws Exception {
        Path key = Files.writeString(folder.resolve("key"), "ab".repeat(32) + "\n" + "cd".repeat(32) + "\n");
        String text = "key_file = \"" + key + "\"\n[self]\nlisten = \"127.0.0.1:7400\"\n";
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-r--r--"));
        assertThatThrownBy(() -> read(text))
                .hasMessageContaining("fleet.toml:1")
                .hasMessageContaining("expected mode 600");
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
        assertThat(read(text).keys()).hasSize(2);
        assertThat(read(text).membership().datagramBytes()).isEqualTo(256 - DatagramCipher.OVERHEAD_BYTES);
        Files.writeString(key, "xy".repeat(32));
        assertThatThrownBy(() -> read(text)).hasMessageContaining("key_file");
    }

    @Test
    void addressesOtherThanIpv4AndPortAreRejected() {
        for (String invalid : new String[] {
            "10.1.0.4.7400", "10:1:0:4:7400", "10.1.0.256:1", "10.1.0.4:0", "10.1.0.4:65536", "[::1]:7400"
        }) {
            assertThatThrownBy(() -> read("[self]\nlisten = \"" + invalid + "\"\n"))
                    .as(invalid)
                    .hasMessageContaining("fleet.toml:2")
                    .hasMessageContaining("expected IPv4:port");
        }
        assertThatThrownBy(() -> read("[self]\nzone = 1\n")).hasMessageContaining("listen: is missing");
    }

    @Test
    void allProblemsAreReportedByLine() {
        assertThatThrownBy(
                        () -> read(
                                """
                        seeds = "10.1.0.4"
                        [self]
                        name = "more than sixteen letters"
                        listen = "host:1"
                        zone = 300
                        [membership]
                        timeout_ms = 400
                        intervall_ms = 1
                        """))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining("fleet.toml:1")
                .hasMessageContaining("expected IPv4:port")
                .hasMessageContaining("fleet.toml:3")
                .hasMessageContaining("printable ASCII")
                .hasMessageContaining("fleet.toml:5")
                .hasMessageContaining("expected a whole number from 0 to 255")
                .hasMessageContaining("fleet.toml:7")
                .hasMessageContaining("half of interval_ms")
                .hasMessageContaining("did you mean 'interval_ms'");
    }
}
