package rillyard.membership.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.cli.Cli;

/** Tests the admin view of members that run on sockets. */
@Timeout(30)
class MemberAdminServerTest {
    @TempDir
    Path folder;

    private FleetMember newMember(String name, int port, int seedPort, int adminPort, long seed) throws Exception {
        return new FleetMember(config(name, port, seedPort, adminPort), seed, System.err);
    }

    private FleetConfig config(String name, int port, int seed, int admin) throws Exception {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                "seeds = \"127.0.0.1:" + seed + "\"\n[self]\nname = \"" + name + "\"\nlisten = \"127.0.0.1:" + port
                        + "\"\nadmin = \"127.0.0.1:" + admin
                        + "\"\n[membership]\ninterval_ms = 100\ntimeout_ms = 40\n");
        return FleetConfigReader.read(file, Map.of());
    }

    private static int[] freePorts() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket first = new DatagramSocket(0, loopback);
                DatagramSocket second = new DatagramSocket(0, loopback);
                ServerSocket firstAdmin = new ServerSocket(0, 1, loopback);
                ServerSocket secondAdmin = new ServerSocket(0, 1, loopback)) {
            return new int[] {
                first.getLocalPort(), second.getLocalPort(), firstAdmin.getLocalPort(), secondAdmin.getLocalPort()
            };
        }
    }

    /** Netty's own acceptor would stop accepting for a second after a failed accept. */
    @Test
    void connectionAfterFailedAcceptIsServedAtOnce() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BlockingQueue<String> log = new LinkedBlockingQueue<>();
        try {
            Channel listener = new MemberAdminServer(() -> "view", log::add)
                    .listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            InetSocketAddress address = (InetSocketAddress) listener.localAddress();
            for (int i = 0; i < 4; i++) { // the first connection loads the classes
                long connectedAtNanos = System.nanoTime();
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    assertThat(socket.getInputStream().read()).isEqualTo('v');
                }
                assertThat(i == 0 ? 0 : System.nanoTime() - connectedAtNanos)
                        .isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
                listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
            }
            assertThat(log)
                    .containsExactly("fleet: accept failed, count=1 cause=java.io.IOException: Too many open files");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        }
    }

    @Test
    void viewHasMembersTheirSourcesAndCosts() throws Exception {
        int[] ports = freePorts();
        InetSocketAddress admin = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[2]);
        try (FleetMember member = newMember("a", ports[0], ports[1], ports[2], 1)) {
            member.start();
            try (FleetMember other = newMember("b", ports[1], ports[0], ports[3], 2)) {
                other.start();
                JsonNode view = MemberAdminClient.fetchView(admin);
                while (view.path("present").asInt() < 2) {
                    view = MemberAdminClient.fetchView(admin);
                }
                JsonNode listed = view.path("members").path(0);
                assertThat(listed.path("name").asText()).isEqualTo("b");
                assertThat(listed.path("by").asText()).isEqualTo("b");
                assertThat(listed.path("since").asLong())
                        .isBetween(
                                view.path("self").path("start").asLong(),
                                view.path("at").asLong());
                assertThat(view.path("costs").path("datagrams_received").asLong())
                        .isPositive();
                StringWriter out = new StringWriter();
                int exitCode = Cli.run(
                        new PrintWriter(out, true),
                        new PrintWriter(out, true),
                        "members",
                        "--admin",
                        "127.0.0.1:" + ports[2]);
                assertThat(exitCode).as(out.toString()).isEqualTo(Cli.DONE);
                assertThat(out.toString()).contains("a holds 2 present", "ALIVE", "datagrams");
            }
            while (!MemberAdminClient.fetchView(admin)
                    .path("members")
                    .path(0)
                    .path("status")
                    .asText()
                    .equals("LEFT")) {
                Thread.onSpinWait();
            }
            assertThat(MemberAdminClient.fetchView(admin).path("present").asInt())
                    .isEqualTo(1);
        }
        assertThatThrownBy(() -> MemberAdminClient.fetchView(admin))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("no answer");
    }

    @Test
    void idleConnectionsDoNotBlockOthers() throws Exception {
        int[] ports = freePorts();
        InetSocketAddress admin = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[2]);
        List<Socket> idle = new ArrayList<>();
        try (FleetMember member = newMember("a", ports[0], ports[1], ports[2], 1)) {
            member.start();
            for (int i = 0; i < 50; i++) {
                idle.add(new Socket(InetAddress.getLoopbackAddress(), ports[2]));
            }
            JsonNode view = null;
            while (view == null) {
                try {
                    view = MemberAdminClient.fetchView(admin);
                } catch (IOException e) {
                    Thread.sleep(5); // at capacity
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
