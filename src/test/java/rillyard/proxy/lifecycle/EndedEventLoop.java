package rillyard.proxy.lifecycle;

import rillyard.proxy.ClientProxy;
import rillyard.proxy.ProxyLoops;
import rillyard.proxy.config.ConfigException;

/** A program that runs a proxy whose event loop ends as soon as it is ready. */
final class EndedEventLoop {
    private EndedEventLoop() {}

    public static void main(String[] args) throws ConfigException {
        ClientProxy proxy = ProxyLauncher.launch(System.getenv(), 0, null);
        ProxyLoops.end(proxy);
        proxy.awaitEnd();
        throw new IllegalStateException("the process outlives its event loop");
    }
}
