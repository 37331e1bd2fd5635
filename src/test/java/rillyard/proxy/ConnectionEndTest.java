package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.SocketException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The instants in which something ends while something is still owed; see docs/design/endings.md. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ConnectionEndTest {
    private static final long FAR_NANOS = 20_000_000_000L;

    private static Consumer<ObjectNode> limits(Consumer<ObjectNode> change) {
        return config -> change.accept((ObjectNode) config.get("settings").get("limits"));
    }

    /** Waits for something that is true on the proxy's loop, as it can be asked there only. */
    private static void await(ProxyFixture rig, Callable<Boolean> what) throws Exception {
        long until = System.nanoTime() + FAR_NANOS;
        while (!rig.proxy.loop().submit(what).get()) {
            assertThat(System.nanoTime()).as("time is up").isLessThan(until);
            Thread.sleep(1);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitRequests(ProxyFixture rig, int n) throws Exception {
        await(rig, () -> rig.proxy.openRequests() == n);
    }

    /** Ends the watch and waits for the next, so that all that was told before has been applied. */
    private static void awaitApplied(ProxyFixture rig) throws Exception {
        rig.news.add("");
        while (!rig.watches.poll(20, TimeUnit.SECONDS).contains("since=2 ")) {
            continue;
        }
    }

    @Test
    void aRepeatWhoseConnectionIsNotUpByTheEndOfItsWindowIsGivenUp() throws Exception {
        repeatAtALateConnection((rig, late, client) -> {
            assertThat(client.read().status()).isEqualTo(502); // 504 by the deadline of 15 s
            awaitRequests(rig, 0);
        });
    }

    @Test
    void aConnectionThatIsUpAheadOfTheTimerThatEndsItsWindowGetsNothing() throws Exception {
        repeatAtALateConnection((rig, late, client) -> {
            CountDownLatch open = rig.blockLoop();
            late.makeRoom(); // it is up a second after it was begun: past the window of 750 ms
            try (TestPeer host = late.accept()) {
                open.countDown();
                assertThat(host.read()).isNull();
            }
            assertThat(client.read().status()).isEqualTo(502);
        });
    }

    private interface LateRepeat {
        void check(ProxyFixture rig, LateConnectServer late, TestPeer client) throws Exception;
    }

    /** A keyed request has failed at one host, and the connection for its repeat at another is on its way. */
    private static void repeatAtALateConnection(LateRepeat then) throws Exception {
        try (LateConnectServer late = new LateConnectServer()) {
            ProxyFixture[] rig = new ProxyFixture[1];
            ScriptedServer first = ScriptedServer.host(message -> {
                rig[0].tell(2, false, ProxyFixture.server("b", late.port()));
                awaitApplied(rig[0]); // the repeat has somewhere to go
                return ScriptedServer.status(500, "");
            });
            try (first;
                    ProxyFixture made = new ProxyFixture(
                            limits(l -> l.put("connectTimeout", 15_000)), ProxyFixture.server("a", first.port()));
                    TestPeer client = made.client()) {
                rig[0] = made;
                client.write(ProxyFixture.post("log", 15_000, "Idempotency-Key: k\r\n", "x")); // its window is 750 ms
                first.request();
                await(made, () -> made.proxy.hostConnections() == 2);
                then.check(made, late, client);
            }
        }
    }

    @Test
    void nothingBeginsForAClientThatLeftWhileItsConnectionWasComingUp() throws Exception {
        try (LateConnectServer late = new LateConnectServer();
                ProxyFixture rig = new ProxyFixture( // nothing else can end the attempt, and it may not be called off
                        limits(l -> l.put("connectTimeout", 600_000).put("cancel", false)),
                        ProxyFixture.server("a", late.port()))) {
            try (TestPeer client = rig.client()) {
                client.write(ProxyFixture.post("claim", 600_000, "", "x"));
                awaitRequests(rig, 1);
            }
            awaitRequests(rig, 0);
        }
    }

    @Test
    void theEndOfAConnectionIsSeenBehindRequestsSentAhead() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.awaitEnd();
            ended.countDown();
        });
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            try (TestPeer client = rig.client()) {
                client.write(ProxyFixture.post("claim", 600_000, "", "first"));
                host.accepted();
                client.write(ProxyFixture.post("claim", 600_000, "", "second"));
                client.write(ProxyFixture.post("claim", 600_000, "", "third " + "x".repeat(10_000)));
            }
            ended.await(); // the first is called off
            awaitRequests(rig, 0);
            assertThat(host.acceptedMore()).isFalse(); // and the others never begun
        }
    }

    @Test
    void aResetOfTheClientsEndsItsAttempt() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.awaitEnd();
            ended.countDown();
        });
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(ProxyFixture.post("claim", 600_000, "", "x"));
            host.accepted();
            client.reset();
            ended.await();
            awaitRequests(rig, 0);
        }
    }

    @Test
    void aRequestBehindTheLastAnswerOfAConnectionIsSentNowhere() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok(message.text()));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "Connection: close\r\n", "last")
                    + ProxyFixture.post("claim", 20_000, "", "behind"));
            assertThat(client.read().text()).isEqualTo("last");
            assertThat(client.read()).isNull();
            await(rig, () -> rig.proxy.clientConnections() == 0);
            assertThat(host.requests).extracting(TestPeer.Message::text).containsExactly("last");
        }
    }

    @Test
    void manyRequestsSentAheadAreAnsweredInOrderHoweverTheyAreCut() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok(message.text()));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            int n = 200; // 60 kB: more than is held
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < n; i++) {
                all.append(ProxyFixture.post("claim", 20_000, "", "r" + i + "x".repeat(150)));
            }
            CountDownLatch open = rig.blockLoop();
            Thread writer = new Thread(() -> {
                try {
                    for (int from = 0; from < all.length(); from += 777) {
                        client.write(all.substring(from, Math.min(all.length(), from + 777)));
                    }
                } catch (java.io.IOException e) {
                    // the reads below fail
                }
            });
            writer.start();
            open.countDown();
            for (int i = 0; i < n; i++) {
                assertThat(client.read().text()).startsWith("r" + i + "x");
            }
            writer.join();
        }
    }

    @Test
    void aRequestThatCrossesTheEndOfAnIdleConnectionIsSentNowhereAndNoResetAnswersIt() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(ProxyFixture.post("claim", 800, "", "first"));
            assertThat(client.read().status()).isEqualTo(200);
            // The drain ends the sending, and the loop does nothing more until the client has written.
            CountDownLatch begin = rig.blockLoop();
            rig.proxy.drain();
            CountDownLatch goOn = new CountDownLatch(1);
            rig.proxy.loop().execute(() -> awaitQuietly(goOn));
            begin.countDown();
            assertThat(client.read()).as("the end of the sending").isNull();
            client.write(ProxyFixture.post("claim", 800, "", "late"));
            client.write(ProxyFixture.post("claim", 800, "", "later")); // fails where the first was answered by a reset
            goOn.countDown();
            client.socket.shutdownOutput();
            rig.proxy.awaitEnd();
            assertThat(host.requests).extracting(TestPeer.Message::text).containsExactly("first");
        }
    }

    @Test
    void aConnectionThatMakesRoomTakesNoAnswerWithIt() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(
                        config -> ((ObjectNode) config.get("limits")).put("sockets", 64),
                        ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "", "first"));
            host.request();
            await(rig, () -> rig.proxy.openRequests() == 0);
            // The answer lies unread at its client while others take its place.
            TestPeer[] more = new TestPeer[40];
            for (int i = 0; i < more.length; i++) {
                more[i] = rig.client();
            }
            assertThat(client.read().text()).isEqualTo("x");
            assertThat(client.read()).isNull();
            for (TestPeer peer : more) {
                peer.close();
            }
        }
    }

    /** The platform kills 3.7 s after SIGTERM at the latest, whatever the longest deadline is. */
    @ParameterizedTest
    @ValueSource(ints = {1_200, 600_000})
    void whatADrainStillHoldsIsAnsweredBeforeTheEnd(int longest) throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    never.await();
                    return "";
                });
                ProxyFixture rig = new ProxyFixture(
                        config -> ((ObjectNode) config.at("/settings/classes/1")).put("deadline", longest),
                        ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(ProxyFixture.post("claim", 600_000, "", "x")); // far longer than a drain may take
            host.request();
            rig.proxy.drain();
            TestPeer.Message answer = client.read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.header("Connection")).isEqualTo("close");
            rig.proxy.awaitEnd();
            never.countDown();
        }
    }

    @Test
    void aLineCutOffWithinAnAnswerAheadOfACloseIsNoAnswer() throws Exception {
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nContent-Le");
        });
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            assertThat(rig.call(ProxyFixture.post("claim", 20_000, "", "x")).status())
                    .isEqualTo(502);
        }
    }

    @Test
    void anAnswerWithoutALengthThatIsResetOnceItIsPassedOnIsSeenToBeCut() throws Exception {
        CountDownLatch passed = new CountDownLatch(1);
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(70_000));
            passed.await();
            peer.reset();
        });
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "", "x"));
            assertThat(client.readHead()).contains("200");
            passed.countDown();
            boolean whole = false;
            try {
                String line;
                while ((line = client.readLine()) != null) {
                    whole |= line.equals("0"); // the last chunk
                }
            } catch (SocketException e) {
                // a reset tells the client as well
            }
            assertThat(whole).isFalse();
        }
    }
}
