package rillyard.proxy.lifecycle;

import java.util.Map;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.logging.ProxyLog;
import sun.misc.Signal;

/**
 * Has SIGHUP mean that the file of the configuration was replaced. Guards against the JVM's own
 * answer to that signal, which is to end. A file that can't be used leaves all as it is: a proxy
 * with an old configuration serves, one that ended does not.
 */
public final class ConfigReload {
    private ConfigReload() {}

    public static void onHangUp(Map<String, String> env, ClientProxy proxy, ProxyLog log) {
        Signal.handle(new Signal("HUP"), s -> {
            try {
                proxy.reload(ProxyConfig.load(env));
                log.info("configuration reloaded");
            } catch (ConfigException | RuntimeException e) {
                log.info("configuration not reloaded: " + e.getMessage());
            }
        });
    }
}
