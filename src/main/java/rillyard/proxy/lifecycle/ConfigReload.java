package rillyard.proxy.lifecycle;

import java.util.Map;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.logging.ProxyLog;
import sun.misc.Signal;

/**
 * Reloads the configuration on SIGHUP, on which the JVM would exit otherwise.
 *
 * <p>A configuration that can't be used is logged and changes nothing.
 */
public final class ConfigReload {
    private ConfigReload() {}

    /** Installs the signal handler; {@code env} names the file, as at the start. */
    public static void install(Map<String, String> env, ClientProxy proxy, ProxyLog log) {
        Signal.handle(new Signal("HUP"), signal -> {
            try {
                proxy.reload(ProxyConfig.load(env));
                log.info("configuration: reloaded");
            } catch (ConfigException | RuntimeException e) {
                log.info("configuration: not reloaded, cause=" + e.getMessage());
            }
        });
    }
}
