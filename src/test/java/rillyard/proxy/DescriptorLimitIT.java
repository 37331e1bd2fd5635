package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/**
 * Guards against idle clients that take all descriptors, so that the proxy can no longer connect to discovery or to
 * hosts. Runs the built jar with as few descriptors as the platform grants, a limit that the kernel enforces.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class DescriptorLimitIT {
    private static final int DESCRIPTORS = 256;

    @TempDir
    Path folder;

    private static LaunchCommand limitedCommand() {
        LaunchCommand built = LaunchCommand.platform(Path.of("").toAbsolutePath());
        List<String> options = new ArrayList<>();
        options.add("-c");
        options.add("ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"");
        options.add(built.java().toString());
        options.addAll(built.options());
        return new LaunchCommand(Path.of("/bin/sh"), built.folder(), null, options, built.program(), Map.of());
    }

    /** Idle clients open all connections that they can while discovery refuses connects; then discovery returns. */
    @Test
    void idleClientsLeaveDescriptorsForDiscoveryHostsAndSignals() throws Exception {
        int port = ProxyFixture.freePort();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"))) {
            Path config = folder.resolve("config.json");
            Files.move(
                    ProxyFixture.writeConfig(
                            port, json -> ((ObjectNode) json.get("limits")).put("sockets", DESCRIPTORS)),
                    config);
            List<TestPeer> idle = new ArrayList<>();
            try (ProxyProcess proxy =
                    ProxyProcess.launch(limitedCommand(), config, ProxyProcess.ANY_PORT, folder.resolve("log"))) {
                proxy.await(ProxyProcess.State.LISTENING);
                for (int i = 0; i < 2 * DESCRIPTORS; i++) {
                    idle.add(TestPeer.connect(proxy.address().getPort()));
                }
                ScriptedServer discovery = new ScriptedServer(port, peer -> {
                    peer.read();
                    String line = ProxyFixture.endpointList(2, true, ProxyFixture.endpoint("a", host.port())) + "\n";
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                    peer.awaitEnd();
                });
                try (discovery) {
                    proxy.await(ProxyProcess.State.READY);
                    try (TestPeer client = TestPeer.connect(proxy.address().getPort())) {
                        client.write(ProxyFixture.post("claim", 5_000, "", "x"));
                        assertThat(client.read().text()).isEqualTo("served");
                    }
                    proxy.process().terminate();
                    assertThat(proxy.process().await()).isZero();
                }
                assertThat(Files.readString(folder.resolve("log")))
                        .contains("drained")
                        .doesNotContain("Exception");
            } finally {
                for (TestPeer client : idle) {
                    client.close();
                }
            }
        }
    }
}
