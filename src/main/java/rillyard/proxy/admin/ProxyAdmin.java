package rillyard.proxy.admin;

import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
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
 * The admin endpoint of a proxy and the directory through which its processes cooperate in a hot restart.
 *
 * <p>Files are accessed on the admin server's thread only, and their contents are applied on the proxy's event loop in
 * the same order, so that an operator's call is not undone by an earlier read of the directory.
 */
public final class ProxyAdmin implements AdminOperations, Closeable {
    /** Interval at which the directory is read, well within the grace time of a drain. */
    private static final long MAINTENANCE_PERIOD_MS = 150;

    private final AdminServer server;
    private final EventLoop loop;
    private final ClientListener clientListener;
    private final BalancerDriver driver;
    private final ProxyLog log;
    private final DisabledHostStore disabledHostStore;
    private final HotRestartLock restartLock;
    private DisabledHostStore.Contents lastContents;
    private volatile boolean isListening;

    /**
     * Joins the processes that share the directory.
     *
     * @param directory see {@link #hotRestartDirectory}
     * @param loop the event loop of the proxy
     * @throws IOException if the directory can't be used
     */
    public ProxyAdmin(
            Path directory, EventLoop loop, ClientListener clientListener, BalancerDriver driver, ProxyLog log)
            throws IOException {
        this.loop = loop;
        this.clientListener = clientListener;
        this.driver = driver;
        this.log = log;
        this.server = new AdminServer(this, log::info);
        this.disabledHostStore = new DisabledHostStore(directory);
        this.restartLock = new HotRestartLock(directory);
    }

    /** Returns the directory that is shared by the processes of this proxy on this machine and by no others. */
    public static Path hotRestartDirectory(Map<String, String> env, ProxyConfig config) {
        String temporary = env.get("TMPDIR");
        String proxyKey = config.name() + "-" + config.listen().getAddress().getHostAddress() + "-"
                + config.listen().getPort();
        return Path.of(temporary == null || temporary.isEmpty() ? System.getProperty("java.io.tmpdir") : temporary)
                .resolve("rillyard-" + proxyKey.replaceAll("[^A-Za-z0-9.-]", "_"));
    }

    /**
     * Applies the disabled hosts that are stored in the directory, and listens.
     *
     * @return the bound address
     * @throws Exception if the directory can't be read or the address can't be bound
     */
    public InetSocketAddress start(InetSocketAddress address) throws Exception {
        applyStoredHosts();
        InetSocketAddress bound = server.listen(address);
        server.schedulePeriodically(MAINTENANCE_PERIOD_MS, this::runMaintenance);
        return bound;
    }

    /** Returns whether another process was serving the same address when this one started. */
    public boolean hasPredecessor() {
        return !restartLock.isActive();
    }

    /**
     * Records that this process listens, so that an earlier one can shut down.
     *
     * @throws IOException if the directory can't be used
     */
    public void onListening() throws IOException {
        restartLock.becomeStandby();
        isListening = true;
    }

    /** Returns whether a later process listens, so that this one can shut down; false if that can't be determined. */
    public boolean hasSuccessor() {
        try {
            return restartLock.hasStandby();
        } catch (IOException ignored) {
            return false; // an ordinary shutdown is correct in any case
        }
    }

    private void runMaintenance() {
        try {
            applyStoredHosts();
            if (isListening) {
                restartLock.becomeStandby();
            }
        } catch (IOException | RuntimeException e) {
            // An exception would cancel the periodic task.
            loop.execute(() -> log.info("hot restart: directory can't be used, cause=" + e));
        }
    }

    private void applyStoredHosts() throws IOException {
        DisabledHostStore.Contents contents =
                disabledHostStore.read(System.currentTimeMillis(), driver.steadyUnixMillis());
        // Compared by field: the equals of a record is linked at run time, which would slow down the start.
        if (lastContents == null
                || !contents.disabled().equals(lastContents.disabled())
                || !contents.enabledAtUnixMillis().equals(lastContents.enabledAtUnixMillis())) {
            lastContents = contents;
            loop.execute(() -> driver.setDisabled(contents));
        }
    }

    @Override
    public boolean isReady() {
        return clientListener.wasRecentlyReady();
    }

    @Override
    public ProxyMetrics metrics() {
        return driver.metrics();
    }

    @Override
    public CompletionStage<Boolean> detach(String host, Executor fileExecutor) {
        return setDisabled(host, true, fileExecutor);
    }

    @Override
    public CompletionStage<Boolean> attach(String host, Executor fileExecutor) {
        return setDisabled(host, false, fileExecutor);
    }

    /** Checks on the loop that the host is known, stores the change, and applies it on the loop. */
    private CompletionStage<Boolean> setDisabled(String host, boolean disabled, Executor fileExecutor) {
        return CompletableFuture.supplyAsync(() -> driver.isKnownHost(host), loop)
                .thenApplyAsync(known -> known && store(host, disabled), fileExecutor)
                .thenApplyAsync(stored -> stored && driver.setDisabled(host, disabled), loop);
    }

    private boolean store(String host, boolean disabled) {
        try {
            if (disabled) {
                disabledHostStore.disable(host);
            } else {
                disabledHostStore.enable(host, System.currentTimeMillis());
            }
            return true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        restartLock.close();
    }
}
