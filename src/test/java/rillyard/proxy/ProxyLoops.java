package rillyard.proxy;

import java.util.concurrent.TimeUnit;

/** Gives tests of other packages access to the event loop of a proxy. */
public final class ProxyLoops {
    private ProxyLoops() {}

    /** Ends the event loop behind the proxy's back. */
    public static void end(ClientProxy proxy) {
        proxy.loop().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
