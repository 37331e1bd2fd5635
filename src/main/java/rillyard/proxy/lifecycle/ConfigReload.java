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
 * Reloads the configuration on SIGHUP, which would otherwise terminate the JVM.
 *
 * <p>A configuration that can't be used is logged and changes nothing. The JVM handles each signal on a separate
 * thread; reloads are serialized, and each reads the file when it runs, so that the last one applies what is newest.
 */
public final class ConfigReload {
    private final Map<String, String> env;
    private final Consumer<ProxyConfig> configConsumer;
    private final ProxyLog log;

    /** Creates a reload that reads the file that {@code env} names and passes it to {@code configConsumer}. */
    ConfigReload(Map<String, String> env, Consumer<ProxyConfig> configConsumer, ProxyLog log) {
        this.env = env;
        this.configConsumer = configConsumer;
        this.log = log;
    }

    /** Installs the signal handler; {@code env} names the configuration file, as at the start of the process. */
    public static void install(Map<String, String> env, ClientProxy proxy, ProxyLog log) {
        ConfigReload reload = new ConfigReload(env, proxy::reload, log);
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> reload.run());
        if (previous == SignalHandler.SIG_IGN) {
            // The JVM installs no handler for a signal that was ignored when the process started.
            log.info("configuration: SIGHUP is ignored by this process (nohup?), so that it can't be reloaded");
        }
    }

    /** Reads and applies the configuration, and logs the result. */
    synchronized void run() {
        try {
            configConsumer.accept(ProxyConfig.load(env));
            log.info("configuration: reloaded");
        } catch (ConfigException | RuntimeException e) {
            log.info("configuration: not reloaded, cause=" + e.getMessage());
        }
    }
}
