package rillyard.proxy;

import java.util.Map;
import sun.misc.Signal;

/**
 * Has SIGHUP mean that the file of the configuration was replaced. Guards against the JVM's own
 * answer to that signal, which is to end. A file that can't be used leaves all as it is: a proxy
 * with an old configuration serves, one that ended does not.
 */
final class Reload {
    private Reload() {}

    static void onHangUp(Map<String, String> env, Proxy proxy, Log log) {
        Signal.handle(new Signal("HUP"), s -> {
            try {
                proxy.reload(Config.load(env));
                log.line("configuration reloaded");
            } catch (ConfigException | RuntimeException e) {
                log.line("configuration not reloaded: " + e.getMessage());
            }
        });
    }
}
