package rillyard.proxy.lifecycle;

import java.util.Map;
import java.util.function.Consumer;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.logging.ProxyLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration on SIGHUP, on which the JVM would exit otherwise.
 *
 * <p>A configuration that can't be used is logged and changes nothing. The JVM handles each signal on a thread of its
 * own; reloads take turns, and each reads the file in its turn, so that the last one applies what is newest.
 */
public final class ConfigReload {
    private final Map<String, String> env;
    private final Consumer<ProxyConfig> proxy;
    private final ProxyLog log;

    /** Creates a reload of the file that {@code env} names, which is handed to {@code proxy}. */
    ConfigReload(Map<String, String> env, Consumer<ProxyConfig> proxy, ProxyLog log) {
        this.env = env;
        this.proxy = proxy;
        this.log = log;
    }

    /** Installs the signal handler; {@code env} names the file, as at the start. */
    public static void install(Map<String, String> env, ClientProxy proxy, ProxyLog log) {
        ConfigReload reload = new ConfigReload(env, proxy::reload, log);
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> reload.run());
        if (previous == SignalHandler.SIG_IGN) {
            // The JVM leaves a signal alone that was ignored when it started.
            log.info("configuration: SIGHUP is ignored by this process (nohup?), so that it can't be reloaded");
        }
    }

    /** Reads the configuration and hands it over. */
    synchronized void run() {
        try {
            proxy.accept(ProxyConfig.load(env));
            log.info("configuration: reloaded");
        } catch (ConfigException | RuntimeException e) {
            log.info("configuration: not reloaded, cause=" + e.getMessage());
        }
    }
}
