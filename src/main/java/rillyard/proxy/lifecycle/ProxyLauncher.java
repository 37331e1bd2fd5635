package rillyard.proxy.lifecycle;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointListOptions;
import rillyard.proxy.dispatch.PeerGossip;
import rillyard.proxy.logging.ProxyLog;
import rillyard.trace.ProxyTrace;

/** Runs the client proxy of a process, from reading its configuration to its shutdown on SIGTERM. */
public final class ProxyLauncher {
    /** Longest warm-up (ms); on a slow core the proxy is ready in time, but only partly warmed up. */
    private static final long MAX_WARM_UP_MILLIS = 2_000;

    /** Exit status of a process whose event loop has failed. */
    private static final int LOOP_FAILED_STATUS = 1;

    private ProxyLauncher() {}

    /**
     * Runs a client proxy, configured by the environment, until it has shut down on SIGTERM.
     *
     * @throws ConfigException if the proxy can't be started as configured
     */
    public static void run(Map<String, String> env) throws ConfigException {
        run(env, null);
    }

    /**
     * Runs a client proxy that exchanges observations with others, until it has shut down on SIGTERM.
     *
     * @param peerGossip exchanges observations with other proxies; null for none
     * @throws ConfigException if the proxy can't be started as configured
     */
    public static void run(Map<String, String> env, PeerGossip peerGossip) throws ConfigException {
        launch(env, MAX_WARM_UP_MILLIS, peerGossip).awaitEnd();
    }

    /**
     * Starts a proxy and returns when it is ready, after a warm-up of at most {@code maxWarmUpMillis}.
     *
     * <p>A proxy without a predecessor listens before its warm-up, as a slow response is better than none. With a
     * predecessor, which is warmed up and serves meanwhile, it listens after its warm-up.
     */
    static ClientProxy launch(Map<String, String> env, long maxWarmUpMillis, PeerGossip peerGossip)
            throws ConfigException {
        StartupTimeline.mark("main");
        // Netty would first look for two other logging libraries, which the jar doesn't contain.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ProxyConfig config = ProxyConfig.load(env);
        StartupTimeline.mark("settings");
        ProxyTrace trace = Boolean.getBoolean(ProxyTrace.PROPERTY) ? new ProxyTrace(System.err) : null;
        ProxyLog log = new ProxyLog(System.err, trace);
        ClientProxy proxy =
                new ClientProxy(config, log, EndpointListOptions.createGuard(System.getProperties()), peerGossip);
        exitOnLoopFailure(proxy);
        drainAtShutdown(proxy); // before it listens, so that SIGTERM always drains it
        StartupTimeline.mark("loop");
        proxy.setWarmingUp();
        proxy.startAdmin(env);
        proxy.startWatch();
        boolean hasPredecessor = proxy.hasPredecessor();
        if (!hasPredecessor) {
            proxy.listen();
        }
        StartupTimeline.mark("listening");
        ConfigReload.install(env, proxy, log);
        StartupTimeline.mark("warm-up");
        warmUp(config, maxWarmUpMillis, log);
        if (hasPredecessor) {
            proxy.listen();
        }
        proxy.onReady();
        StartupTimeline.mark("ready");
        return proxy;
    }

    private static void drainAtShutdown(ClientProxy proxy) {
        Runnable drain = () -> {
            proxy.drain();
            if (proxy.awaitEnd()) {
                // The JVM would exit with status 143 on SIGTERM, but a completed drain is a success.
                Runtime.getRuntime().halt(0);
            }
        };
        Runtime.getRuntime().addShutdownHook(new Thread(drain, "drain"));
    }

    /** Ends the process if its event loop ends by a failure, so that a supervisor can start another. */
    private static void exitOnLoopFailure(ClientProxy proxy) {
        proxy.onLoopFailure(() -> {
            try {
                System.err.println("rillyard: proxy: event loop failed, the process ends");
            } finally { // after an OutOfMemoryError as well
                Runtime.getRuntime().halt(LOOP_FAILED_STATUS);
            }
        });
    }

    private static void warmUp(ProxyConfig config, long maxMillis, ProxyLog log) {
        try {
            new Warmup(config).run(maxMillis);
        } catch (Exception e) {
            log.error("warm-up: failed", e); // a proxy without warm-up serves as well
        }
    }
}
