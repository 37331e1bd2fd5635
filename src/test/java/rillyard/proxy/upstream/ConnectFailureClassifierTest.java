package rillyard.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import rillyard.proxy.logging.ProxyLog;

/**
 * Guards against hosts that are ejected for connects that failed on this machine, and against failures of a host that
 * count as local.
 */
class ConnectFailureClassifierTest {
    private final SocketException noRoute = new SocketException("Network is unreachable");

    private final ConnectFailureClassifier classifier = new ConnectFailureClassifier(
            new ProxyLog(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)));
    private final UpstreamHost host = new UpstreamHost("a", 1);
    private final UpstreamHost other = new UpstreamHost("b", 2);

    @Test
    void refusedUnreachableOrTimedOutConnectIsHostFailure() {
        assertThat(classifier.isHostFailure(host, new ConnectException("Connection refused")))
                .isTrue();
        assertThat(classifier.isHostFailure(host, new ConnectTimeoutException("late")))
                .isTrue();
        assertThat(classifier.isHostFailure(host, new NoRouteToHostException("No route to host")))
                .isTrue();
    }

    @Test
    void resetConnectIsHostFailureAtOnce() {
        Throwable annotated = new SocketException("Connection reset by peer: /127.0.0.1:80"); // as Netty wraps it
        annotated.initCause(new SocketException("Connection reset by peer"));
        assertThat(classifier.isHostFailure(host, annotated)).isTrue();
    }

    @Test
    void lackOfPortsOrBuffersIsLocalAlsoIfAnotherHostIsReached() {
        for (int i = 0; i < 3; i++) {
            classifier.onReached(other);
            assertThat(classifier.isHostFailure(host, new SocketException("No buffer space available")))
                    .isFalse();
            // As Netty wraps it.
            Throwable annotated = new SocketException("Cannot assign requested address: /127.0.0.1:80");
            annotated.initCause(new BindException("Cannot assign requested address"));
            assertThat(classifier.isHostFailure(host, annotated)).isFalse();
        }
    }

    @Test
    void lackOfRouteToAllHostsIsLocal() {
        classifier.onReached(host);
        classifier.onReached(other);
        for (int i = 0; i < 5; i++) {
            assertThat(classifier.isHostFailure(host, noRoute)).isFalse();
            assertThat(classifier.isHostFailure(other, noRoute)).isFalse();
        }
    }

    @Test
    void lackOfRouteToOneHostIsHostFailureWhileAnotherIsReached() {
        assertThat(classifier.isHostFailure(host, noRoute)).isFalse();
        classifier.onReached(other);
        assertThat(classifier.isHostFailure(host, noRoute)).isTrue();
        assertThat(classifier.isHostFailure(host, noRoute)).isFalse(); // no other host was reached meanwhile
        classifier.onReached(host);
        classifier.onReached(other);
        assertThat(classifier.isHostFailure(host, noRoute)).isFalse(); // its first failure since it was reached
    }
}
