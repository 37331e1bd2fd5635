package rillyard.proxy.admin;

import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import rillyard.admin.AdminOperations;
import rillyard.admin.AdminServer;
import rillyard.admin.ProxyMetrics;
import rillyard.hotrestart.DisabledHostStore;
import rillyard.hotrestart.HotRestartLock;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.downstream.ClientListener;
import rillyard.proxy.logging.ProxyLog;

/**
 * The second address of a proxy and the folder in which its processes meet. Files are touched on the
 * server's thread only, and what they say is applied on the proxy's loop, in the same order: guards
 * against a call that is undone by a look at the folder from before it.
 */
public final class ProxyAdmin implements AdminOperations, Closeable {
    /** How often (ms) the folder is looked at: well within the grace of a drain. */
    private static final long LOOK_MS = 150;

    private final AdminServer server = new AdminServer(this);
    private final EventLoop loop;
    private final ClientListener front;
    private final BalancerDriver dispatcher;
    private final ProxyLog log;
    private final DisabledHostStore folder;
    private final HotRestartLock succession;
    private DisabledHostStore.Contents seen;
    private volatile boolean listening;

    public ProxyAdmin(Path folder, EventLoop loop, ClientListener front, BalancerDriver dispatcher, ProxyLog log)
            throws IOException {
        this.loop = loop;
        this.front = front;
        this.dispatcher = dispatcher;
        this.log = log;
        this.folder = new DisabledHostStore(folder);
        this.succession = new HotRestartLock(folder);
    }

    /** The folder of a proxy: that of all of its processes on this machine, and of no other's. */
    public static Path hotRestartDirectory(Map<String, String> env, ProxyConfig config) {
        String tmp = env.get("TMPDIR");
        String own = config.name() + "-" + config.listen().getAddress().getHostAddress() + "-"
                + config.listen().getPort();
        return Path.of(tmp == null || tmp.isEmpty() ? System.getProperty("java.io.tmpdir") : tmp)
                .resolve("rillyard-" + own.replaceAll("[^A-Za-z0-9.-]", "_"));
    }

    /** Takes over what other processes left, and listens; throws what the bind throws. */
    public InetSocketAddress start(InetSocketAddress at) throws Exception {
        look();
        InetSocketAddress bound = server.listen(at);
        server.schedulePeriodically(LOOK_MS, this::upkeep);
        return bound;
    }

    /** Whether another process serves the same address. */
    public boolean hasPredecessor() {
        return !succession.isActive();
    }

    /** This process serves now. */
    public void onListening() throws IOException {
        succession.becomeStandby();
        listening = true;
    }

    /** Whether another process has come that serves, so that this one may go. */
    public boolean hasSuccessor() {
        try {
            return succession.hasStandby();
        } catch (IOException e) {
            return false; // an ordinary end is right in any case
        }
    }

    private void upkeep() {
        try {
            look();
            if (listening) {
                succession.becomeStandby();
            }
        } catch (IOException | RuntimeException e) {
            // Guards against a periodic task that ends for ever with its first exception.
            loop.execute(() -> log.info("the folder of hosts out by hand can't be used: " + e));
        }
    }

    private void look() throws IOException {
        DisabledHostStore.Contents now = folder.read(System.currentTimeMillis());
        // Field by field: the equals of a record is linked at run time, which a start would pay for.
        if (seen == null
                || !now.disabled().equals(seen.disabled())
                || !now.enabledAtUnixMillis().equals(seen.enabledAtUnixMillis())) {
            seen = now;
            loop.execute(() -> dispatcher.setDisabled(now));
        }
    }

    @Override
    public boolean isReady() {
        return front.wasRecentlyReady();
    }

    @Override
    public ProxyMetrics metrics() {
        return dispatcher.metrics();
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
        return CompletableFuture.supplyAsync(() -> dispatcher.isKnownHost(host), loop)
                .thenApplyAsync(known -> known && keep(host, out), files)
                .thenApplyAsync(kept -> kept && dispatcher.setDisabled(host, out), loop);
    }

    private boolean keep(String host, boolean out) {
        try {
            if (out) {
                folder.disable(host);
            } else {
                folder.enable(host, System.currentTimeMillis());
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
