package rillyard.proxy;

import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import rillyard.operator.Figures;
import rillyard.operator.Operations;
import rillyard.operator.OperatorServer;
import rillyard.succession.OutFolder;
import rillyard.succession.Succession;

/**
 * The second address of a proxy and the folder in which its processes meet. Files are touched on the
 * server's thread only, and what they say is applied on the proxy's loop, in the same order: guards
 * against a call that is undone by a look at the folder from before it.
 */
final class Operator implements Operations, Closeable {
    /** How often (ms) the folder is looked at: well within the grace of a drain. */
    private static final long LOOK_MS = 150;

    private final OperatorServer server = new OperatorServer(this);
    private final EventLoop loop;
    private final Front front;
    private final Dispatcher dispatcher;
    private final Log log;
    private final OutFolder folder;
    private final Succession succession;
    private OutFolder.State seen;
    private volatile boolean listening;

    Operator(Path folder, EventLoop loop, Front front, Dispatcher dispatcher, Log log) throws IOException {
        this.loop = loop;
        this.front = front;
        this.dispatcher = dispatcher;
        this.log = log;
        this.folder = new OutFolder(folder);
        this.succession = new Succession(folder);
    }

    /** The folder of a proxy: that of all of its processes on this machine, and of no other's. */
    static Path folder(Map<String, String> env, Config config) {
        String tmp = env.get("TMPDIR");
        String own = config.name() + "-" + config.listen().getAddress().getHostAddress() + "-"
                + config.listen().getPort();
        return Path.of(tmp == null || tmp.isEmpty() ? System.getProperty("java.io.tmpdir") : tmp)
                .resolve("rillyard-" + own.replaceAll("[^A-Za-z0-9.-]", "_"));
    }

    /** Takes over what other processes left, and listens; throws what the bind throws. */
    InetSocketAddress start(InetSocketAddress at) throws Exception {
        look();
        InetSocketAddress bound = server.listen(at);
        server.every(LOOK_MS, this::upkeep);
        return bound;
    }

    /** Whether another process serves the same address. */
    boolean hasPredecessor() {
        return !succession.inCharge();
    }

    /** This process serves now. */
    void serving() throws IOException {
        succession.follow();
        listening = true;
    }

    /** Whether another process has come that serves, so that this one may go. */
    boolean hasSuccessor() {
        try {
            return succession.followed();
        } catch (IOException e) {
            return false; // an ordinary end is right in any case
        }
    }

    private void upkeep() {
        try {
            look();
            if (listening) {
                succession.follow();
            }
        } catch (IOException | RuntimeException e) {
            // Guards against a periodic task that ends for ever with its first exception.
            loop.execute(() -> log.line("the folder of hosts out by hand can't be used: " + e));
        }
    }

    private void look() throws IOException {
        OutFolder.State now = folder.read(System.currentTimeMillis());
        // Field by field: the equals of a record is linked at run time, which a start would pay for.
        if (seen == null || !now.out().equals(seen.out()) || !now.back().equals(seen.back())) {
            seen = now;
            loop.execute(() -> dispatcher.byHand(now));
        }
    }

    @Override
    public boolean ready() {
        return front.readyAsOfLate();
    }

    @Override
    public Figures figures() {
        return dispatcher.figures();
    }

    @Override
    public CompletionStage<Boolean> detach(String host, Executor files) {
        return byHand(host, true, files);
    }

    @Override
    public CompletionStage<Boolean> attach(String host, Executor files) {
        return byHand(host, false, files);
    }

    /** On the loop whether it is known; then kept in the folder; then done on the loop. */
    private CompletionStage<Boolean> byHand(String host, boolean out, Executor files) {
        return CompletableFuture.supplyAsync(() -> dispatcher.knows(host), loop)
                .thenApplyAsync(known -> known && keep(host, out), files)
                .thenApplyAsync(kept -> kept && dispatcher.byHand(host, out), loop);
    }

    private boolean keep(String host, boolean out) {
        try {
            if (out) {
                folder.takeOut(host);
            } else {
                folder.giveBack(host, System.currentTimeMillis());
            }
            return true;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        succession.close();
    }
}
