package rillyard.membership.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.cli.Cli;

/** Two members over sockets, asked what they hold. */
@Timeout(30)
class MemberAdminServerTest {
    @TempDir
    Path folder;

    private FleetConfig settings(String name, int port, int seed, int admin) throws Exception {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                "seeds = \"127.0.0.1:" + seed + "\"\n[self]\nname = \"" + name + "\"\nlisten = \"127.0.0.1:" + port
                        + "\"\nadmin = \"127.0.0.1:" + admin
                        + "\"\n[membership]\ninterval_ms = 100\ntimeout_ms = 40\n");
        return FleetConfigReader.read(file, Map.of());
    }

    private static int[] freePorts() throws IOException {
        InetAddress at = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket a = new DatagramSocket(0, at);
                DatagramSocket b = new DatagramSocket(0, at);
                ServerSocket server = new ServerSocket(0, 1, at);
                ServerSocket d = new ServerSocket(0, 1, at)) {
            return new int[] {a.getLocalPort(), b.getLocalPort(), server.getLocalPort(), d.getLocalPort()};
        }
    }

    @Test
    void tellsWhoLivesSinceWhenByWhomAndWhatItCosts() throws Exception {
        int[] p = freePorts();
        InetSocketAddress admin = new InetSocketAddress("127.0.0.1", p[2]);
        try (FleetMember member = new FleetMember(settings("a", p[0], p[1], p[2]), 1, System.err)) {
            member.start();
            try (FleetMember fleetMember = new FleetMember(settings("b", p[1], p[0], p[3]), 2, System.err)) {
                fleetMember.start();
                JsonNode view = MemberAdminClient.ask(admin);
                while (view.path("present").asInt() < 2) {
                    view = MemberAdminClient.ask(admin);
                }
                JsonNode of = view.path("members").path(0);
                assertThat(of.path("name").asText()).isEqualTo("b");
                assertThat(of.path("by").asText()).isEqualTo("b");
                assertThat(of.path("since").asLong())
                        .isBetween(
                                view.path("self").path("start").asLong(),
                                view.path("at").asLong());
                assertThat(view.path("costs").path("datagrams_received").asLong())
                        .isPositive();
                StringWriter out = new StringWriter();
                int rc = Cli.run(
                        new PrintWriter(out, true),
                        new PrintWriter(out, true),
                        "members",
                        "--admin",
                        "127.0.0.1:" + p[2]);
                assertThat(rc).as(out.toString()).isEqualTo(Cli.DONE);
                assertThat(out.toString()).contains("a holds 2 present", "ALIVE", "datagrams");
            }
            while (!MemberAdminClient.ask(admin)
                    .path("members")
                    .path(0)
                    .path("status")
                    .asText()
                    .equals("LEFT")) {
                Thread.onSpinWait();
            }
            assertThat(MemberAdminClient.ask(admin).path("present").asInt()).isEqualTo(1);
        }
        assertThatThrownBy(() -> MemberAdminClient.ask(admin))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("no answer");
    }

    @Test
    void callersThatStayDoNotShutOthersOutForever() throws Exception {
        int[] p = freePorts();
        InetSocketAddress admin = new InetSocketAddress("127.0.0.1", p[2]);
        List<Socket> idle = new ArrayList<>();
        try (FleetMember member = new FleetMember(settings("a", p[0], p[1], p[2]), 1, System.err)) {
            member.start();
            for (int i = 0; i < 50; i++) {
                idle.add(new Socket("127.0.0.1", p[2]));
            }
            JsonNode view = null;
            while (view == null) {
                try {
                    view = MemberAdminClient.ask(admin);
                } catch (IOException e) {
                    Thread.sleep(5); // full for the moment
                }
            }
            assertThat(view.path("self").path("name").asText()).isEqualTo("a");
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }
}
