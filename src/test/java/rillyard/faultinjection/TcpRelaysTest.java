package rillyard.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests relays with an echo host that two processes call, each through a relay of its own. */
@Timeout(30)
class TcpRelaysTest {
    private static final FleetProcess A = FleetProcess.of(0, 2, 1);
    private static final FleetProcess B = FleetProcess.of(1, 2, 1);

    private final TcpRelays relays = new TcpRelays();
    /** Number of connections that ended without a byte. */
    private final AtomicInteger empty = new AtomicInteger();

    private ServerSocket host;
    private InetSocketAddress wayA;
    private InetSocketAddress wayB;

    @BeforeEach
    void open() throws Exception {
        listen(0);
        InetSocketAddress at = (InetSocketAddress) host.getLocalSocketAddress();
        wayA = relays.open(A, InetAddress.getByName("127.0.0.2"), "s-0", "a", at);
        wayB = relays.open(B, InetAddress.getByName("127.0.0.3"), "s-0", "a", at);
    }

    private void listen(int port) throws IOException {
        ServerSocket at = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        host = at;
        Thread thread = new Thread(() -> serve(at));
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(ServerSocket at) {
        try {
            while (true) {
                Socket socket = at.accept();
                Thread thread = new Thread(() -> {
                    try (socket) {
                        if (socket.getInputStream().transferTo(socket.getOutputStream()) == 0) {
                            empty.incrementAndGet();
                        }
                    } catch (IOException e) {
                        // reset
                    }
                });
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    @AfterEach
    void close() throws IOException {
        relays.close();
        host.close();
    }

    private static InjectedFault fault(InjectedFault.Kind kind, double lateMs) {
        return new InjectedFault(
                0,
                kind,
                new ProcessPattern("m0"),
                new ProcessPattern("all"),
                new HostPattern("zone:a"),
                false,
                1_000,
                0,
                lateMs);
    }

    private static int echo(Socket socket) throws IOException {
        socket.getOutputStream().write(7);
        return socket.getInputStream().read();
    }

    private static Socket call(InetSocketAddress way) throws IOException {
        Socket socket = new Socket(way.getAddress(), way.getPort());
        socket.setSoTimeout(300);
        return socket;
    }

    @Test
    void silentFaultBlocksOneProcessUntilItEnds() throws Exception {
        try (Socket open = call(wayA);
                Socket other = call(wayB)) {
            assertThat(echo(open)).isEqualTo(7);
            InjectedFault injectedFault = fault(InjectedFault.Kind.SILENT, 0);
            relays.begin(injectedFault);
            try (Socket fresh = call(wayA)) {
                assertThatThrownBy(() -> echo(fresh)).isInstanceOf(SocketTimeoutException.class);
                assertThatThrownBy(() -> echo(open)).isInstanceOf(SocketTimeoutException.class);
                assertThat(echo(other)).isEqualTo(7);
                relays.end(injectedFault);
                open.setSoTimeout(10_000);
                fresh.setSoTimeout(10_000);
                assertThat(open.getInputStream().read()).isEqualTo(7);
                assertThat(fresh.getInputStream().read()).isEqualTo(7);
            }
        }
    }

    @Test
    void resetFaultEndsOpenAndNewConnections() throws Exception {
        try (Socket open = call(wayA);
                Socket other = call(wayB)) {
            assertThat(echo(open)).isEqualTo(7);
            relays.begin(fault(InjectedFault.Kind.RESET, 0));
            assertThatThrownBy(() -> open.getInputStream().read()).hasMessageContaining("reset");
            assertThatThrownBy(() -> {
                        try (Socket fresh = call(wayA)) {
                            echo(fresh);
                            fresh.getInputStream().read();
                        }
                    })
                    .isInstanceOf(IOException.class);
            assertThat(echo(other)).isEqualTo(7);
        }
    }

    @Test
    void refusedFaultKeepsOpenConnectionsAndEnds() throws Exception {
        try (Socket open = call(wayA)) {
            assertThat(echo(open)).isEqualTo(7);
            InjectedFault injectedFault = fault(InjectedFault.Kind.REFUSED, 0);
            relays.begin(injectedFault);
            awaitRefusal(wayA);
            assertThat(echo(open)).isEqualTo(7);
            call(wayB).close();
            relays.end(injectedFault);
            awaitWay(wayA);
        }
    }

    @Test
    void relayOfStoppedHostRefusesConnections() throws Exception {
        int port = host.getLocalPort();
        host.close();
        try (Socket first = call(wayB)) { // detects that the host is down
            assertThatThrownBy(() -> {
                        echo(first);
                        first.getInputStream().read();
                    })
                    .isInstanceOf(IOException.class);
        }
        awaitRefusal(wayB);
        listen(port);
        awaitWay(wayB);
    }

    @Test
    void relaysOfStoppedHostShareReconnectAttempts() throws Exception {
        InetSocketAddress at = (InetSocketAddress) host.getLocalSocketAddress();
        List<InetSocketAddress> ways = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            FleetProcess process = FleetProcess.of(10 + i, 1, 1);
            ways.add(relays.open(process, InetAddress.getByName("127.0.0." + (10 + i)), "s-0", "a", at));
        }
        host.close();
        for (InetSocketAddress way : ways) {
            awaitRefusal(way);
        }
        listen(at.getPort());
        for (InetSocketAddress way : ways) {
            awaitWay(way);
        }
        relays.close(); // closes the remaining connections
        assertThat(empty.get()).isLessThan(5);
    }

    @Test
    void slowFaultDelaysBytesInOrder() throws Exception {
        relays.begin(fault(InjectedFault.Kind.SLOW, 60));
        try (Socket socket = call(wayA)) {
            socket.setSoTimeout(10_000);
            long from = System.nanoTime();
            socket.getOutputStream().write(new byte[] {1, 2, 3});
            assertThat(socket.getInputStream().readNBytes(3)).containsExactly(1, 2, 3);
            assertThat(System.nanoTime() - from).isGreaterThan(119_000_000L);
        }
    }

    private static void awaitRefusal(InetSocketAddress way) throws Exception {
        while (true) {
            try {
                call(way).close();
                Thread.sleep(5);
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                // accepted just as the relay was closed, and reset
            }
        }
    }

    private static void awaitWay(InetSocketAddress way) throws Exception {
        while (true) {
            try (Socket socket = call(way)) {
                if (echo(socket) == 7) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
    }
}
