package rillyard.faultinjection;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rillyard.scheduling.EventLoops;

/**
 * The relays from each process of a fault-injection run to each host and to discovery. Thread-safe; the relays run on
 * one event loop.
 */
final class TcpRelays implements AutoCloseable {
    private final EventLoopGroup group = EventLoops.group(1, "host-relays");
    private final EventLoop loop = group.next();
    private final ConnectionFaults faults = new ConnectionFaults();
    private final Map<InetSocketAddress, RelayTarget> targets = new HashMap<>();
    /** Relay addresses by the process's address and the host's. */
    private final Map<InetAddress, Map<String, String>> relayAddresses = new HashMap<>();

    /**
     * Opens the relay from a process to a host.
     *
     * @param processAddress the process's own address
     * @return the address to which the process connects
     * @throws Exception if the bind fails
     */
    synchronized InetSocketAddress open(
            FleetProcess process, InetAddress processAddress, String host, String zone, InetSocketAddress target)
            throws Exception {
        RelayTarget relayTarget =
                targets.computeIfAbsent(target, address -> new RelayTarget(host, zone, address, loop));
        TcpRelay relay = new TcpRelay(process, relayTarget, loop, faults);
        relay.open(processAddress);
        relayAddresses
                .computeIfAbsent(processAddress, a -> new HashMap<>())
                .put(format(target), format(relay.address()));
        return relay.address();
    }

    /**
     * Returns the address that discovery announces to a process for a host: the relay's, or the host's own without one.
     */
    synchronized String relayAddress(InetAddress caller, String address) {
        return relayAddresses.getOrDefault(caller, Map.of()).getOrDefault(address, address);
    }

    /** Activates a fault for new and open connections. */
    void begin(InjectedFault fault) {
        loop.execute(() -> {
            faults.begin(fault);
            targets().forEach(RelayTarget::onChange);
        });
    }

    /** Deactivates a fault for new and open connections. */
    void end(InjectedFault fault) {
        loop.execute(() -> {
            faults.end(fault);
            targets().forEach(RelayTarget::onChange);
        });
    }

    private synchronized List<RelayTarget> targets() {
        return List.copyOf(targets.values());
    }

    /** Returns an address as {@code IP:port}. */
    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
