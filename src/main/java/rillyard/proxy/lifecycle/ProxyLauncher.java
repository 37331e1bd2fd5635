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

/** Launches the client proxy of a process, from its configuration to its shutdown by SIGTERM. */
public final class ProxyLauncher {
    /** The longest warm-up (ms): a slow core gets a proxy that is partly warm in time. */
    private static final long MAX_WARM_UP_MILLIS = 2_000;

    private ProxyLauncher() {}

    /**
     * Runs a client proxy as the environment describes it, until SIGTERM has been carried out.
     *
     * @throws ConfigException if there is no configuration to run with
     */
    public static void run(Map<String, String> env) throws ConfigException {
        run(env, null);
    }

    /**
     * Runs a client proxy that exchanges observations with others, until SIGTERM has been carried out.
     *
     * @param peerGossip null where there is none
     * @throws ConfigException if there is no configuration to run with
     */
    public static void run(Map<String, String> env, PeerGossip peerGossip) throws ConfigException {
        launch(env, MAX_WARM_UP_MILLIS, peerGossip).awaitEnd();
    }

    /**
     * Starts a proxy and returns once it is as warm as it gets within the given time.
     *
     * <p>A proxy without a predecessor listens before its warm-up, as a slow response is better than none. One with a
     * predecessor, which is warm, listens after it.
     */
    static ClientProxy launch(Map<String, String> env, long maxWarmUpMillis, PeerGossip peerGossip)
            throws ConfigException {
        StartupTimeline.mark("main");
        // Netty would look for two other libraries first, in a jar that holds neither.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ProxyConfig config = ProxyConfig.load(env);
        StartupTimeline.mark("settings");
        ProxyTrace trace = Boolean.getBoolean(ProxyTrace.PROPERTY) ? new ProxyTrace(System.err) : null;
        ProxyLog log = new ProxyLog(System.err, trace);
        ClientProxy proxy =
                new ClientProxy(config, log, EndpointListOptions.createGuard(System.getProperties()), peerGossip);
        drainAtShutdown(proxy); // before it listens, so that a signal never finds it without a drain
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
            proxy.awaitEnd();
            // The JVM's status of an end by SIGTERM is 143, and a drain that is done is a success.
            Runtime.getRuntime().halt(0);
        };
        Runtime.getRuntime().addShutdownHook(new Thread(drain, "drain"));
    }

    private static void warmUp(ProxyConfig config, long maxMillis, ProxyLog log) {
        try {
            new Warmup(config).run(maxMillis);
        } catch (Exception e) {
            log.error("warm-up: failed", e); // a proxy that is not warm serves as well
        }
    }
}
