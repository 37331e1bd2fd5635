package rillyard.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that a failed accept delays the next calls of the admin endpoint by a few ms only.
 *
 * <p>Guards against Netty's own acceptor, which pauses for a second after each failure.
 */
@Timeout(30)
class AcceptBackoffTest {
    /** Maximum duration of a call; half the pause of Netty's own acceptor. */
    private static final long MAX_CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final class ReadyProxy implements AdminOperations {
        @Override
        public boolean isReady() {
            return true;
        }

        @Override
        public ProxyMetrics metrics() {
            return new ProxyMetrics(List.of());
        }

        @Override
        public CompletionStage<Boolean> detach(String host, Executor fileExecutor) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletionStage<Boolean> attach(String host, Executor fileExecutor) {
            return CompletableFuture.completedFuture(false);
        }
    }

    @Test
    void callAfterFailedAcceptIsAnsweredAtOnce() throws Exception {
        BlockingQueue<String> log = new LinkedBlockingQueue<>();
        try (AdminServer server = new AdminServer(new ReadyProxy(), log::add)) {
            InetSocketAddress address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            call(address); // loads the classes
            for (int i = 0; i < 3; i++) {
                server.serverChannel().pipeline().fireExceptionCaught(new IOException("Too many open files"));
                long calledAtNanos = System.nanoTime();
                call(address);
                assertThat(System.nanoTime() - calledAtNanos).isLessThan(MAX_CALL_NANOS);
            }
            assertThat(log)
                    .containsExactly("admin: accept failed, count=1 cause=java.io.IOException: Too many open files");
        }
    }

    private static void call(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream()
                    .write("GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read()).isEqualTo('H');
        }
    }
}
