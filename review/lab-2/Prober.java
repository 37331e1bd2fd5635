package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The usual clients: each sends short requests one after the other on a connection, and checks each for the rule that
 * no request is lost: an answer not later than half a second after the client's time, with 50 ms of slack. A request on
 * a resting connection that the proxy closes is sent once more on a new one. The end of a new connection without an
 * answer is counted, but not held against the proxy.
 */
public final class Prober implements AutoCloseable {
    private static final int LATE_MILLIS = 550;

    private static final AtomicInteger CLIENTS = new AtomicInteger();

    private final Lab lab;
    private final InetSocketAddress proxy;
    private final String requestClass;
    private final int timeoutMillis;
    private final long pauseMillis;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger shut = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger worstMillis = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    public Prober(
            Lab lab, InetSocketAddress proxy, String requestClass, int timeoutMillis, int clients, long pauseMillis) {
        this.lab = lab;
        this.proxy = proxy;
        this.requestClass = requestClass;
        this.timeoutMillis = timeoutMillis;
        this.pauseMillis = pauseMillis;
        for (int i = 0; i < clients; i++) {
            int number = CLIENTS.incrementAndGet();
            Thread thread = new Thread(() -> run(number), "usual client " + number);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        lab.own(this);
    }

    private void run(int number) {
        String unread = null;
        for (int i = 0; !stopped; ) {
            try (Socket socket = new Socket()) {
                socket.connect(proxy, 5_000);
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                boolean fresh = true;
                while (open && !stopped) {
                    String id = unread != null ? unread : "u" + number + "-" + i++;
                    Result result = ask(socket, in, id, fresh);
                    unread = result == Result.SEND_AGAIN ? id : null;
                    open = result == Result.OPEN;
                    fresh = false;
                    if (unread == null) {
                        Thread.sleep(pauseMillis);
                    }
                }
            } catch (InterruptedException e) {
                return;
            } catch (Exception e) {
                lab.record("usual client %d: no connection: %s", number, e);
                return;
            }
        }
    }

    private enum Result {
        /** The connection may be used again. */
        OPEN,
        /** The connection has ended. */
        CLOSED,
        /** The connection was closed while it rested, before the request was read: it is sent once more on another. */
        SEND_AGAIN
    }

    private Result ask(Socket socket, InputStream in, String id, boolean fresh) {
        String request = "POST /" + requestClass + "/x HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Timeout-Ms: " + timeoutMillis
                + "\r\nContent-Length: 2\r\n\r\nhi";
        long sentNanos = System.nanoTime();
        String answer;
        boolean open = false;
        boolean ended = false;
        try {
            socket.setSoTimeout(timeoutMillis + LATE_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            sentNanos = System.nanoTime();
            Http.Head head = Http.readHead(in);
            if (head == null) {
                answer = "the connection was closed";
                ended = true;
            } else {
                answer = head.status() + " " + new String(Http.readBody(head, in), StandardCharsets.US_ASCII);
                open = !head.header("connection").equalsIgnoreCase("close");
            }
        } catch (SocketTimeoutException e) {
            answer = "no answer";
        } catch (IOException e) {
            answer = e.toString();
            ended = true;
        }
        if (ended && !fresh) {
            return Result.SEND_AGAIN;
        }
        if (ended) { // a new connection may be shut unread, and a client can't see whether it was read
            shut.incrementAndGet();
            lab.record("%s: a new connection has ended without an answer: %s", id, answer);
            return Result.CLOSED;
        }
        judge(id, answer, (System.nanoTime() - sentNanos) / 1_000_000);
        return open ? Result.OPEN : Result.CLOSED;
    }

    private void judge(String id, String answer, long millis) {
        sent.incrementAndGet();
        worstMillis.accumulateAndGet((int) millis, Math::max);
        boolean isAnswer = answer.matches("(?s)\\d{3} .*");
        boolean isForeign = answer.startsWith("200") && !answer.equals("200 for " + id);
        if (!isAnswer || millis > timeoutMillis + LATE_MILLIS || isForeign) {
            lost.incrementAndGet();
            lab.record("LOST %s, sent %d ms ago: %s", id, millis, answer);
        } else if (answer.startsWith("200")) {
            served.incrementAndGet();
        } else if (answer.startsWith("503") || answer.startsWith("429")) {
            refused.incrementAndGet();
        } else {
            failed.incrementAndGet();
        }
    }

    public int lost() {
        return lost.get();
    }

    public int served() {
        return served.get();
    }

    public int sent() {
        return sent.get();
    }

    public int refused() {
        return refused.get();
    }

    /** Answers a short request as {@link Prober} expects it. */
    public static byte[] answer(Host.Request request) {
        return Host.answer("200 OK", "for " + request.id());
    }

    /** Stops the clients and records what they got. */
    public void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(timeoutMillis + 2L * LATE_MILLIS);
        }
        lab.record(
                "usual clients: sent %d, served %d, refused %d, failed %d, shut unread %d, lost %d, longest %d ms",
                sent.get(), served.get(), refused.get(), failed.get(), shut.get(), lost.get(), worstMillis.get());
    }

    @Override
    public void close() {
        stopped = true;
    }
}
